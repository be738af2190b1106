package capacity

import "time"

const (
	// onTimeShare is the share of the remaining objective that the expected time may take for a request to count as on
	// time.
	onTimeShare = 0.9
	// lateFactor is the multiple of the objective up to which a late request is still admitted.
	lateFactor = 1.5
	// retryLateFactor is the same for a request that was refused before and is retried, because a second refusal would
	// be final. Callers abandon a stream without output after four times the objective.
	retryLateFactor = 3.5
	// firstChunkShare is the share of the time left that the first chunk of a late response may take, so that the rest
	// of the response fits.
	firstChunkShare = 0.5
	// retryTimeShare is the share of the longest time left seen on a route below which a request counts as a retry.
	retryTimeShare = 0.95
	minRetryAfter  = 150 * time.Millisecond
)

// Verdict is the admission decision for a request.
type Verdict int

// Verdicts.
const (
	// Take sends the request to the chosen endpoint; it is expected to be on time.
	Take Verdict = iota
	// TakeLate sends the request although it will be late, with a rank below all requests that can be on time.
	TakeLate
	// Refuse answers at once that the request was not run, and when to retry.
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

// TimeBudget is the time budget of a request.
type TimeBudget struct {
	// Objective is the time left until the response should begin, and Remaining the time until the caller abandons
	// the request.
	Objective time.Duration
	Remaining time.Duration
	// RouteObjective is the time from the start of a request until its response should begin, as set for the route.
	RouteObjective time.Duration
	// Retried reports whether the request is a retry after a refusal.
	Retried bool
}

// IsRetry reports whether a request is a retry after a refusal, where left is the time until its caller abandons it.
// Callers count their time from the first attempt, so a retry has less left than longest, the longest time left seen on
// the route.
func IsRetry(left, longest time.Duration) bool {
	return float64(left) < retryTimeShare*float64(longest)
}

// Admit decides whether to admit a request. expected is the expected time to the first chunk at the request's rank,
// and late the same if it is sent with a rank below all requests that can be on time.
func Admit(expected, late time.Duration, budget TimeBudget) Verdict {
	if expected <= time.Duration(onTimeShare*float64(budget.Objective)) {
		return Take
	}
	factor := lateFactor
	if budget.Retried {
		factor = retryLateFactor
	}
	if late <= time.Duration(factor*float64(budget.RouteObjective)) && late <= time.Duration(firstChunkShare*float64(budget.Remaining)) {
		return TakeLate
	}
	return Refuse
}

// Admit decides whether to admit a request at the chosen endpoint; late is the expected time to the first chunk if it is sent with a
// rank below all requests that can be on time. It refuses none at an endpoint without a queue, where only the answer to a request can
// correct learned times that are too long.
func (c Choice) Admit(late time.Duration, budget TimeBudget) Verdict {
	v := Admit(c.Expected, late, budget)
	if v == Refuse && c.Unqueued {
		return TakeLate
	}
	return v
}

// RetryAfter returns the time after which a refused request should be retried. The excess is the time by which expected
// exceeds half of the route's objective, but at least minRetryAfter. The result is half of the excess, in which the
// backlog falls, plus the draw in [0, 1) times the excess, so that retries do not all arrive together. It is at most a
// third of the time left, or minRetryAfter if that is longer.
func RetryAfter(expected time.Duration, budget TimeBudget, draw float64) time.Duration {
	excess := max(expected-budget.RouteObjective/2, minRetryAfter)
	return min(excess/2+time.Duration(draw*float64(excess)), max(budget.Remaining/3, minRetryAfter))
}

// RetryAfterPause returns the time after which a request should be retried that was refused because its endpoints want
// no requests for the time pause: the pause plus the draw in [0, 1) times half of it, but at least times minRetryAfter,
// so that the retries do not all arrive at its end.
func RetryAfterPause(pause time.Duration, draw float64) time.Duration {
	return pause + time.Duration(draw*float64(max(pause/2, minRetryAfter)))
}
