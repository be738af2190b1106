package control

import "time"

// Leadership reports whether this voter may act as the leader at a given time.
type Leadership interface {
	// Lease returns the term of this voter's leader lease and its end; ok is false if this voter does not lead or if
	// the lease, less its clock drift margin, has ended at now. The term is also returned when ok is false.
	Lease(now time.Time) (term int64, end time.Time, ok bool)
}
