package capacity

import "time"

const (
	// onTimeShare is the part of what is left of the objective that the expected time may take for a request to count
	// as on time.
	onTimeShare = 0.9
	// lateFactor is the multiple of the objective within which a request that will be late is still taken.
	lateFactor = 1.5
	// returnedLateFactor is the same for a request that was refused before and has come back: a second refusal would be
	// its last answer. Callers leave a silent stream after four times the objective.
	returnedLateFactor = 3.5
	// finishShare is the part of the time left that a late first piece may take, so that the rest of the answer fits.
	finishShare = 0.5
	// returnedShare is the part of the longest time that callers of a route have below which a request counts as returned.
	returnedShare   = 0.95
	leastRetryAfter = 150 * time.Millisecond
)

// Verdict tells what happens to a request at the door.
type Verdict int

// Verdicts.
const (
	// Take sends the request to the chosen endpoint, on time.
	Take Verdict = iota
	// TakeLate sends it although it will be late, behind what can be on time.
	TakeLate
	// Refuse answers at once that the request was not run, and when to come back.
	Refuse
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Take:
		return "take"
	case TakeLate:
		return "takeLate"
	default:
		return "refuse"
	}
}

// Asked is what a caller wants of the time.
type Asked struct {
	// Objective is what is left until the answer should begin, and Left until the caller goes away.
	Objective time.Duration
	Left      time.Duration
	// WholeObjective is the route's objective.
	WholeObjective time.Duration
	// Returned says that the request was refused before.
	Returned bool
}

// Returned reports whether a caller with so much time left has been refused before, by the longest time that callers of
// its route were seen to have: they count from their first attempt.
func Returned(left, longest time.Duration) bool {
	return float64(left) < returnedShare*float64(longest)
}

// Admit decides whether a request is taken whose first piece is expected after a time, or after the time late if it is
// sent behind all that can be on time.
func Admit(expected, late time.Duration, a Asked) Verdict {
	if expected <= time.Duration(onTimeShare*float64(a.Objective)) {
		return Take
	}
	factor := lateFactor
	if a.Returned {
		factor = returnedLateFactor
	}
	if late <= time.Duration(factor*float64(a.WholeObjective)) && late <= time.Duration(finishShare*float64(a.Left)) {
		return TakeLate
	}
	return Refuse
}

// RetryAfter returns when a refused request should come back: when the backlog has fallen to what it can bear, spread
// by the draw in [0, 1) over as long again so that not all come back together.
func RetryAfter(expected time.Duration, a Asked, draw float64) time.Duration {
	excess := max(expected-a.WholeObjective/2, leastRetryAfter)
	return min(excess/2+time.Duration(draw*float64(excess)), max(a.Left/3, leastRetryAfter))
}
