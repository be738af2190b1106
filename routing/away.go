package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutusreel/membership"
)

// Route is a region that may take a request, with the link to it.
type Route struct {
	Region         string
	RoundTrip      time.Duration
	BytesPerSecond int64
	// Egress is the cost of the request's bytes on the link against the cheapest region's cost of the request.
	Egress float64
	// Cost is the region's cost of the request against the cheapest.
	Cost float64
}

// Egress returns the cost of bytes on a link against the cost of a request.
func Egress(bytes int, costPerGigabyte, requestCost float64) float64 {
	if requestCost <= 0 {
		return 0
	}
	return float64(bytes) / bytesPerGigabyte * costPerGigabyte / requestCost
}

// AwayDecision is a choice of a region with the terms that led to it.
type AwayDecision struct {
	Region string
	Terms  Terms
	// Scored is the number of regions that could take the request.
	Scored int
	remote *remote
	route  Route
}

// remote is what is known of one service of another region.
type remote struct {
	summary membership.Summary
	load    load
	slow    SlowStart
	own     int
	seen    uint64
}

// remoteKey names a service of a region.
type remoteKey struct {
	region  string
	service string
}

// Regions chooses among the other regions.
type Regions struct {
	origin  time.Time
	rng     *rand.Rand
	remotes map[remoteKey]*remote
	links   map[string]*Link
	// gone are the services of regions that were known before and are not now.
	gone    map[remoteKey]bool
	refresh uint64
}

// NewRegions returns a chooser that knows no region; all times that it is given lie after origin.
func NewRegions(origin time.Time, source rand.Source) *Regions {
	return &Regions{origin: origin, rng: rand.New(source), remotes: map[remoteKey]*remote{}, links: map[string]*Link{}, gone: map[remoteKey]bool{}}
}

// Observe takes the summaries that are known now. A service of a region that had gone and returns begins a slow start; one
// that is heard of for the first time does not, as its endpoints ran before.
func (s *Regions) Observe(now time.Time, summaries []membership.Summary) {
	at := now.Sub(s.origin)
	if len(summaries) > 0 {
		s.refresh++
	}
	for _, summary := range summaries {
		k := remoteKey{region: summary.Region, service: summary.Service}
		r := s.remotes[k]
		if r == nil {
			r = &remote{load: load{reportedAt: at - maxReportAge}}
			if s.gone[k] {
				r.slow = NewSlowStart()
			}
			s.remotes[k] = r
		}
		r.seen = s.refresh
		r.summary = summary
		reported := min(max(summary.At.Sub(s.origin), at-maxReportAge), at)
		r.load.report(reported, float64(summary.Running+summary.Queued), 0)
	}
	for k, r := range s.remotes {
		if len(summaries) == 0 || r.seen != s.refresh {
			delete(s.remotes, k)
			s.gone[k] = true
		}
	}
}

// Choose returns the best region that has spare capacity for the request and bytes left on the link to it. If least
// is not nil, a region must score better than it.
func (s *Regions) Choose(now time.Time, q *Query, bytes int, routes []Route, least *Terms) (best AwayDecision, ok bool) {
	at := now.Sub(s.origin)
	offset := 0
	if len(routes) > 1 {
		offset = s.rng.IntN(len(routes))
	}
	for i := range routes {
		route := routes[(i+offset)%len(routes)]
		r := s.remotes[remoteKey{region: route.Region, service: q.Service}]
		if r == nil || !r.serves(q) || !r.spare(at, q) || !s.link(at, route).room(at, bytes) {
			continue
		}
		best.Scored++
		t := r.score(at, q, bytes, route)
		if (least != nil && t.Score >= least.Score) || (ok && t.Score >= best.Terms.Score) {
			continue
		}
		best.Region, best.Terms, best.remote, best.route = route.Region, t, r, route
		ok = true
	}
	return best, ok
}

// link returns the budget of the link to a region.
func (s *Regions) link(at time.Duration, route Route) *Link {
	l := s.links[route.Region]
	if l == nil {
		l = newLink(at, route.BytesPerSecond)
		s.links[route.Region] = l
	}
	l.setRate(route.BytesPerSecond)
	return l
}

func (r *remote) serves(q *Query) bool {
	return r.summary.Endpoints > 0 && (q.Model == "" || slices.Contains(r.summary.Models, q.Model))
}

// spare reports whether the region has slots to spare for requests from elsewhere.
func (r *remote) spare(at time.Duration, q *Query) bool {
	slots := float64(r.summary.Slots) * (1 - spareShare)
	return r.load.outstanding(at, r.own, r.load.others(r.own)) < slots && r.slow.Room(q.PromptTokens)
}

// score returns the terms of a request that is sent to the region.
func (r *remote) score(at time.Duration, q *Query, bytes int, route Route) Terms {
	t := Terms{Cost: route.Cost + route.Egress, Away: 1}
	t.Travel = roundTrips * route.RoundTrip.Seconds()
	if route.BytesPerSecond > 0 {
		t.Travel += float64(bytes) / (float64(route.BytesPerSecond) * linkShare)
	}
	if q.PrefillPerSecond > 0 {
		t.Prefill = float64(q.PromptTokens) / q.PrefillPerSecond
	}
	slots := float64(max(r.summary.Slots, 1))
	if r.summary.TokensPerSecond > 0 {
		busy := r.load.outstanding(at, r.own, r.load.others(r.own)) / slots
		t.Decode = decodeTime(q.ExpectedTokens, r.summary.TokensPerSecond/slots, busy)
	}
	t.Score = q.Objective.Score(t)
	return t
}

// AwayTicket is a request that was sent to another region.
type AwayTicket struct {
	remote *remote
	tokens int
}

// Start counts a request as sent to the decision's region.
func (s *Regions) Start(now time.Time, d AwayDecision, q *Query, bytes int) *AwayTicket {
	at := now.Sub(s.origin)
	d.remote.own++
	d.remote.load.add(at, 1, 0)
	d.remote.slow.Begin(q.PromptTokens)
	s.link(at, d.route).take(at, bytes)
	return &AwayTicket{remote: d.remote, tokens: q.PromptTokens}
}

// Done ends the request; ok tells whether it was answered.
func (s *Regions) Done(now time.Time, t *AwayTicket, ok bool) {
	if t.remote == nil {
		return
	}
	t.remote.own--
	t.remote.load.add(now.Sub(s.origin), -1, 0)
	t.remote.slow.End(t.tokens, ok)
	t.remote = nil
}
