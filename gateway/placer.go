package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/retry"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

const (
	// partMemory is how long a part of a prompt is believed to be kept after its last use.
	partMemory = 20 * time.Second
	// maxParts bounds the parts remembered for one endpoint.
	maxParts = 4096
	// peerLoadAge is the age after which what another gateway has outstanding is no longer counted: its reports come
	// many times a second, so that it has ended or is cut off.
	peerLoadAge = 2 * time.Second
	// rebirthTime is how long an endpoint that could not be reached counts as cold when it can be again: it may have
	// started anew under the same id, which its heartbeat tells within that time.
	rebirthTime = 3 * time.Second
	// coldShare is the part of a cold endpoint's bound that is used, as two gateways' seconds do not begin together.
	coldShare = 0.8
	// settleCold is how long a gateway that has just started sends nothing to cold endpoints: until then the others know of
	// it, and the last second in which they used its share is over.
	settleCold = 1500 * time.Millisecond
	// holderMemory is how long a gateway that is no longer named keeps its share of cold endpoints' rates: it may be at the
	// other side of a cut.
	holderMemory = 20 * time.Second
	// budgetShare is the part of the common retry budget that is used, for the same reason.
	budgetShare = 0.85
	// regionSentMemory is how long what was sent to a region counts against the room that it told before.
	regionSentMemory = time.Second
	// crossAdvantage is the time that a request must gain to leave its region although it would be on time here: it pays for
	// what was told of the other region being a few hundred milliseconds old. Where a region is short of capacity its
	// backlog slows every stream in it, long before the first pieces are late.
	crossAdvantage = 60 * time.Millisecond
	// noLocalEndpoint is the expected time where a region has no endpoint for a request.
	noLocalEndpoint = time.Hour
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
	// ways are the breakers of the ways to other regions: when several gateways of a region cannot be reached, the others
	// are not tried one after the other.
	ways      *retry.Breakers[string]
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
		cfg: cfg, rng: rand.New(source), states: map[string]*endpointState{}, peers: map[string]*peerLoad{},
		speeds: map[string]capacity.Speed{}, demands: map[string]capacity.Demand{}, holders: map[string]time.Time{}, breakers: retry.NewBreakers[string](source), gateways: retry.NewBreakers[string](source), ways: retry.NewBreakers[string](source),
		longest: map[string]time.Duration{}, sums: map[string]peerSum{}, budgets: map[string]*retry.Allowance{}, sent: map[string][]sentTokens{}, changed: map[string]bool{},
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
	rank       int
	overtaken  float64
	reason     string
	retryAfter time.Duration
	probe      retry.Probe
	wayProbe   retry.Probe
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
	rank, n := p.share(now, v)
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

// isCold reports whether an endpoint is cold, or may be without having told so yet.
func (p *placer) isCold(e *fleet.Endpoint, s *endpointState, now time.Time) bool {
	return e.Cold(now) || now.Before(s.coldUntil) || !s.failedAt.IsZero() && now.Sub(s.failedAt) < rebirthTime
}

// coldLimit returns the number of requests that this gateway may send to a cold endpoint in one second.
func (p *placer) coldLimit(now time.Time, s *routes.Service, e *fleet.Endpoint, rank, n int) int {
	if s.ColdRate <= 0 {
		return 1 << 30
	}
	if now.Sub(p.began) < settleCold {
		return 0
	}
	whole := int(coldShare * (s.ColdRate*p.cfg.ColdBurst + p.cfg.ColdReserve))
	// Each endpoint ranks the gateways from another start, so that the larger shares do not all fall to one.
	return capacity.Share(whole, n, (rank+int(e.Born%int64(n)))%n)
}

// share returns the place of this gateway among those of its region that may send to cold endpoints, and their number.
func (p *placer) share(now time.Time, v *view) (rank, n int) {
	if p.began.IsZero() {
		p.began = now
	}
	if p.seen != v {
		p.seen = v
		for _, g := range v.gateways {
			if g.Region == p.cfg.Region {
				p.holders[g.Name] = now
			}
		}
	}
	n = 1
	for name, seen := range p.holders {
		switch {
		case name == p.cfg.Name:
		case now.Sub(seen) > holderMemory:
			delete(p.holders, name)
		default:
			n++
			if name < p.cfg.Name {
				rank++
			}
		}
	}
	return rank, n
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

// cross returns a gateway of another region, if a request is served earlier there.
func (p *placer) cross(now time.Time, v *view, q query, speed capacity.Speed, here place) (place, bool) {
	open := p.openGateways(now, v, q)
	there, ok := capacity.Cross(p.roomsOf(now, v, q, open), q.work, speed, p.cfg.Detour, here.cost)
	if !ok && here.expected == noLocalEndpoint {
		there.Region, ok = p.blindRegion(now, v, q, open)
		there.Expected = speed.Base + p.cfg.Detour
		there.Late = there.Expected
	}
	verdict := capacity.Admit(there.Expected, there.Late, q.asked)
	if !ok || !worthCrossing(here, there.Cost, verdict) {
		return place{}, false
	}
	g := open[there.Region][p.rng.IntN(len(open[there.Region]))]
	p.sent[there.Region] = append(p.sent[there.Region], sentTokens{at: now, tokens: q.work.PromptTokens + 1})
	return place{
		verdict: verdict, gateway: g, region: there.Region, expected: there.Expected, cost: there.Cost, probe: p.gateways.Begin(now, g.Name),
		wayProbe: p.ways.Begin(now, there.Region),
	}, true
}

// worthCrossing reports whether a request goes to another region, at a cost and with a verdict there.
func worthCrossing(here place, cost time.Duration, verdict capacity.Verdict) bool {
	switch here.verdict {
	case capacity.Take:
		return verdict == capacity.Take && cost+crossAdvantage <= here.cost
	case capacity.TakeLate:
		return verdict == capacity.Take
	default:
		return verdict != capacity.Refuse
	}
}

// openGateways returns the gateways of other regions that may be asked, by region.
func (p *placer) openGateways(now time.Time, v *view, q query) map[string][]fleet.Gateway {
	open := map[string][]fleet.Gateway{}
	for _, g := range v.gateways {
		if g.Region == p.cfg.Region || !g.Ready || !q.route.Allows(g.Region) || q.tried[g.Name] || q.tried[g.Region] ||
			!p.ways.Allows(now, g.Region) || !p.gateways.Allows(now, g.Name) {
			continue
		}
		open[g.Region] = append(open[g.Region], g)
	}
	return open
}

// roomsOf returns what regions told of the room for a service.
func (p *placer) roomsOf(now time.Time, v *view, q query, open map[string][]fleet.Gateway) []capacity.Room {
	var rooms []capacity.Room
	for region := range open {
		told := v.rooms[region]
		if room, ok := told.services[q.service.Name]; ok {
			room.Age = now.Sub(told.heard)
			room.Sent = p.sentTo(now, region)
			rooms = append(rooms, room)
		}
	}
	return rooms
}

// blindRegion returns a region that has told nothing of its room lately, or false if all of them told that they are full.
func (p *placer) blindRegion(now time.Time, v *view, q query, regions map[string][]fleet.Gateway) (string, bool) {
	var silent []string
	for region := range regions {
		room, told := v.rooms[region].services[q.service.Name]
		room.Age = now.Sub(v.rooms[region].heard)
		if !told || !room.Current() {
			silent = append(silent, region)
		}
	}
	if len(silent) == 0 {
		return "", false
	}
	return silent[p.rng.IntN(len(silent))], true
}

func (p *placer) sentTo(now time.Time, region string) int64 {
	var kept []sentTokens
	var total int64
	for _, s := range p.sent[region] {
		if now.Sub(s.at) < regionSentMemory {
			kept = append(kept, s)
			total += s.tokens
		}
	}
	p.sent[region] = kept
	return total
}

// room returns what this region's endpoints have left to give, by service.
func (p *placer) room(now time.Time, v *view) []*wiregen.ServiceRoom {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*wiregen.ServiceRoom
	if v.table == nil {
		return nil
	}
	for name, endpoints := range v.endpoints {
		service := v.table.Service(name)
		if service == nil {
			continue
		}
		all = append(all, p.serviceRoom(now, v, service, endpoints))
	}
	return all
}

const permille = 1000

// roomObjective is the expected time up to which an endpoint counts as having room, the longest objective of the
// deployments' routes. Whether a request that crosses is on time is decided from the wait that is told along.
const roomObjective = time.Second

func (p *placer) serviceRoom(now time.Time, v *view, service *routes.Service, endpoints []fleet.Endpoint) *wiregen.ServiceRoom {
	p.sweep(now)
	speed := p.speedNow(now, v, service.Name)
	m := &wiregen.ServiceRoom{Service: service.Name}
	for range capacity.Ranks {
		m.WaitMillis = append(m.WaitMillis, noLocalEndpoint.Milliseconds())
	}
	busy := 0.0
	for i := range endpoints {
		e := &endpoints[i]
		s := p.state(e)
		if p.breakers.State(now, e.ID) != retry.Closed || p.isCold(e, s, now) || !e.GoneAt.IsZero() {
			continue
		}
		peers := p.peerSum(now, e.ID)
		if s.outcomes.Plus(now, peers.outcomes).Failing(now) > capacity.FailingShare {
			continue
		}
		c := capacity.Candidate{ID: e.ID, Outstanding: s.own.Plus(peers.outstanding), Health: s.health, Slots: e.Slots}
		if service.Engine != nil {
			c.Memory = service.Engine.CacheTokens
		}
		for rank := range capacity.Ranks {
			wait := capacity.Expected(c, capacity.Work{Rank: rank}, 0, speed).Wait
			m.WaitMillis[rank] = min(m.WaitMillis[rank], wait.Milliseconds())
		}
		last := capacity.Expected(c, capacity.Work{Rank: capacity.Ranks - 1}, 0, speed)
		m.Endpoints++
		busy += s.busy(now, speed, peers)
		if !last.Full && last.Wait < roomObjective {
			tokens := int64(roomObjective-last.Wait) / int64(max(speed.Token, 1))
			if c.Memory > 0 {
				tokens = min(tokens, c.Memory-c.Outstanding.HeldTokens)
			}
			m.PromptTokens += max(tokens, 0)
		}
	}
	m.BusyPermille = int32(permille * busy / float64(max(m.Endpoints, 1)))
	return m
}

// roomsTold forgets what was sent to regions before they told their room again. The way to one that was not heard of for
// a while, and is now, is open again.
func (p *placer) roomsTold(now time.Time, v *view, rooms []*wiregen.RegionRoom) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range rooms {
		before := capacity.Room{Age: now.Sub(v.rooms[m.GetRegion()].heard)}
		if now := (capacity.Room{Age: time.Duration(m.GetAgeMillis()) * time.Millisecond}); !before.Current() && now.Current() {
			p.ways.Forget(m.GetRegion())
			for _, g := range v.gateways {
				if g.Region == m.GetRegion() {
					p.gateways.Forget(g.Name)
				}
			}
		}
		// A request that crossed just before the room was told is not in it yet.
		told := now.Add(-time.Duration(m.GetAgeMillis())*time.Millisecond - p.cfg.Detour)
		var kept []sentTokens
		for _, s := range p.sent[m.GetRegion()] {
			if s.at.After(told) {
				kept = append(kept, s)
			}
		}
		p.sent[m.GetRegion()] = kept
	}
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
