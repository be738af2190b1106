package capacity

import "time"

const (
	// maxAgedCapacity is the age up to which a stale report is used for requests that would be late or refused at home. A request for a
	// region that is cut off loses a round trip, one that is refused loses its value.
	maxAgedCapacity = 3 * time.Second
	// forwardHold is how long a region that has forwarded requests of a service to others counts as having no capacity for theirs.
	forwardHold = time.Second
)

// Aged returns a stale report as the freshest stale one, with capacity that shrinks with its age, or false if it is too old.
func (r RegionCapacity) Aged() (RegionCapacity, bool) {
	switch {
	case r.Fresh():
		return r, true
	case r.Age > maxAgedCapacity:
		return r, false
	default:
		r.PromptTokens = int64(float64(r.PromptTokens) * float64(maxCapacityAge) / float64(r.Age))
		r.Age = maxCapacityAge
		return r, true
	}
}

// Forwards holds when a region last forwarded requests because of its load. It is an immutable value.
type Forwards struct{ last time.Time }

// With returns the forwards with one more.
func (f Forwards) With(now time.Time) Forwards { return Forwards{last: now} }

// Holds reports whether the region has no capacity for requests of other regions, so that no two regions forward to each other.
func (f Forwards) Holds(now time.Time) bool { return !f.last.IsZero() && now.Sub(f.last) < forwardHold }

// Sheds reports whether a region in which a small request of a rank waits for the given time forwards requests to one of the others:
// that begins them sooner by the gain, the round trip included.
func Sheds(wait time.Duration, others []RegionCapacity, rank int, roundTrip, gain time.Duration) bool {
	for _, r := range others {
		if r.Fresh() && r.Endpoints > 0 && r.PromptTokens > 0 && r.Wait[rank]+roundTrip+gain <= wait {
			return true
		}
	}
	return false
}
