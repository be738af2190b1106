package retry

import (
	"math/rand/v2"
	"time"
)

// Failure classifies a failed attempt by what is known of its execution.
type Failure int

// Kinds of failures.
const (
	// Final means that another attempt would fail in the same way.
	Final Failure = iota
	// NotRun means that no part of the attempt can have run.
	NotRun
	// Doubtful means that the attempt may have run.
	Doubtful
	// Unreached means that no connection was made, so that the attempt caused no work anywhere.
	Unreached
)

// Reason states why a request is retried or not.
type Reason string

// Reasons for a decision.
const (
	Retry         Reason = "retry"
	FinalFailure  Reason = "finalFailure"
	NotRepeatable Reason = "notRepeatable"
	TooMany       Reason = "tooManyAttempts"
	NoTime        Reason = "noTimeLeft"
	NoBudget      Reason = "noBudget"
	// Paced means that the decision is to be made again after a delay.
	Paced Reason = "paced"
)

// Attempts is a request's state between its attempts.
type Attempts struct {
	// Made is the number of attempts that have failed.
	Made int
	// Unreached is the number of those that made no connection, including the last one.
	Unreached int
	// WithoutProgress is the number of failed attempts, other than unreached ones, since the caller last received a new
	// piece.
	WithoutProgress int
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	Deadline   time.Time
}

// Decide returns whether the request is retried after the failure, and after which delay. It spends budget only if it
// returns Retry, and none for an attempt that made no connection, as the budget bounds work.
func Decide[K comparable](now time.Time, a Attempts, f Failure, b *Budget[K], k K, rng *rand.Rand) (time.Duration, Reason) {
	if f == Unreached {
		return decideUnreached(now, a)
	}
	delay := Backoff(a.Made, rng)
	switch {
	case f == Final:
		return 0, FinalFailure
	case f == Doubtful && !a.Repeatable:
		return 0, NotRepeatable
	case a.Made-a.Unreached >= maxAttempts:
		return 0, TooMany
	case !now.Add(delay).Before(a.Deadline):
		return 0, NoTime
	case !b.Take(k):
		return 0, NoBudget
	}
	return delay, Retry
}

// decideUnreached retries at once, up to maxUnreached times.
func decideUnreached(now time.Time, a Attempts) (time.Duration, Reason) {
	switch {
	case a.Unreached >= maxUnreached:
		return 0, TooMany
	case !now.Before(a.Deadline):
		return 0, NoTime
	}
	return 0, Retry
}

// Backoff returns a delay drawn uniformly from zero to a bound that doubles with each attempt, up to maxDelay (full
// jitter: Brooker, "Exponential backoff and jitter", 2015); made is the number of failed attempts that count
// towards the bound.
func Backoff(made int, rng *rand.Rand) time.Duration {
	bound := min(firstDelay<<max(made-1, 0), maxDelay)
	return time.Duration(rng.Int64N(int64(bound) + 1))
}
