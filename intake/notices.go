package intake

import "time"

// noticePeriod is the least time between two notices.
const noticePeriod = time.Minute

// Notices limits how often it is reported that connections are given up or refused. The first event is reported at once.
type Notices struct{ last time.Time }

// Due returns whether an event is reported.
func (n *Notices) Due(now time.Time) bool {
	if !n.last.IsZero() && now.Sub(n.last) < noticePeriod {
		return false
	}
	n.last = now
	return true
}
