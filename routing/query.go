package routing

import (
	"slices"

	"arbutusreel/inventory"
)

// Objective weighs the terms of a score: one second of latency, the cheapest region's cost of the request, and one
// request sent away.
type Objective struct {
	Cost    float64
	Latency float64
	Away    float64
}

// NewObjective returns the operators' objective; a latency without weight gets a small one, so that load counts.
func NewObjective(o inventory.Objective) Objective {
	return Objective{Cost: o.Cost, Latency: max(o.Latency, minLatencyWeight), Away: o.Away}
}

// minLatencyWeight is the least weight of a second.
const minLatencyWeight = 0.01

// Score returns what a policy minimizes.
func (o Objective) Score(t Terms) float64 {
	return o.Latency*(t.FirstToken()+finishShare*t.Decode) + o.Cost*t.Cost + o.Away*t.Away
}

// Query is a request as routing sees it.
type Query struct {
	Service string
	// Model is empty for a plain service.
	Model string
	// Prefixes are the hashes of the prompt's prefixes by whole blocks, the shortest first.
	Prefixes       []uint64
	PromptTokens   int
	ExpectedTokens int
	// ReserveTokens is the part of an endpoint's cache that the request reserves.
	ReserveTokens int
	// PrefillPerSecond is the rate at which an endpoint of the own region reads prompt tokens, or zero.
	PrefillPerSecond float64
	// Exclude names the endpoints that have failed the request.
	Exclude []string
	// Behind are the waiting requests that go before this one; there is no room for it at an endpoint that serves one.
	Behind    []*Query
	Objective Objective
	// Cost is the cost of the own region against the cheapest, at least 1.
	Cost float64
}

func (q *Query) excludes(name string) bool {
	return len(q.Exclude) > 0 && slices.Contains(q.Exclude, name)
}

// yields reports whether the candidate serves a request that goes before this one.
func (q *Query) yields(c *Candidate) bool {
	return slices.ContainsFunc(q.Behind, func(first *Query) bool {
		return c.serves(first) && !first.excludes(c.endpoint.Name)
	})
}

// Decision is a choice with the terms that led to it.
type Decision struct {
	Candidate *Candidate
	Terms     Terms
	// Informed reports whether the policy uses the reported load.
	Informed bool
	// Room reports whether the candidate can start the request at once.
	Room bool
	// RunnerUp is the second best that was scored, or nil.
	RunnerUp      *Candidate
	RunnerUpTerms Terms
	// Scored is the number of candidates scored, of Open that may get work.
	Scored int
	Open   int
}

func (d *Decision) offer(c *Candidate, t Terms, room bool) {
	d.Scored++
	switch {
	case d.Candidate == nil || better(t, room, d.Terms, d.Room):
		d.RunnerUp, d.RunnerUpTerms = d.Candidate, d.Terms
		d.Candidate, d.Terms, d.Room = c, t, room
	case d.RunnerUp == nil || t.Score < d.RunnerUpTerms.Score:
		d.RunnerUp, d.RunnerUpTerms = c, t
	}
}

// better reports whether a candidate is better than another: room goes before the score.
func better(t Terms, room bool, other Terms, otherRoom bool) bool {
	if room != otherRoom {
		return room
	}
	return t.Score < other.Score
}
