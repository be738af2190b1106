package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/admission"
	"arbutusreel/problem"
	"arbutusreel/residency"
	"arbutusreel/retry"
	"arbutusreel/routing"
)

// Action is what would follow for a request.
type Action string

// Actions.
const (
	Starts     Action = "started"
	Queues     Action = "queued"
	SentAway   Action = "sentAway"
	HandedOver Action = "handedOver"
	Refused    Action = "refused"
)

// Reasons of explanations besides those of forwards, routing and problems.
const (
	reasonResidency   = "residency"
	reasonDraining    = "draining"
	reasonBreakerOpen = "breakerOpen"
	reasonModel       = "model"
	reasonOther       = "other"
	reasonDiscovery   = "discovery"
	reasonNoCapacity  = "capacity"
	reasonNotNeeded   = "notNeeded"
	reasonOtherChosen = "anotherChosen"
)

// Explanation is what would follow for a request now, and why.
type Explanation struct {
	Action Action
	// Reason is why the request is sent away, waits or is refused.
	Reason string
	// RetryAfter is that of a refusal.
	RetryAfter time.Duration
	// Endpoint is the best endpoint of the region, and Region the region that the request is sent to; empty if there is none.
	Endpoint, Region string
	Terms            routing.Terms
	// Estimate holds the expected times of a request that waits or is refused for its patience.
	Estimate admission.Estimate
	// ExpectedTokens is the expected length of the answer, ReservedTokens what the request reserves at the endpoint, and TokensAhead the
	// work that waits before it.
	ExpectedTokens, ReservedTokens, TokensAhead int
	Candidates                                  []routing.Scored
	// Excluded holds why other endpoints of the service are no candidates, by name.
	Excluded map[string]string
	Regions  []routing.ScoredRegion
}

// Explain returns what would follow now for a request that a caller sends, without sending it or changing any state. It knows the
// endpoints and regions as of the last refresh. Evidence of crashes and the limits of teams are not considered.
func (d *Dispatcher) Explain(r Request) (Explanation, error) {
	j, err := d.prepareJob(r)
	if err != nil {
		return Explanation{}, err
	}
	s := d.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := d.now()
	return s.explainPlacing(now, j, rand.NewPCG(uint64(now.UnixNano()), 0)), nil
}

// quietChooser makes choices that change nothing, and keeps the candidates of the first one.
type quietChooser struct {
	Chooser
	source rand.Source
	scored []routing.Scored
}

// Choose returns a choice that the chooser might make.
func (c *quietChooser) Choose(now time.Time, q *routing.Query) (routing.Decision, bool) {
	d, all, ok := c.Explain(now, q, c.source)
	if c.scored == nil {
		c.scored = all
	}
	return d, ok
}

// preserve replaces what decisions change by copies or saves it, and returns a function that restores it. s.mu is locked.
func (s *scheduler) preserve(chooser Chooser, source rand.Source) (restore func()) {
	before := struct {
		chooser                  Chooser
		regions                  *routing.Regions
		breakers, regionBreakers *retry.Breakers[string]
		log                      zerolog.Logger
		shares                   map[string]*admission.Shares
		all                      map[queueKey]*modelQueue
	}{s.chooser, s.regions, s.breakers, s.regionBreakers, s.log, s.queues.shares, s.queues.all}
	saved := make(map[*modelQueue]modelQueue, len(s.queues.all))
	for _, q := range s.queues.all {
		saved[q] = *q
	}
	s.chooser, s.regions, s.log = chooser, s.regions.Fork(source), zerolog.Nop()
	s.breakers, s.regionBreakers = s.breakers.Clone(source), s.regionBreakers.Clone(source)
	s.queues.shares, s.queues.all = maps.Clone(s.queues.shares), maps.Clone(s.queues.all)
	return func() {
		s.chooser, s.regions, s.breakers, s.regionBreakers, s.log = before.chooser, before.regions, before.breakers, before.regionBreakers, before.log
		s.queues.shares, s.queues.all = before.shares, before.all
		for q, was := range saved {
			*q = was
		}
	}
}

// explainPlacing decides as tryPlace does, without recording. s.mu is locked.
func (s *scheduler) explainPlacing(now time.Time, j *job, source rand.Source) (x Explanation) {
	quiet := &quietChooser{Chooser: s.chooser, source: source}
	defer s.preserve(quiet, source)()
	s.usage.Untouched(func() { s.estimateUse(now, j) })
	q := s.queueFor(j)
	j.query.Ahead = s.queriesAhead(now, q, j)
	d, hasEndpoint := s.choose(now, j)
	x = Explanation{
		ExpectedTokens: j.query.ExpectedTokens, ReservedTokens: j.query.ReserveTokens, TokensAhead: q.queue.Ahead(j.class.Priority), Candidates: quiet.scored,
		Terms: d.Terms,
	}
	if hasEndpoint {
		x.Endpoint = d.Candidate.Name()
	}
	var f forward
	forwards, handsOver := false, !hasEndpoint && s.mayHandOver(now, j)
	if !handsOver {
		f, forwards = s.decideForward(now, j, q, d, hasEndpoint)
	}
	switch {
	case handsOver:
		x.Action, x.Region = HandedOver, s.self.Region
	case forwards:
		x.Action, x.Reason, x.Region, x.Terms = SentAway, f.reason, f.target.Region, f.target.Terms
	case s.mayStart(now, j, q, d, hasEndpoint):
		x.Action = Starts
	default:
		s.explainWaiting(now, j, q, d, hasEndpoint, &x)
	}
	x.Excluded = s.exclusions(j, x.Candidates)
	x.Regions = s.explainRegions(now, j, f, x.Region)
	return x
}

// explainWaiting adds what follows for a request that cannot start now.
func (s *scheduler) explainWaiting(now time.Time, j *job, q *modelQueue, d routing.Decision, hasEndpoint bool, x *Explanation) {
	next, _, v := s.decideWaiting(now, j, q, d, hasEndpoint)
	x.Estimate = v.Estimate
	switch next {
	case refuseUnknown:
		x.Action, x.Reason, x.RetryAfter = Refused, string(problem.NoCapacity), v.RetryAfter
	case refuseLate:
		x.Action, x.Reason, x.RetryAfter = Refused, string(problem.PatienceExceeded), v.RetryAfter
	case waitForDiscovery:
		x.Action, x.Reason = Queues, reasonDiscovery
	case waitForCapacity:
		x.Action, x.Reason = Queues, reasonNoCapacity
	}
}

// exclusions returns why endpoints of the service are no candidates, by name.
func (s *scheduler) exclusions(j *job, candidates []routing.Scored) map[string]string {
	all := map[string]string{}
	allowed := residency.Allows(j.inventory, j.request.Subject(), s.self.Region)
	for _, e := range s.view.Endpoints() {
		if e.Service != j.query.Service || slices.ContainsFunc(candidates, func(c routing.Scored) bool { return c.Name == e.Name }) {
			continue
		}
		switch {
		case !allowed:
			all[e.Name] = reasonResidency
		case e.Leaving:
			all[e.Name] = reasonDraining
		case !serves(e, j):
			all[e.Name] = reasonModel
		case s.breakers.State(s.now(), e.Name) == retry.Open:
			all[e.Name] = reasonBreakerOpen
		default:
			all[e.Name] = reasonOther
		}
	}
	return all
}

// explainRegions returns what is known of the other regions; f is the decision about them, and chosen the region of the request.
func (s *scheduler) explainRegions(now time.Time, j *job, f forward, chosen string) []routing.ScoredRegion {
	var all []routing.ScoredRegion
	open := s.openRoutes(now, j)
	for _, region := range j.inventory.Contents().Regions {
		if region.Name == s.self.Region {
			continue
		}
		x := routing.ScoredRegion{Region: region.Name}
		i := slices.IndexFunc(open, func(r routing.Route) bool { return r.Region == region.Name })
		switch {
		case !residency.Allows(j.inventory, j.request.Subject(), region.Name):
			x.Reason = reasonResidency
		case i < 0:
			x.Reason = reasonBreakerOpen
		default:
			x = s.regions.Weigh(now, &j.query, j.wireBytes(), open[i], f.localTerms)
		}
		switch {
		case x.Reason != routing.RegionTakes || region.Name == chosen:
		case f.reason == "":
			x.Reason = reasonNotNeeded
		default:
			x.Reason = reasonOtherChosen
		}
		all = append(all, x)
	}
	return all
}
