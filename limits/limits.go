package limits

import "time"

// Times of the loans; all are measured on the monotonic clock of the instance that uses them.
const (
	// LeaseTime is how long a loan lasts at the borrower, from the moment at which it asked.
	LeaseTime = 2 * time.Second
	// driftMargin is what a lender adds to the time of a loan, for clocks that run at different speeds.
	driftMargin = 100 * time.Millisecond
	// takeoverTime is how long a new owner waits, so that the former one has heard of it and its loans have ended.
	takeoverTime = 6 * time.Second
	// burstTime is the time whose tokens may be spent at once.
	burstTime = 2 * time.Second
	// demandTime is the time over which demand is averaged.
	demandTime = 2 * time.Second
)

// Shares of a limit.
const (
	// homeShare is the part of a limit that the team's home region owns, if there are other regions.
	homeShare = 0.5
	// idleShare is the part of a region's rate that an instance asks for without demand, over all instances.
	idleShare = 0.1
	// demandSpare is what is asked for beyond the demand.
	demandSpare = 1.25
)

// minRetryAfter is the least time after which a caller over its limit is asked to come back.
const minRetryAfter = 100 * time.Millisecond
