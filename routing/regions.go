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
	// Egress is the cost of the request's bytes on the link, relative to the cost of the request in the cheapest
	// region.
	Egress float64
	// Cost is the region's cost of the request relative to the cheapest region.
	Cost float64
}

// Egress returns the cost of sending bytes over a link, relative to the cost of a request; it is zero if the request
// costs nothing.
func Egress(bytes int, costPerGigabyte, requestCost float64) float64 {
	if requestCost <= 0 {
		return 0
	}
	return float64(bytes) / bytesPerGigabyte * costPerGigabyte / requestCost
}

// RegionDecision is a choice of another region with the terms that led to it.
type RegionDecision struct {
	Region string
	Terms  Terms
	// Scored is the number of regions that could take the request.
	Scored int
	remote *remoteService
	route  Route
}

// remoteService is the known state of one service in another region.
type remoteService struct {
	summary     membership.Summary
	load        load
	slowStart   SlowStart
	ownRequests int
	// lastObservation is the value of Regions.observations when a summary last listed the service.
	lastObservation uint64
}

// remoteServiceKey identifies a service in a region.
type remoteServiceKey struct {
	region  string
	service string
}

// Regions chooses among the other regions.
type Regions struct {
	origin   time.Time
	rng      *rand.Rand
	services map[remoteServiceKey]*remoteService
	links    map[string]*Link
	// departed marks the services that were known and then disappeared at least once.
	departed map[remoteServiceKey]bool
	// observations counts the calls of Observe with at least one summary.
	observations uint64
}

// NewRegions returns a chooser that knows no region. All times passed to it later must not lie before origin.
func NewRegions(origin time.Time, source rand.Source) *Regions {
	return &Regions{
		origin: origin, rng: rand.New(source), services: map[remoteServiceKey]*remoteService{},
		links: map[string]*Link{}, departed: map[remoteServiceKey]bool{},
	}
}

// Observe replaces the set of known summaries. A service of a region that had departed and returns begins a slow start.
// One that is reported for the first time does not, as its endpoints were already running.
func (s *Regions) Observe(now time.Time, summaries []membership.Summary) {
	at := now.Sub(s.origin)
	if len(summaries) > 0 {
		s.observations++
	}
	for _, summary := range summaries {
		k := remoteServiceKey{region: summary.Region, service: summary.Service}
		r := s.services[k]
		if r == nil {
			r = &remoteService{load: load{reportedAt: at - maxReportAge}}
			if s.departed[k] {
				r.slowStart = NewSlowStart()
			}
			s.services[k] = r
		}
		r.lastObservation = s.observations
		r.summary = summary
		reported := min(max(summary.At.Sub(s.origin), at-maxReportAge), at)
		r.load.setReport(reported, float64(summary.Running+summary.Queued), 0)
	}
	for k, r := range s.services {
		if len(summaries) == 0 || r.lastObservation != s.observations {
			delete(s.services, k)
			s.departed[k] = true
		}
	}
}

// Choose returns the best region that has spare slots for the request and enough budget on the link to it; ok is false
// if there is none. If baseline is not nil, a region must score better than it.
func (s *Regions) Choose(
	now time.Time, q *Query, bytes int, routes []Route, baseline *Terms,
) (best RegionDecision, ok bool) {
	at := now.Sub(s.origin)
	offset := 0
	if len(routes) > 1 {
		offset = s.rng.IntN(len(routes))
	}
	for i := range routes {
		route := routes[(i+offset)%len(routes)]
		r := s.services[remoteServiceKey{region: route.Region, service: q.Service}]
		if r == nil || !r.serves(q) || !r.hasSpareSlots(at, q) || !s.linkTo(at, route).allows(at, bytes) {
			continue
		}
		best.Scored++
		t := r.score(at, q, bytes, route)
		if (baseline != nil && t.Score >= baseline.Score) || (ok && t.Score >= best.Terms.Score) {
			continue
		}
		best.Region, best.Terms, best.remote, best.route = route.Region, t, r, route
		ok = true
	}
	return best, ok
}

// linkTo returns the token bucket of the link to a region.
func (s *Regions) linkTo(at time.Duration, route Route) *Link {
	l := s.links[route.Region]
	if l == nil {
		l = newLink(at, route.BytesPerSecond)
		s.links[route.Region] = l
	}
	l.setRate(route.BytesPerSecond)
	return l
}

func (r *remoteService) serves(q *Query) bool {
	return r.summary.Endpoints > 0 && (q.Model == "" || slices.Contains(r.summary.Models, q.Model))
}

// hasSpareSlots reports whether the region has capacity to spare for requests from other regions.
func (r *remoteService) hasSpareSlots(at time.Duration, q *Query) bool {
	slots := float64(r.summary.Slots) * (1 - reservedSlotShare)
	return r.load.outstanding(at, r.ownRequests, r.load.others(r.ownRequests)) < slots && r.slowStart.Allows(q.PromptTokens)
}

// score returns the terms of a request that is forwarded to the region.
func (r *remoteService) score(at time.Duration, q *Query, bytes int, route Route) Terms {
	t := Terms{Cost: route.Cost + route.Egress, Away: 1}
	t.Transfer = forwardRoundTrips * route.RoundTrip.Seconds()
	if route.BytesPerSecond > 0 {
		t.Transfer += float64(bytes) / (float64(route.BytesPerSecond) * linkShare)
	}
	if q.PrefillPerSecond > 0 {
		t.Prefill = float64(q.PromptTokens) / q.PrefillPerSecond
	}
	slots := float64(max(r.summary.Slots, 1))
	if r.summary.TokensPerSecond > 0 {
		busy := r.load.outstanding(at, r.ownRequests, r.load.others(r.ownRequests)) / slots
		t.Decode = decodeTime(q.ExpectedTokens, r.summary.TokensPerSecond/slots, busy)
	}
	t.Score = q.Objective.Score(t)
	return t
}

// RegionTicket tracks a request that was forwarded to another region.
type RegionTicket struct {
	remote *remoteService
	tokens int
}

// Start records that a request was forwarded to the decision's region.
func (s *Regions) Start(now time.Time, d RegionDecision, q *Query, bytes int) *RegionTicket {
	at := now.Sub(s.origin)
	d.remote.ownRequests++
	d.remote.load.add(at, 1, 0)
	d.remote.slowStart.Begin(q.PromptTokens)
	s.linkTo(at, d.route).take(at, bytes)
	return &RegionTicket{remote: d.remote, tokens: q.PromptTokens}
}

// Done ends the request; ok reports whether it was answered. Calls after the first have no effect.
func (s *Regions) Done(now time.Time, t *RegionTicket, ok bool) {
	if t.remote == nil {
		return
	}
	t.remote.ownRequests--
	t.remote.load.add(now.Sub(s.origin), -1, 0)
	t.remote.slowStart.End(t.tokens, ok)
	t.remote = nil
}
