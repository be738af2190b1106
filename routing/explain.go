package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Scored is an available candidate with its terms for a request.
type Scored struct {
	Name  string
	Terms Terms
	// HasCapacity reports whether the candidate has capacity to start the request at once.
	HasCapacity bool
	// Outstanding is the expected number of requests at the candidate, of all instances.
	Outstanding float64
	Slots       int
	// ReservedTokens is what this instance's requests reserve, of the CacheTokens of the endpoint.
	ReservedTokens, CacheTokens int
	// Starting reports that a slow start bounds what the candidate gets.
	Starting bool
}

// Explain returns a decision that Choose might return, with draws from the source, and the terms of all candidates that it might choose.
// It changes nothing.
func (c *Chooser[P]) Explain(now time.Time, q *Query, source rand.Source) (d Decision, all []Scored, ok bool) {
	t := c.tables[tableKey{service: q.Service, model: q.Model}]
	if t == nil {
		return Decision{}, nil, false
	}
	rng, order := c.rng, slices.Clone(t.order)
	defer func() {
		c.rng = rng
		copy(t.order, order)
	}()
	c.rng = rand.New(source)
	d, ok = c.Choose(now, q)
	at := now.Sub(c.origin)
	for _, candidate := range t.candidates {
		one := Decision{Informed: d.Informed}
		c.scoreCandidate(at, t, candidate, c.cachedTokens(at, candidate, q), q, &one)
		if one.Candidate == nil {
			continue
		}
		all = append(all, Scored{
			Name: candidate.Name(), Terms: one.Terms, HasCapacity: one.HasCapacity,
			Outstanding: candidate.load.outstanding(at, candidate.ownRequests, t.meanOthers), Slots: candidate.endpoint.Slots,
			ReservedTokens: candidate.pool.Reserved() + candidate.pool.Overrun(), CacheTokens: candidate.endpoint.CacheTokens, Starting: candidate.slowStart.Active(),
		})
	}
	return d, all, ok
}

// cachedTokens returns the expected number of prompt tokens that a candidate has cached, as scoreCacheHolders counts them.
func (c *Chooser[P]) cachedTokens(at time.Duration, candidate *Candidate, q *Query) float64 {
	if !c.policy.Informed() || len(q.Prefixes) == 0 {
		return 0
	}
	longest := c.index.longestPrefix(q.Prefixes)
	for blocks := longest; blocks > max(longest-scoredPrefixLengths, 0); blocks-- {
		s, _ := c.index.get(q.Prefixes[blocks-1])
		for i := range int(s.n) {
			if s.list[i].id == candidate.id {
				return min(float64(blocks*BlockTokens)*s.list[i].probability(at, candidate.lostEvents), float64(q.PromptTokens))
			}
		}
	}
	return 0
}

// RegionReason is why a request does not go to a region.
type RegionReason string

// Reasons why a region does not take a request.
const (
	RegionTakes      RegionReason = ""
	RegionUnreported RegionReason = "notReported"
	RegionNoEndpoint RegionReason = "noEndpoint"
	RegionFull       RegionReason = "full"
	RegionLinkFull   RegionReason = "linkFull"
	RegionNotBetter  RegionReason = "notBetter"
)

// ScoredRegion is a region with its terms for a request; they are zero if it cannot take the request.
type ScoredRegion struct {
	Region string
	Terms  Terms
	Reason RegionReason
	// Outstanding is the expected number of requests there, of Slots at Endpoints.
	Outstanding      float64
	Slots, Endpoints int
}

// Fork returns a copy whose choices change nothing here, with draws from the source. Start must not be called on it.
func (s *Regions) Fork(source rand.Source) *Regions {
	f := *s
	f.rng, f.links = rand.New(source), maps.Clone(s.links)
	for region, l := range f.links {
		copied := *l
		f.links[region] = &copied
	}
	return &f
}

// Weigh returns what is known of a region for a request, and why Choose would not take it.
func (s *Regions) Weigh(now time.Time, q *Query, bytes int, route Route, baseline *Terms) ScoredRegion {
	at := now.Sub(s.origin)
	x := ScoredRegion{Region: route.Region}
	r := s.services[remoteServiceKey{region: route.Region, service: q.Service}]
	if r == nil {
		x.Reason = RegionUnreported
		return x
	}
	x.Outstanding, x.Slots, x.Endpoints = r.load.outstanding(at, r.ownRequests, r.load.others(r.ownRequests)), r.summary.Slots, r.summary.Endpoints
	switch {
	case !r.serves(q):
		x.Reason = RegionNoEndpoint
	case !r.hasSpareSlots(at, q):
		x.Reason = RegionFull
	case !s.linkTo(at, route).allows(at, bytes):
		x.Reason = RegionLinkFull
	default:
		if x.Terms = r.score(at, q, bytes, route); baseline != nil && x.Terms.Score >= baseline.Score {
			x.Reason = RegionNotBetter
		}
	}
	return x
}
