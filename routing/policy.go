package routing

import (
	"math"
	"time"
)

// Terms are the parts of a score; a lower Score is better.
type Terms struct {
	// Wait is the expected time before the request starts, in seconds.
	Wait float64
	// Prefill is the expected time to prefill the uncached part of the prompt and the backlog before it, in seconds.
	Prefill float64
	// Decode is the expected time from the first token to the last, in seconds.
	Decode float64
	// Cached is the expected number of cached prompt tokens.
	Cached float64
	// Transfer is the time for two round trips and the transfer between regions, in seconds.
	Transfer float64
	// Cost is the cost of the request relative to the same request in the cheapest region.
	Cost float64
	// Away is 1 for another region.
	Away float64
	// Score is the value that the policy minimizes.
	Score float64
}

// FirstToken returns the expected time to the first token, in seconds.
func (t Terms) FirstToken() float64 { return t.Wait + t.Prefill + t.Transfer }

// Finish returns the expected time to the last token, in seconds.
func (t Terms) Finish() float64 { return t.FirstToken() + t.Decode }

// Policy scores candidates.
type Policy interface {
	// Samples returns how many of n candidates are scored.
	Samples(n int) int
	// Score returns the terms of a candidate for a request; mean is the mean number of others' requests at a candidate
	// and cached the expected number of cached prompt tokens.
	Score(now time.Duration, c *Candidate, mean, cached float64, q *Query) Terms
	// Informed reports whether the policy uses the reported load and the cached prefixes.
	Informed() bool
}

// Expected scores candidates by their expected times and cost, weighted by the operators' objective.
type Expected struct{}

var _ Policy = Expected{}

// Samples returns half of the candidates and one more, at most six, so that choosers with the same reports do not all
// choose the same candidate.
func (Expected) Samples(n int) int { return min(n, n/2+1, maxSamples) }

// Informed returns true.
func (Expected) Informed() bool { return true }

// Score returns the expected times and the cost, and their sum weighted by the objective.
func (Expected) Score(now time.Duration, c *Candidate, mean, cached float64, q *Query) Terms {
	slots := c.slots()
	outstanding := c.load.outstanding(now, c.ownRequests, mean)
	t := Terms{Cached: cached, Cost: q.Cost}
	report := &c.endpoint.Load
	if report.TokensPerSecond > 0 {
		t.Decode = decodeTime(q.ExpectedTokens, report.TokensPerSecond/slots, outstanding/slots)
	}
	if report.PrefillTokensPerSecond > 0 {
		t.Prefill = (max(float64(q.PromptTokens)-cached, 0) + c.load.backlog(now)) / report.PrefillTokensPerSecond
	}
	serviceTime := c.serviceTime
	if serviceTime == 0 {
		serviceTime = t.Prefill + t.Decode
	}
	t.Wait = expectedQueue(outstanding+1-slots) / slots * serviceTime
	t.Score = q.Objective.Score(t)
	return t
}

// expectedQueue returns the expected number of waiting requests if the estimated load exceeds the slots by excess. As
// the estimate is uncertain, it is a smooth maximum of zero and excess.
func expectedQueue(excess float64) float64 {
	return (excess + math.Sqrt(excess*excess+4*loadUncertainty*loadUncertainty)) / 2
}

// LeastOutstanding scores candidates by the chooser's own outstanding requests per slot.
type LeastOutstanding struct{}

var _ Policy = LeastOutstanding{}

// Samples returns n: all candidates are scored.
func (LeastOutstanding) Samples(n int) int { return n }

// Informed returns false.
func (LeastOutstanding) Informed() bool { return false }

// Score returns the chooser's own outstanding requests per slot.
func (LeastOutstanding) Score(_ time.Duration, c *Candidate, _, _ float64, _ *Query) Terms {
	return Terms{Score: float64(c.ownRequests) / c.slots()}
}

// Random chooses a candidate at random.
type Random struct{}

var _ Policy = Random{}

// Samples returns 1.
func (Random) Samples(int) int { return 1 }

// Informed returns false.
func (Random) Informed() bool { return false }

// Score returns zero terms for every candidate.
func (Random) Score(time.Duration, *Candidate, float64, float64, *Query) Terms { return Terms{} }
