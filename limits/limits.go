package limits

import "time"

// Durations of leases; all are measured on the monotonic clock of the instance that uses them.
const (
	// LeaseTime is how long a lease lasts at the borrower, from the time at which it asked.
	LeaseTime = 2 * time.Second
	// driftMargin is what a lender adds to the duration of a lease, for clocks that run at different speeds.
	driftMargin = 100 * time.Millisecond
	// takeoverTime is how long a new owner waits, so that the previous one has learned of it and its leases have
	// expired.
	takeoverTime = 6 * time.Second
	// burstTime is the time whose tokens may be spent at once.
	burstTime = 2 * time.Second
	// demandWindow is the time over which demand is averaged.
	demandWindow = 2 * time.Second
)

// Fractions of a limit and of the demand.
const (
	// homeShare is the fraction of a limit that the team's home region owns, if there are other regions.
	homeShare = 0.5
	// idleShare is the fraction of a limit that all instances together keep or ask for when they have no demand.
	idleShare = 0.1
	// demandHeadroomFactor is the ratio of the rate that is asked for to the demand.
	demandHeadroomFactor = 1.25
)

// minRetryAfter is the shortest delay after which a caller over its limit is asked to retry.
const minRetryAfter = 100 * time.Millisecond
