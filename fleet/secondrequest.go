package fleet

import "time"

// firstStateWait is how long a gateway waits for the state of one control daemon before it asks another one beside it.
const firstStateWait = 1500 * time.Millisecond

// SecondRequest decides when a gateway without the whole state of its control daemon asks another one beside it.
type SecondRequest struct {
	since time.Time
	wait  time.Duration
}

// NewSecondRequest returns the decision for a gateway that asked its control daemon for the state at a time.
func NewSecondRequest(now time.Time) SecondRequest {
	return SecondRequest{since: now, wait: firstStateWait}
}

// WithFailure returns the decision after a second control daemon has failed: another one is asked after twice the wait.
func (r SecondRequest) WithFailure(now time.Time) SecondRequest {
	return SecondRequest{since: now, wait: 2 * r.wait}
}

// Due reports whether another control daemon is to be asked.
func (r SecondRequest) Due(now time.Time) bool {
	return now.Sub(r.since) >= r.wait
}
