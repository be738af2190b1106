package routing

import (
	"slices"

	"arbutusreel/inventory"
	"arbutusreel/origin"
)

// Objective holds the weights of the terms of a score: Latency is the weight of one second, Cost the weight of the cost
// relative to the same request in the cheapest region, and Away the penalty for forwarding to another region.
type Objective struct {
	Cost    float64
	Latency float64
	Away    float64
}

// NewObjective returns the operators' objective. The weight of latency is at least minLatencyWeight, so that load
// always counts.
func NewObjective(o inventory.Objective) Objective {
	return Objective{Cost: o.Cost, Latency: max(o.Latency, minLatencyWeight), Away: o.Away}
}

// minLatencyWeight is the least weight of a second of latency.
const minLatencyWeight = 0.01

// Score returns the value that a policy minimizes.
func (o Objective) Score(t Terms) float64 {
	return o.Latency*(t.FirstToken()+decodeWeight*t.Decode) + o.Cost*t.Cost + o.Away*t.Away
}

// Query describes a request for routing.
type Query struct {
	Service string
	// Model is empty for a plain service.
	Model string
	// Prefixes are the hashes of the prompt's prefixes in whole blocks, the shortest first.
	Prefixes       []uint64
	PromptTokens   int
	ExpectedTokens int
	// ReserveTokens is the number of tokens of an endpoint's cache that the request reserves.
	ReserveTokens int
	// PrefillPerSecond is the prefill rate of an endpoint of the local region in tokens per second, or zero if it is
	// not known.
	PrefillPerSecond float64
	// Exclude names the endpoints that have failed the request.
	Exclude []string
	// Began is the origin of the answer that the request resumes, which only endpoints of the same origin may serve; one
	// that is not known sets no bound.
	Began origin.Origin
	// Ahead are the waiting requests that take precedence over this one: an endpoint that serves one of them has no
	// capacity for this one.
	Ahead     []*Query
	Objective Objective
	// Cost is the cost of the local region relative to the cheapest, at least 1.
	Cost float64
}

func (q *Query) excludes(c *Candidate) bool {
	return q.Began.Known() && c.origin() != q.Began || len(q.Exclude) > 0 && slices.Contains(q.Exclude, c.endpoint.Name)
}

// mustYield reports whether the candidate serves a request that takes precedence over this one.
func (q *Query) mustYield(c *Candidate) bool {
	return slices.ContainsFunc(q.Ahead, func(preceding *Query) bool {
		return c.serves(preceding) && !preceding.excludes(c)
	})
}

// Decision is a choice with the terms that led to it.
type Decision struct {
	Candidate *Candidate
	Terms     Terms
	// Informed reports whether the policy uses the reported load.
	Informed bool
	// HasCapacity reports whether the candidate has capacity to start the request at once.
	HasCapacity bool
	// RunnerUp is the second best candidate scored, or nil.
	RunnerUp      *Candidate
	RunnerUpTerms Terms
	// Scored is the number of candidates scored, and Available the number of available ones.
	Scored    int
	Available int
}

// consider updates the best candidate and the runner-up with a newly scored candidate.
func (d *Decision) consider(c *Candidate, t Terms, hasCapacity bool) {
	d.Scored++
	switch {
	case d.Candidate == nil || better(t, hasCapacity, d.Terms, d.HasCapacity):
		d.RunnerUp, d.RunnerUpTerms = d.Candidate, d.Terms
		d.Candidate, d.Terms, d.HasCapacity = c, t, hasCapacity
	case d.RunnerUp == nil || t.Score < d.RunnerUpTerms.Score:
		d.RunnerUp, d.RunnerUpTerms = c, t
	}
}

// better reports whether a candidate is better than another: capacity takes precedence over the score.
func better(t Terms, hasCapacity bool, other Terms, otherHasCapacity bool) bool {
	if hasCapacity != otherHasCapacity {
		return hasCapacity
	}
	return t.Score < other.Score
}
