package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fairness"
	"arbutusreel/fleet"
	"arbutusreel/origin"
	"arbutusreel/retry"
	"arbutusreel/routes"
)

const (
	// cachedPartTTL is how long after its last use a prompt part is assumed to stay in an endpoint's prefix cache.
	cachedPartTTL = 20 * time.Second
	// maxCachedParts is the number of tracked parts of one endpoint above which expired ones are removed.
	maxCachedParts = 4096
	// retryBudgetShare is the share of the common retry budget that is used. It leaves a reserve because the windows of
	// the gateways are not aligned.
	retryBudgetShare = 0.85
)

// endpointState holds what this gateway tracks of an endpoint besides its fleet record.
type endpointState struct {
	born        int64
	outstanding capacity.Outstanding
	// held is the memory that this gateway's requests hold, whose sum is outstanding.HeldTokens.
	held   capacity.HeldMemory
	recent capacity.RecentTokens
	// failures is the share of this gateway's requests that failed there, rejections included.
	failures capacity.Failures
	// pace is the endpoint's pace in this gateway's requests.
	pace capacity.Pace
	// decode is its pace between the events of this gateway's streams.
	decode decodePace
	// outcomes counts the results of this gateway's requests, the endpoint's own error answers included.
	outcomes capacity.Outcomes
	// cachedParts maps the ID of a prompt part to the time of its last use.
	cachedParts map[string]time.Time
	// turnover is the rate at which the endpoint prefills tokens of all gateways, and usedParts the hashes of the parts that
	// were sent there since the last report.
	turnover   capacity.Turnover
	usedParts  []uint64
	coldWindow *capacity.Window
	// coldUntil is the end of the cold period that the endpoint announced in an answer.
	coldUntil time.Time
	// connectFailedAt is the time of the last failed connection; zero once the endpoint has answered since.
	connectFailedAt time.Time
	// unansweredAt is the time of the last attempt to connect that nobody answered.
	unansweredAt time.Time
	// pausedUntil is the end of the pause that the endpoint asked this gateway for.
	pausedUntil time.Time
	limit       endpointLimit
	brittle     brittleness
	plain       capacity.PlainReport
	// receivedNanos is the Unix time of the last piece of an answer from the endpoint, in nanoseconds.
	receivedNanos *atomic.Int64
}

// placer selects the endpoint or the region for each request. It does no I/O and is safe for concurrent use.
type placer struct {
	cfg Config

	// startedAt is when the gateway started.
	startedAt time.Time

	// mu is a pointer so that fork can copy the placer.
	mu     *sync.Mutex
	rng    *rand.Rand
	states map[string]*endpointState
	peers  *peerLoads
	speeds map[string]capacity.Speed
	// holders are the endpoints that have parts of prompts cached, and prompt those of the present decision. reportPace holds
	// the services whose endpoints have reported a pace.
	holders    *capacity.Holders
	prompt     capacity.PromptHolders
	reportPace map[string]bool
	// caches counts cached tokens by service.
	caches map[string]cacheCounts
	// lengths are those of the answers by route.
	lengths          map[string]capacity.Lengths
	demands          map[string]capacity.Demand
	plainDemands     map[string]capacity.PlainDemand
	endpointBreakers *retry.Breakers[string]
	gatewayBreakers  *retry.Breakers[string]
	// regionBreakers are the circuit breakers of whole regions: once several gateways of a region have been
	// unreachable, the others are not tried one after the other.
	regionBreakers *retry.Breakers[string]
	retryBudgets   map[string]*retry.Allowance
	sentToRegion   map[string][]sentTokens
	// sheds holds the forwards because of this region's load, by service.
	sheds    map[string]capacity.Forwards
	fairness *fairness.Services
	// forwards counts the recent requests forwarded to each region.
	forwards         map[string]*capacity.Window
	changedEndpoints map[string]bool
	// loadsChanged receives a value when changedEndpoints or newDepartures has grown.
	loadsChanged chan struct{}
	maxGateways  int
	// longestPatience is the longest time limit seen from the callers of each route.
	longestPatience map[string]time.Duration
	// reportSequence is the number of the last load report.
	reportSequence int64
	// reportedEmpty reports whether the last report was a whole one without any load.
	reportedEmpty bool
	// departures are the endpoints that announced to any gateway of the region that they are leaving, and
	// newDepartures those announced to this gateway that have not been reported to the others.
	departures    *fleet.Departures
	newDepartures []fleet.Departure
	// changedLimits are the endpoints that have said something new of their limit since the last report, and returns
	// the callers that were refused for limits, by service.
	changedLimits map[string]bool
	returns       map[string]*returns
	// tracked holds by service what decisions look up by endpoint.
	tracked map[string]*trackedEndpoints
	// stateGeneration changes when a state is replaced.
	stateGeneration int
	// candidates and endpoints are buffers that are reused by each decision.
	candidates []capacity.Candidate
	endpoints  []*fleet.Endpoint
	// firstDecisionAt is the time of the first decision. shareHolders maps each gateway of the region to the time when
	// it was last listed, as of holdersView, and strandedHolders those that reach no endpoint.
	firstDecisionAt time.Time
	shareHolders    map[string]time.Time
	strandedHolders map[string]bool
	holdersView     *view
	counted         countedSharers
	reach           *reach
	// otherGateways is the number of other gateways of the region, as of the last decision.
	otherGateways int
	// sweptAt is when expired peers and departures were last removed.
	sweptAt time.Time
}

type sentTokens struct {
	at     time.Time
	tokens int64
}

func newPlacer(cfg Config, source rand.Source) *placer {
	return &placer{
		cfg:              cfg,
		mu:               &sync.Mutex{},
		rng:              rand.New(source),
		states:           map[string]*endpointState{},
		tracked:          map[string]*trackedEndpoints{},
		peers:            newPeerLoads(),
		speeds:           map[string]capacity.Speed{},
		holders:          capacity.NewHolders(),
		reportPace:       map[string]bool{},
		caches:           map[string]cacheCounts{},
		lengths:          map[string]capacity.Lengths{},
		demands:          map[string]capacity.Demand{},
		plainDemands:     map[string]capacity.PlainDemand{},
		endpointBreakers: retry.NewBreakers[string](source),
		gatewayBreakers:  retry.NewBreakers[string](source),
		regionBreakers:   retry.NewBreakers[string](source),
		retryBudgets:     map[string]*retry.Allowance{},
		sentToRegion:     map[string][]sentTokens{},
		sheds:            map[string]capacity.Forwards{},
		fairness:         fairness.NewServices(),
		forwards:         map[string]*capacity.Window{},
		changedEndpoints: map[string]bool{},
		loadsChanged:     make(chan struct{}, 1),
		longestPatience:  map[string]time.Duration{},
		departures:       fleet.NewDepartures(),
		changedLimits:    map[string]bool{},
		returns:          map[string]*returns{},
		shareHolders:     map[string]time.Time{},
		strandedHolders:  map[string]bool{},
		holdersView:      &view{},
		reach:            newReach(),
	}
}

// query describes a request for which an endpoint or a region is selected.
type query struct {
	route *routes.Route
	// team is that of the caller; nil if there is none.
	team    *routes.Team
	service *routes.Service
	work    capacity.Work
	budget  capacity.TimeBudget
	// tried holds the endpoints, gateways and regions that must not be tried again.
	tried map[string]bool
	// forwarded requests came from another region and must not leave this one.
	forwarded bool
	// began is what began the stream that the request resumes; nil for a new one. Only endpoints of that origin may go on.
	began *origin.Origin
	// mustPlace accepts any endpoint regardless of the expected time: a stream in progress is better resumed late than
	// broken off.
	mustPlace bool
}

// mayServe reports whether an endpoint of the service may serve the request by its software version.
func (q query) mayServe(e *fleet.Endpoint) bool {
	return q.began == nil || e.Software == q.began.Software
}

// mayServeIn reports whether another region may serve the request, by the route's homes and the region's software versions.
func (q query) mayServeIn(v *view, region string) bool {
	return q.allows(region) && (q.began == nil || v.software.serves(region, *q.began))
}

// decision is the result of a query: an endpoint of this region, a gateway of this or another region, or a refusal.
type decision struct {
	verdict  capacity.Verdict
	endpoint fleet.Endpoint
	gateway  fleet.Gateway
	// region is that of the gateway; empty if there is none. handed reports that it is this one.
	region   string
	handed   bool
	expected time.Duration
	// cost is the expected time plus the penalties of the candidate.
	cost time.Duration
	// end is the expected time to the end of the answer, and pace the estimated pace of the endpoint; zero if not known.
	end  time.Duration
	pace float64
	// waitFactor is the factor of the pace in expected; zero stands for one.
	waitFactor     float64
	uncachedTokens int64
	addedLoad      capacity.Outstanding
	// choice is the choice among the endpoints of this region; zero if there was none.
	choice capacity.Choice
	// backlog is the outstanding work of the endpoint before this request.
	backlog    capacity.Outstanding
	candidates int
	// grantFrame is the frame in which the request was granted a free slot of a brittle endpoint; zero if none was needed.
	grantFrame int64
	affinity   bool
	// fetchFrom is the address of the engine from which the cached prefix of the prompt is fetched; empty for none.
	fetchFrom string
	// full reports whether the endpoint had no free slot or no free memory.
	full bool
	// rank is the priority rank of the request, and preemptedShare the share of the endpoint's time that requests of
	// higher priority take.
	rank           int
	preemptedShare float64
	// yields reports that the request is refused to leave capacity to others, by the shares of teams or the order within a priority.
	yields bool
	// order is where the request stands among others by the shares of teams; zero for one without a team.
	order       fairness.Order
	reason      string
	retryAfter  time.Duration
	probe       retry.Probe
	regionProbe retry.Probe
}

// Reasons for a refusal.
const (
	reasonNoEndpoint = "noEndpoint"
	reasonBacklog    = "backlog"
	// reasonCrowded: the free slots of all endpoints are left for more urgent requests.
	reasonCrowded = "crowded"
	// reasonUnfinished: no endpoint of the region is expected to complete the answer in time.
	reasonUnfinished = "unfinished"
	// reasonMemory: no endpoint of the region has memory for the request.
	reasonMemory = "memory"
	// reasonPaused: all endpoints of the region have asked this gateway to pause.
	reasonPaused = "paused"
	// reasonLimited: the limits of all endpoints of the region leave this gateway no request now.
	reasonLimited = "limited"
	// reasonBrittle: this gateway has no grant left for the endpoints of the region, which fall over if they must reject requests.
	reasonBrittle = "brittle"
	// reasonFull: the free slots of the endpoints, which have no engines, are left to other requests.
	reasonFull = "full"
	// reasonStranded: no endpoint of the region is reached from here, and no other gateway of it may take the request.
	reasonStranded           = "stranded"
	reasonNotAllowedInRegion = "notAllowedInRegion"
)

// decide selects where a request goes.
func (p *placer) decide(now time.Time, v *view, q query) decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	speed := p.currentSpeed(now, v, q.service.Name)
	q.work.Rank = capacity.Rank(q.priority(), false)
	peers := p.peersToHandTo(now, v, q)
	local, endpoints, held := p.localCandidates(now, v, q, len(peers) > 0)
	local, endpoints = p.plainCandidates(now, q, local, endpoints, &held)
	choice, ok := capacity.Choose(local, q.work, speed, fetchTimePerToken(q.service), q.route.Objective, p.rng.Float64())
	here := p.withoutChoice(now, q, speed, len(local), held)
	if !ok && held == (withheld{}) && len(v.endpoints[q.service.Name]) > 0 && !p.reach.unreachable {
		// All circuit breakers are open, so that no further failure would show that this gateway is cut off.
		signal(p.reach.doubted)
	}
	if ok {
		here = p.withChoice(q, speed, local, endpoints, choice)
	}
	fair := p.applyFairness(now, q, speed, here)
	if fair.yields {
		// Any region that serves the request in time is better than a refusal.
		here = fair
		here.cost = noEndpointTime
	}
	if !q.forwarded && (here.verdict != capacity.Take || here.cost > p.cfg.RegionRoundTrip+minCrossRegionGain) {
		if there, ok := p.crossRegion(now, v, q, speed, here); ok {
			there.order = fair.order
			return there
		}
	}
	here = fair
	p.recordFairness(now, q, here)
	switch {
	case here.verdict == capacity.Refuse:
		here.retryAfter = p.retryAfter(now, q, here, held)
	case len(peers) > 0:
		return p.handTo(now, peers, here)
	default:
		s := p.state(&here.endpoint)
		s.limit.take(now)
		here.grantFrame = s.brittle.start(now)
	}
	return here
}

// withoutChoice returns the decision about a request that no endpoint of this region may get.
func (p *placer) withoutChoice(now time.Time, q query, speed capacity.Speed, candidates int, held withheld) decision {
	here := decision{verdict: capacity.Refuse, expected: noEndpointTime, cost: noEndpointTime, reason: reasonNoEndpoint, candidates: candidates}
	switch {
	case !q.allows(p.cfg.Region):
		here.reason = reasonNotAllowedInRegion
	case p.reach.stranded:
		here.reason = reasonStranded
	case held.limited > 0:
		here.expected, here.reason = p.limitedWait(now, q.service.Name, held)+speed.Base, reasonLimited
	case held.full > 0:
		here.reason = reasonFull
	case held.brittle > 0:
		here.expected, here.reason = p.brittleWait()+speed.Base, reasonBrittle
	case !held.pauseEnd.IsZero():
		here.expected, here.reason = held.pauseEnd.Sub(now)+speed.Base, reasonPaused
	}
	return here
}

// withChoice returns the decision about a request, given the chosen candidate.
func (p *placer) withChoice(q query, speed capacity.Speed, local []capacity.Candidate, endpoints []*fleet.Endpoint, choice capacity.Choice) decision {
	here := decision{
		endpoint: *endpoints[choice.Index], choice: choice, reason: reasonBacklog, candidates: len(local),
		expected: choice.Expected, cost: choice.Cost, uncachedTokens: choice.UncachedTokens, affinity: choice.Preferred, full: choice.Full,
		end: choice.End, pace: choice.Pace, waitFactor: choice.WaitFactor, backlog: local[choice.Index].Outstanding, addedLoad: q.work.Load(choice.UncachedTokens), rank: q.work.Rank,
	}
	if choice.FetchFrom >= 0 {
		here.fetchFrom = endpoints[choice.FetchFrom].Address
	}
	late := q.work
	late.Rank = capacity.Rank(q.priority(), true)
	here.verdict = choice.Admit(capacity.EstimateWait(local[choice.Index], late, choice.UncachedTokens, speed).Wait, q.budget)
	switch {
	case choice.Crowded:
		here.verdict, here.reason = capacity.Refuse, reasonCrowded
	case choice.MemoryFull:
		here.verdict, here.reason = capacity.Refuse, reasonMemory
	}
	if choice.Unfinished && p.cfg.Pressure {
		here.verdict, here.reason = capacity.Refuse, reasonUnfinished
	}
	if choice.Harmful {
		here.verdict, here.reason = capacity.Refuse, reasonCrowded
	}
	if q.mustPlace {
		here.verdict = capacity.Take
	}
	if here.verdict == capacity.TakeLate {
		here.addedLoad, here.rank = late.Load(choice.UncachedTokens), late.Rank
	}
	here.preemptedShare = speed.Overtaking.Prefill[here.rank]
	return here
}

// peersToHandTo returns the gateways of this region to which a request is handed instead of being sent to an endpoint: those that
// reach endpoints, if this one doesn't or may not. It returns none for a request that was forwarded or handed over before, or that
// another gateway of the region has refused, and none if no gateway of the region is known to reach an endpoint.
func (p *placer) peersToHandTo(now time.Time, v *view, q query) []fleet.Gateway {
	if q.forwarded || q.tried[p.cfg.Region] || !q.allows(p.cfg.Region) {
		return nil
	}
	inDoubt := p.reach.doubtful(v.listedCount()) && !p.reach.unreachable
	if !inDoubt && !p.reach.handsOver(now, p.rng) {
		return nil
	}
	return p.reachingPeers(now, v, q.tried)
}

// listedCount returns the number of ready endpoints of the region.
func (v *view) listedCount() int {
	n := 0
	for _, endpoints := range v.endpoints {
		n += len(endpoints)
	}
	return n
}

// handTo returns the decision to hand a request that an endpoint of the region may take to one of the peers, which chooses the
// endpoint.
func (p *placer) handTo(now time.Time, peers []fleet.Gateway, here decision) decision {
	g := peers[p.rng.IntN(len(peers))]
	return decision{
		verdict: here.verdict, gateway: g, region: p.cfg.Region, handed: true, expected: here.expected, cost: here.cost,
		candidates: here.candidates, probe: p.gatewayBreakers.Begin(now, g.Name),
	}
}

// retryAfter returns when the caller of a refused request may return.
func (p *placer) retryAfter(now time.Time, q query, refused decision, held withheld) time.Duration {
	if after, ok := p.returnTime(now, q, refused); ok {
		return after
	}
	if refused.reason == reasonStranded {
		return strandedRetryAfter + time.Duration(p.rng.Float64()*float64(strandedRetryAfter)/2)
	}
	if refused.reason == reasonBrittle {
		return p.brittleWait()
	}
	if refused.reason == reasonLimited {
		after := p.limitedWait(now, q.service.Name, held)
		p.returnsOf(q.service.Name).add(now, after)
		return after
	}
	d := capacity.RetryAfter(min(refused.expected, 2*q.route.Objective), q.budget, p.rng.Float64())
	if held.pauseEnd.IsZero() {
		return d
	}
	pause := capacity.RetryAfterPause(held.pauseEnd.Sub(now), p.rng.Float64())
	if refused.candidates == 0 || pause < d {
		return pause
	}
	return d
}

// fetchTimePerToken returns the time to fetch one prompt token from another endpoint's prefix cache, or zero if the
// service's engines cannot do so.
func fetchTimePerToken(s *routes.Service) time.Duration {
	if s.Engine == nil {
		return 0
	}
	return s.Engine.FetchTimePerToken
}

// canServeOnTime reports whether an endpoint of this region is expected to answer a request within its objective.
func (p *placer) canServeOnTime(now time.Time, v *view, q query) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.work.Rank = capacity.Rank(q.priority(), false)
	local, _, _ := p.localCandidates(now, v, q, len(p.peersToHandTo(now, v, q)) > 0)
	choice, ok := capacity.Choose(local, q.work, p.currentSpeed(now, v, q.service.Name), fetchTimePerToken(q.service), q.route.Objective, 0)
	return ok && !choice.MemoryFull && capacity.Admit(choice.Expected, choice.Expected, q.budget) == capacity.Take
}

// localCandidates returns the endpoints of this region that may take a request, and what keeps others from it. If another gateway is
// to send the request, what keeps this one from sending it does not count. The slices are valid until the next call.
func (p *placer) localCandidates(now time.Time, v *view, q query, byOther bool) (_ []capacity.Candidate, _ []*fleet.Endpoint, held withheld) {
	if !q.allows(p.cfg.Region) {
		return nil, nil, withheld{}
	}
	p.expire(now, v)
	sharers := p.sharersOf(now, v)
	p.otherGateways = sharers.all.n - 1
	unseen := p.unseenShare(now)
	speed := p.speed(q.service.Name)
	all := v.endpoints[q.service.Name]
	// A later incarnation of an endpoint is known from here on, whose cache holds nothing.
	tracked := p.trackedEndpoints(q.service.Name, all)
	retains := p.retains(q.service.Name)
	if retains {
		p.prompt = p.holders.Of(now, q.work, p.prompt)
	}
	p.candidates, p.endpoints = slices.Grow(p.candidates[:0], len(all)), p.endpoints[:0]
	for i := range all {
		e, s, peers := &all[i], tracked.endpoints[i].state, tracked.endpoints[i].peers
		if p.exclusionOf(now, &q, e, s, peers, byOther, sharers, &held) != included {
			continue
		}
		tokens := s.recent.Tokens(now) + peers.recent.Tokens(now)
		p.candidates = append(p.candidates, capacity.Candidate{ID: e.ID, Slots: e.Slots})
		c := &p.candidates[len(p.candidates)-1]
		c.Decode, c.Outstanding = capacity.EstimateDecode(now, &s.decode.pace, &peers.decode), s.outstanding.Plus(peers.outstanding)
		c.Health.Factor, c.Health.FailureRate = s.pace.Plus(now, peers.pace).Factor(now), s.failures.Rate(now)
		c.FailureRate, c.Busy = s.outcomes.Plus(now, peers.outcomes).FailureRate(now), speed.Busy(tokens)
		c.Remote = e.FailureDomain != p.cfg.FailureDomain
		if q.service.Engine != nil {
			c.Memory, c.Preempts = q.service.Engine.CacheTokens, true
			p.countMemory(now, c, s, q.work, peers, unseen)
			if retains {
				p.countCached(now, c, s, e, tokens)
			} else {
				c.CachedParts = s.cachedPartCount(now, q.work)
			}
		}
		p.endpoints = append(p.endpoints, e)
	}
	capacity.NormalizePace(p.candidates)
	return p.candidates, p.endpoints, held
}

// state returns the tracked state of the latest known incarnation of an endpoint. A new incarnation starts afresh,
// except for the requests still outstanding.
func (p *placer) state(e *fleet.Endpoint) *endpointState {
	s := p.states[e.ID]
	if s == nil || s.born < e.Born {
		own, held := capacity.Outstanding{}, capacity.HeldMemory{}
		if s != nil {
			own, held = s.outstanding, s.held
			p.holders.Forget(e.ID)
		}
		s = &endpointState{born: e.Born, outstanding: own, held: held, cachedParts: map[string]time.Time{}, coldWindow: capacity.NewWindow(time.Second), receivedNanos: new(atomic.Int64)}
		p.states[e.ID] = s
		p.stateGeneration++
		p.endpointBreakers.Forget(e.ID)
	}
	return s
}

// sweepPeriod is the interval at which expired state is removed.
const sweepPeriod = 500 * time.Millisecond

// expire removes the loads of gateways that have ended, and departures of endpoints that have ended.
func (p *placer) expire(now time.Time, v *view) {
	if now.Sub(p.sweptAt) < sweepPeriod {
		return
	}
	p.sweptAt = now
	p.departures.Expire(now, v.lists)
	p.peers.expire(now, v.gateways)
	p.forgetLimits(v)
}

// prefillShare returns the share of its time that an endpoint spends on prefill, from the tokens that all gateways sent
// recently.
func (s *endpointState) prefillShare(now time.Time, speed *capacity.Speed, peers *endpointLoad) float64 {
	return speed.Busy(s.recent.Tokens(now) + peers.recent.Tokens(now))
}

// cachedPartCount returns the number of leading shared parts of a prompt that this gateway has recently sent to the endpoint.
func (s *endpointState) cachedPartCount(now time.Time, w capacity.Work) int {
	shared := w.Shared()
	for i, part := range shared {
		if used, ok := s.cachedParts[part.ID]; !ok || now.Sub(used) > cachedPartTTL {
			return i
		}
	}
	return len(shared)
}

// speed returns the learned speed of a service's endpoints, or the initial one.
func (p *placer) speed(service string) capacity.Speed {
	s, ok := p.speeds[service]
	if !ok {
		return capacity.NewSpeed()
	}
	return s
}

// currentSpeed returns the speed of a service's endpoints together with the share of their time that requests of higher
// priority take.
func (p *placer) currentSpeed(now time.Time, v *view, service string) capacity.Speed {
	_, gateways := v.rank(p.cfg.Region, p.cfg.Name)
	endpoints, slots := v.endpoints[service], 0
	for i := range endpoints {
		slots += endpoints[i].Slots
	}
	return p.speed(service).WithOvertaking(p.demands[service].Overtaking(now, gateways, len(endpoints), slots))
}

// draw returns a random number in [0, 1) that selects one of a route's services.
func (p *placer) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// refusedBefore reports whether the caller of a route, by its remaining time limit, was refused before. Callers count
// their time from the first attempt, so that one with much less than the longest limit seen has come back.
func (p *placer) refusedBefore(route string, patience time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longestPatience[route] = max(p.longestPatience[route], patience)
	return patience > 0 && capacity.IsRetry(patience, p.longestPatience[route])
}
