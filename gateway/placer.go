package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/retry"
	"arbutusreel/routes"
)

const (
	// partMemory is how long a part of a prompt is believed to be kept after its last use.
	partMemory = 20 * time.Second
	// maxParts bounds the parts remembered for one endpoint.
	maxParts = 4096
	// peerLoadAge is the age after which what another gateway has outstanding is no longer counted: its reports come
	// many times a second, so that it has ended or is cut off.
	peerLoadAge = 2 * time.Second
	// budgetShare is the part of the common retry budget that is used, as the windows of two gateways do not begin together.
	budgetShare = 0.85
)

// endpointState is what this gateway knows of an endpoint besides its record.
type endpointState struct {
	born   int64
	own    capacity.Outstanding
	recent capacity.Recent
	health capacity.Health
	// outcomes are those of this gateway's requests, the endpoint's own failures among them.
	outcomes capacity.Outcomes
	parts    map[string]time.Time
	cold     *capacity.Window
	// coldUntil is the end of the cold time that the endpoint told in an answer.
	coldUntil time.Time
	// failedAt is when a connection to it failed last; zero once it has answered since.
	failedAt time.Time
}

type peerLoad struct {
	born  int64
	heard time.Time
	loads map[string]capacity.Outstanding
	// recent is what it sent lately.
	recent map[string]capacity.Recent
	// outcomes are those that it saw lately.
	outcomes map[string]capacity.Outcomes
}

// placer decides where requests go; it does no I/O and is safe for concurrent use.
type placer struct {
	cfg Config

	mu       sync.Mutex
	rng      *rand.Rand
	states   map[string]*endpointState
	peers    map[string]*peerLoad
	speeds   map[string]capacity.Speed
	demands  map[string]capacity.Demand
	breakers *retry.Breakers[string]
	gateways *retry.Breakers[string]
	// regions are the breakers of whole regions: when several gateways of one cannot be reached, the others are not tried one
	// after the other.
	regions   *retry.Breakers[string]
	budgets   map[string]*retry.Allowance
	sent      map[string][]sentTokens
	changed   map[string]bool
	mostPeers int
	// longest is the longest time that callers of a route were seen to have.
	longest map[string]time.Duration
	// sums caches what the other gateways have at an endpoint until one of them tells something new.
	sums map[string]peerSum
	// candidates and endpoints are reused by each decision.
	candidates []capacity.Candidate
	endpoints  []*fleet.Endpoint
	// began is when the first request was placed, and holders when each gateway of the region was named last, in view seen.
	began   time.Time
	holders map[string]time.Time
	seen    *view
	// swept is when peers that fell silent were looked for last.
	swept time.Time
}

// peerSum is what the other gateways of the region have outstanding at an endpoint, and sent there lately.
type peerSum struct {
	outstanding capacity.Outstanding
	recent      capacity.Recent
	outcomes    capacity.Outcomes
}

type sentTokens struct {
	at     time.Time
	tokens int64
}

func newPlacer(cfg Config, source rand.Source) *placer {
	return &placer{
		cfg:      cfg,
		rng:      rand.New(source),
		states:   map[string]*endpointState{},
		peers:    map[string]*peerLoad{},
		speeds:   map[string]capacity.Speed{},
		demands:  map[string]capacity.Demand{},
		breakers: retry.NewBreakers[string](source),
		gateways: retry.NewBreakers[string](source),
		regions:  retry.NewBreakers[string](source),
		budgets:  map[string]*retry.Allowance{},
		sent:     map[string][]sentTokens{},
		changed:  map[string]bool{},
		longest:  map[string]time.Duration{},
		sums:     map[string]peerSum{},
		holders:  map[string]time.Time{},
	}
}

// query is a request that needs a place.
type query struct {
	route   *routes.Route
	service *routes.Service
	work    capacity.Work
	asked   capacity.Asked
	// tried are endpoints and gateways that are not tried again.
	tried map[string]bool
	// forwarded requests came from another region and do not leave this one.
	forwarded bool
	// must takes any endpoint, as a request in progress is better late than broken off.
	must bool
}

// place is where a request goes: an endpoint, a gateway of another region, or nowhere.
type place struct {
	verdict  capacity.Verdict
	endpoint fleet.Endpoint
	gateway  fleet.Gateway
	region   string
	expected time.Duration
	// cost is the expected time with all else that counts against the place.
	cost   time.Duration
	unread int64
	load   capacity.Outstanding
	// backlog is the endpoint's outstanding work before the request.
	backlog    capacity.Outstanding
	candidates int
	favourite  bool
	// fetchFrom is the address of the engine that keeps the prompt's shared parts, if they are fetched from it.
	fetchFrom string
	// full says that the endpoint had no slot or no memory left.
	full bool
	// rank is that of the request's urgency, and overtaken the share of the endpoint's time that more urgent ones take.
	rank        int
	overtaken   float64
	reason      string
	retryAfter  time.Duration
	probe       retry.Probe
	regionProbe retry.Probe
}

// Reasons why a request goes nowhere.
const (
	reasonNoEndpoint = "noEndpoint"
	reasonBacklog    = "backlog"
	reasonNotHome    = "notAllowedInRegion"
)

// decide returns the place of a request.
func (p *placer) decide(now time.Time, v *view, q query) place {
	p.mu.Lock()
	defer p.mu.Unlock()
	speed := p.speedNow(now, v, q.service.Name)
	q.work.Rank = capacity.Rank(q.route.Priority, false)
	local, endpoints := p.local(now, v, q)
	choice, ok := capacity.Choose(local, q.work, speed, fetchTime(q.service), q.route.Objective, p.rng.Float64())
	here := place{verdict: capacity.Refuse, expected: noLocalEndpoint, cost: noLocalEndpoint, reason: reasonNoEndpoint, candidates: len(local)}
	if !q.route.Allows(p.cfg.Region) {
		here.reason = reasonNotHome
	}
	if ok {
		here.endpoint = *endpoints[choice.Index]
		if choice.Keeper >= 0 {
			here.fetchFrom = endpoints[choice.Keeper].Address
		}
		here.expected, here.cost, here.unread = choice.Expected, choice.Cost, choice.Unread
		here.favourite, here.full = choice.Favourite, choice.Full
		here.backlog = local[choice.Index].Outstanding
		here.load, here.rank = q.work.Load(choice.Unread), q.work.Rank
		late := q.work
		late.Rank = capacity.Rank(q.route.Priority, true)
		here.verdict = capacity.Admit(choice.Expected, capacity.Expected(local[choice.Index], late, choice.Unread, speed).Wait, q.asked)
		here.reason = reasonBacklog
		if q.must {
			here.verdict = capacity.Take
		}
		if here.verdict == capacity.TakeLate {
			here.load, here.rank = late.Load(choice.Unread), late.Rank
		}
		here.overtaken = speed.Overtaking.Reading[here.rank]
	}
	if !q.forwarded && (here.verdict != capacity.Take || here.cost > p.cfg.Detour+crossAdvantage) {
		if there, ok := p.cross(now, v, q, speed, here); ok {
			return there
		}
	}
	if here.verdict == capacity.Refuse {
		here.retryAfter = capacity.RetryAfter(min(here.expected, 2*q.route.Objective), q.asked, p.rng.Float64())
	}
	return here
}

// fetchTime returns the time to fetch one token of a prompt from another endpoint of a service, or zero.
func fetchTime(s *routes.Service) time.Duration {
	if s.Engine == nil {
		return 0
	}
	return s.Engine.FetchTime
}

// hasRoom reports whether an endpoint of this region would take a request on time.
func (p *placer) hasRoom(now time.Time, v *view, q query) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.work.Rank = capacity.Rank(q.route.Priority, false)
	local, _ := p.local(now, v, q)
	choice, ok := capacity.Choose(local, q.work, p.speedNow(now, v, q.service.Name), fetchTime(q.service), q.route.Objective, 0)
	return ok && capacity.Admit(choice.Expected, choice.Expected, q.asked) == capacity.Take
}

// local returns the endpoints of this region that may take a request, which are valid until the next call.
func (p *placer) local(now time.Time, v *view, q query) ([]capacity.Candidate, []*fleet.Endpoint) {
	if !q.route.Allows(p.cfg.Region) {
		return nil, nil
	}
	p.sweep(now)
	rank, n := p.holderRank(now, v)
	speed := p.speed(q.service.Name)
	p.candidates, p.endpoints = p.candidates[:0], p.endpoints[:0]
	all := v.endpoints[q.service.Name]
	for i := range all {
		e := &all[i]
		s := p.state(e)
		if q.tried[e.ID] || !p.breakers.Allows(now, e.ID) || !e.GoneAt.IsZero() {
			continue
		}
		if p.isCold(e, s, now) && s.cold.Count(now) >= p.coldLimit(now, q.service, e, rank, n) {
			continue
		}
		peers := p.peerSum(now, e.ID)
		c := capacity.Candidate{
			ID: e.ID, Outstanding: s.own.Plus(peers.outstanding), Health: s.health, Slots: e.Slots, Busy: s.busy(now, speed, peers),
			Failing: s.outcomes.Plus(now, peers.outcomes).Failing(now), Remote: e.FailureDomain != p.cfg.FailureDomain,
		}
		if q.service.Engine != nil {
			c.Memory = q.service.Engine.CacheTokens
			c.KeptParts = s.kept(now, q.work)
		}
		p.candidates, p.endpoints = append(p.candidates, c), append(p.endpoints, e)
	}
	return p.candidates, p.endpoints
}

func (p *placer) state(e *fleet.Endpoint) *endpointState {
	s := p.states[e.ID]
	if s == nil || s.born != e.Born {
		own := capacity.Outstanding{}
		if s != nil {
			own = s.own
		}
		s = &endpointState{born: e.Born, own: own, health: capacity.NewHealth(), parts: map[string]time.Time{}, cold: capacity.NewWindow(time.Second)}
		p.states[e.ID] = s
		p.breakers.Forget(e.ID)
	}
	return s
}

// peerSum returns what the other gateways have at an endpoint.
func (p *placer) peerSum(now time.Time, id string) peerSum {
	sum, ok := p.sums[id]
	if ok {
		return sum
	}
	tokens := 0.0
	for _, peer := range p.peers {
		sum.outstanding = sum.outstanding.Plus(peer.loads[id])
		tokens += peer.recent[id].Tokens(now)
		sum.outcomes = sum.outcomes.Plus(now, peer.outcomes[id])
	}
	sum.recent = capacity.NewRecent(now, tokens)
	p.sums[id] = sum
	return sum
}

// sweep forgets gateways that have been silent for too long.
func (p *placer) sweep(now time.Time) {
	if now.Sub(p.swept) < peerLoadAge/4 {
		return
	}
	p.swept = now
	for name, peer := range p.peers {
		if now.Sub(peer.heard) > peerLoadAge {
			delete(p.peers, name)
			clear(p.sums)
		}
	}
}

// busy returns the share of its time for which an endpoint reads prompts, by what all gateways sent lately.
func (s *endpointState) busy(now time.Time, speed capacity.Speed, peers peerSum) float64 {
	return speed.Busy(s.recent.Tokens(now) + peers.recent.Tokens(now))
}

// kept returns the number of a prompt's first shared parts that the endpoint is believed to keep.
func (s *endpointState) kept(now time.Time, w capacity.Work) int {
	for i, part := range w.Shared() {
		if used, ok := s.parts[part.ID]; !ok || now.Sub(used) > partMemory {
			return i
		}
	}
	return len(w.Shared())
}

func (p *placer) speed(service string) capacity.Speed {
	s, ok := p.speeds[service]
	if !ok {
		return capacity.NewSpeed()
	}
	return s
}

// speedNow returns the speed of a service's endpoints with what more urgent requests take of their time.
func (p *placer) speedNow(now time.Time, v *view, service string) capacity.Speed {
	_, gateways := v.rank(p.cfg.Region, p.cfg.Name)
	endpoints, slots := v.endpoints[service], 0
	for i := range endpoints {
		slots += endpoints[i].Slots
	}
	return p.speed(service).WithOvertaking(p.demands[service].Overtaking(now, gateways, len(endpoints), slots))
}

// draw returns a number in [0, 1) that decides among the services of a route.
func (p *placer) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// returned reports whether a caller of a route with so much time was refused before.
func (p *placer) returned(route string, patience time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest[route] = max(p.longest[route], patience)
	return patience > 0 && capacity.Returned(patience, p.longest[route])
}
