package capacity

import (
	"math"
	"time"
)

const (
	// outcomeTimeConstant is the time constant with which outcomes decay, after which an endpoint that failed is tried
	// again.
	outcomeTimeConstant = 5 * time.Second
	// priorSuccesses is the number of successes added to every endpoint's outcomes, so that a single failure has little
	// weight.
	priorSuccesses = 4
	// maxBaselineFailureRate is the greatest share of failures that is attributed to the requests themselves if all
	// endpoints have it.
	maxBaselineFailureRate = 0.25
	// failureRateTolerance is the share of failures above the baseline that is attributed to chance.
	failureRateTolerance = 0.2
	// MaxFailureRate is the share of failures above which an endpoint is left out of the reported capacity.
	MaxFailureRate = 0.6
)

// Outcomes counts the ended and failed requests at an endpoint, with exponential decay. It is an immutable value.
type Outcomes struct {
	// Ended and Failed are the decayed counts at the time At.
	Ended, Failed float64
	At            time.Time
}

// Now returns the outcomes decayed to now.
func (o Outcomes) Now(now time.Time) Outcomes {
	if o.Ended == 0 && o.Failed == 0 {
		return Outcomes{At: now}
	}
	if o.At.Equal(now) {
		return o
	}
	decay := math.Exp(-float64(now.Sub(o.At)) / float64(outcomeTimeConstant))
	return Outcomes{Ended: o.Ended * decay, Failed: o.Failed * decay, At: now}
}

// With returns the outcomes including a request that ended now.
func (o Outcomes) With(now time.Time, failed bool) Outcomes {
	o = o.Now(now)
	o.Ended++
	if failed {
		o.Failed++
	}
	return o
}

// Plus returns the sum of the outcomes, decayed to now.
func (o Outcomes) Plus(now time.Time, other Outcomes) Outcomes {
	o, other = o.Now(now), other.Now(now)
	return Outcomes{Ended: o.Ended + other.Ended, Failed: o.Failed + other.Failed, At: now}
}

// Minus returns the difference of the outcomes, decayed to now, without negative counts.
func (o Outcomes) Minus(now time.Time, other Outcomes) Outcomes {
	o, other = o.Now(now), other.Now(now)
	return Outcomes{Ended: max(o.Ended-other.Ended, 0), Failed: max(o.Failed-other.Failed, 0), At: now}
}

// FailureRate returns the share of failed requests, in [0, 1).
func (o Outcomes) FailureRate(now time.Time) float64 {
	o = o.Now(now)
	return o.Failed / (o.Ended + priorSuccesses)
}

// baselineFailureRate returns the share of failures of the best candidate, at most maxBaselineFailureRate.
func baselineFailureRate(candidates []Candidate) float64 {
	baseline := maxBaselineFailureRate
	for i := range candidates {
		baseline = min(baseline, candidates[i].FailureRate)
	}
	return baseline
}

// excessFailureRate returns the share of failures that counts against the candidate.
func (c *Candidate) excessFailureRate(baseline float64) float64 {
	return max(c.FailureRate-baseline-failureRateTolerance, 0)
}
