package fleet

import "time"

// unresponsiveTime is how long a control daemon that did not send its state in time is tried after others.
const unresponsiveTime = 5 * time.Second

// Unresponsive holds the control daemons that answered a search and then did not send their state in time; its zero value holds none.
type Unresponsive struct {
	// since has the time at which each was last found to be so, by address.
	since map[string]time.Time
}

// With returns the control daemons including one at an address, without those that count as responsive again.
func (u Unresponsive) With(now time.Time, address string) Unresponsive {
	since := map[string]time.Time{address: now}
	for other, at := range u.since {
		if other != address && now.Sub(at) < unresponsiveTime {
			since[other] = at
		}
	}
	return Unresponsive{since: since}
}

// Has reports whether the control daemon at an address was unresponsive within the last 5 s.
func (u Unresponsive) Has(now time.Time, address string) bool {
	at, ok := u.since[address]
	return ok && now.Sub(at) < unresponsiveTime
}
