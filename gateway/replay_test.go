package gateway

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/routes"
)

// The simulation in this file offers a region more load than its engines can serve, in virtual time: the placers decide
// as they do in production, the engines batch as those of the deployments do, and callers leave a stream that stays
// silent.

const replaySeed = 1

// replaySite describes a region and its load.
type replaySite struct {
	// pressure enables the placement for deployments that ask for it, and weighEven the cost of pauses at engines of equal paces.
	pressure, weighEven      bool
	engines, slots, gateways int
	// queue is the number of requests that an engine lets wait beyond its slots before it rejects them; zero means no
	// limit.
	queue int
	// cacheTokens is the memory of an engine that is shared by running requests and cached parts of prompts.
	cacheTokens int64
	// timing is how long steps take; nil for the usual figures. memoryBound lets the engines preempt requests for memory.
	timing      *replayTiming
	memoryBound bool
	// cacheOwn keeps the own parts of ended requests in the cache too, so that they evict shared ones.
	cacheOwn bool
	// fetch is the time to fetch a token of a shared part from another engine; zero if engines cannot.
	fetch time.Duration
	// chunks is the number of prompts of which an engine reads a chunk in one step, and gap the longest pause between
	// the events of a stream that is on time; zero means one chunk and no limit.
	chunks int
	gap    time.Duration
	// stepTime is the duration of an engine's step with the given number of running requests, with or without prefill; nil for
	// the usual one. An event holds eventTokens tokens, 9 if it is zero, and tick is the unit of time, a millisecond if zero.
	stepTime    func(running int, prefill bool) time.Duration
	eventTokens int
	tick        time.Duration
	// hintError is the standard deviation of the logarithm of the factor by which hints of lengths are wrong.
	hintError float64
	// slowdown is the factor by which an engine's steps take longer at a time; nil for none.
	slowdown func(engine int, now time.Duration) float64
	// rate is the number of requests a second at a time.
	rate     func(now time.Duration) float64
	duration time.Duration
	kinds    []replayKind
	// retries lets callers return once after a refusal.
	retries bool
	// report exchanges the loads of the gateways; it is called each millisecond.
	report func(p *replay, now time.Duration)
}

// reportAll reports the loads of all gateways to all others at once in each period, also in later replays of the same site.
func reportAll(period time.Duration) func(p *replay, now time.Duration) {
	var reported time.Duration
	return func(p *replay, now time.Duration) {
		if now-reported >= period || now < reported {
			reported = now
			p.report(replayStart.Add(now))
		}
	}
}

// overloadedSite is a small region that is offered 1.4 times the load of its engines: at 130 requests a second of this
// mix, all of them prefill and decode without a pause.
func overloadedSite() replaySite {
	return replaySite{
		engines: 8, slots: 32, gateways: 4, cacheTokens: 500_000, duration: 12 * time.Second, kinds: replayKinds(),
		rate: func(time.Duration) float64 { return 130 * 1.4 }, report: reportAll(100 * time.Millisecond),
	}
}

// replayKind is a kind of request.
type replayKind struct {
	name           string
	share          float64
	priority       int
	prompt, output float64
	objective      time.Duration
	patience       time.Duration
	worth          float64
	// gap is the route's target for pauses; zero for none.
	gap time.Duration
	// subjects is the number of shared parts of prompts, of which each request has one in addition to its own prompt,
	// with shared tokens each; zero for none.
	subjects int
	shared   int64
}

func replayKinds() []replayKind {
	return []replayKind{
		{name: "check", share: 0.445, priority: 0, prompt: 1800, output: 22, objective: 600 * time.Millisecond, patience: 3 * time.Second, worth: 1.4},
		{name: "notice", share: 0.315, priority: 1, prompt: 630, output: 290, objective: 600 * time.Millisecond, patience: 10 * time.Second, worth: 1.9},
		{name: "plan", share: 0.24, priority: 2, prompt: 6600, output: 380, objective: time.Second, patience: 12 * time.Second, worth: 2.7},
	}
}

// replayRequest is one request at an engine.
type replayRequest struct {
	kind *replayKind
	// left is the number of prompt tokens that are not read yet, and made the number of output tokens generated.
	prompt, left int
	output, made int
	// hint is the length that the caller expects.
	hint    int
	urgency int
	arrived time.Duration
	firstAt time.Duration
	// eventAt is the time of the last event, and gap the longest time between two events.
	eventAt, gap time.Duration
	// returnsAt is when the caller of a refused request returns; zero if it does not. Refused reports whether the request was
	// refused before.
	returnsAt time.Duration
	refused   bool
	// preempted reports whether the request lost its slot to another, and forwarded whether it was sent to another region.
	preempted, forwarded bool
	// home is the region to which the caller connected; nil if there is only one.
	home    *replay
	gateway int
	attempt *attempt
	engine  *replayEngine
	done    bool
	// subject is the id of the shared part of the prompt; empty for none.
	subject string
	// preferred reports whether the placer chose the engine for the shared part, and source the engine to fetch it from.
	preferred bool
	source    *replayEngine
}

// parts returns the parts of the prompt for the placer.
func (r *replayRequest) parts() []capacity.Part {
	if r.subject == "" {
		return nil
	}
	return []capacity.Part{{ID: r.subject, Tokens: r.kind.shared}, {ID: "own", Tokens: int64(r.prompt) - r.kind.shared}}
}

func (r *replayRequest) before(other *replayRequest) int {
	return cmp.Or(cmp.Compare(r.urgency, other.urgency), cmp.Compare(r.arrived, other.arrived))
}

// replayEngine simulates continuous batching: it admits requests by priority, preempts the running one of the lowest
// priority for them, and in each step prefills a chunk of prompts and generates a token for each request whose prompt
// has been read.
type replayEngine struct {
	slots, queue int
	chunks       int
	stepTime     func(running int, prefill bool) time.Duration
	eventTokens  int
	// limited reports that running requests must fit in the memory, and selects the slower model of a step.
	limited bool
	// slowdown is the factor by which steps take longer; zero means one.
	slowdown    float64
	cacheTokens int64
	timing      replayTiming
	memoryBound bool
	// preemptedForMemory counts the requests that lost their memory.
	preemptedForMemory int
	// taken counts the requests that the engine accepted, and preempted how often one lost its slot to another.
	taken, preempted int
	running, waiting []*replayRequest
	nextStepAt       time.Duration
	// cached maps the shared parts in the cache to the time of their last use; readAgain counts the tokens of shared
	// parts that were read.
	cached    map[string]time.Duration
	readAgain int64
	// own holds the sizes of cached own parts of ended requests; nil if they are not kept. shared is called for each shared
	// part, with whether the engine reads it.
	own    map[string]int64
	shared func(r *replayRequest, now time.Duration, read bool)
	fetch  time.Duration
}

// offer adds a request to the queue, or returns false if the queue is full.
func (e *replayEngine) offer(r *replayRequest) bool {
	if e.queue > 0 && len(e.waiting)+len(e.running) >= e.queue+e.slots {
		return false
	}
	e.waiting = append(e.waiting, r)
	e.taken++
	return true
}

// readShared reads the shared part of a prompt from the cache, or counts it as read and stores it. The least recently
// used parts are evicted to keep within the memory that running requests leave.
func (e *replayEngine) readShared(r *replayRequest, now time.Duration) {
	if r.subject == "" {
		return
	}
	_, ok := e.cached[r.subject]
	if !ok && r.source != nil {
		_, fetched := r.source.cached[r.subject]
		ok = fetched
		if fetched {
			e.nextStepAt += e.fetch * time.Duration(r.kind.shared)
		}
	}
	if ok {
		r.left -= int(r.kind.shared)
	} else {
		e.readAgain += r.kind.shared
	}
	if e.shared != nil {
		e.shared(r, now, !ok)
	}
	e.cached[r.subject] = now
	if e.own != nil {
		e.evictCached(r.kind.shared)
		return
	}
	free := e.cacheTokens
	for _, other := range e.running {
		free -= int64(other.prompt + other.made)
	}
	// The own parts of ended requests take up memory until they are evicted, too; half of it is assumed to be theirs.
	for len(e.cached) > 1 && int64(len(e.cached))*r.kind.shared > max(free/2, 0) {
		oldest := ""
		for id, used := range e.cached {
			if oldest == "" || used < e.cached[oldest] || used == e.cached[oldest] && id < oldest {
				oldest = id
			}
		}
		delete(e.cached, oldest)
	}
}

func (e *replayEngine) admit(now time.Duration) {
	slices.SortFunc(e.waiting, (*replayRequest).before)
	slices.SortFunc(e.running, (*replayRequest).before)
	for len(e.waiting) > 0 && e.hasMemory() {
		first := e.waiting[0]
		if e.limited && len(e.running) > 0 && e.reserved()+int64(first.prompt) > e.cacheTokens {
			return
		}
		if len(e.running) == e.slots {
			last := e.running[e.slots-1]
			if first.urgency >= last.urgency {
				return
			}
			last.left = last.prompt + last.made
			e.preempted++
			last.preempted = true
			e.running, e.waiting = e.running[:e.slots-1], append(e.waiting, last)
		}
		e.waiting, e.running = e.waiting[1:], append(e.running, first)
		if first.made == 0 && first.left == first.prompt {
			e.readShared(first, now)
		}
		slices.SortFunc(e.running, (*replayRequest).before)
	}
}

// reserved returns the tokens that the running requests hold once their prompts are read; a shared part counts once.
func (e *replayEngine) reserved() int64 {
	var n int64
	counted := map[string]bool{}
	for _, r := range e.running {
		n += int64(r.prompt + r.made)
		if r.subject != "" && counted[r.subject] {
			n -= r.kind.shared
		}
		counted[r.subject] = true
	}
	return n
}

// evict preempts the newest of the least urgent requests while the running ones hold more than the memory.
func (e *replayEngine) evict() {
	slices.SortFunc(e.running, (*replayRequest).before)
	for len(e.running) > 1 && e.reserved() > e.cacheTokens {
		last := e.running[len(e.running)-1]
		last.left, last.preempted = last.prompt+last.made, true
		e.preempted++
		e.running, e.waiting = e.running[:len(e.running)-1], append(e.waiting, last)
	}
}

// step returns the requests that got their first token, those whose next event is due, those that ended, and the duration
// of the step.
func (e *replayEngine) step(now time.Duration) (first, events, ended []*replayRequest, took time.Duration) {
	eventTokens := cmp.Or(e.eventTokens, 9)
	const chunk = 1024
	timing := e.timing
	if e.limited {
		timing.tokensPerMilli, timing.slotMillis = 92, 0.12
		e.evict()
	}
	e.admit(now)
	prefilling := 0
	for _, r := range e.running {
		if r.left > 0 {
			prefilling++
		}
	}
	budget := chunk * max(min(prefilling, e.chunks), 1)
	free := budget
	for _, r := range e.running {
		if r.left > 0 {
			read := min(r.left, free, chunk)
			r.left, free = r.left-read, free-read
			continue
		}
		r.made++
		if r.made%eventTokens == 0 || r.made == r.output {
			events = append(events, r)
		}
		if r.made == 1 {
			first = append(first, r)
		}
		if r.made >= r.output {
			ended = append(ended, r)
		}
	}
	millis := timing.stepMillis + timing.slotMillis*float64(len(e.running)) + float64(budget-free)/timing.tokensPerMilli
	if e.stepTime != nil {
		millis = e.stepTime(len(e.running), budget > free).Seconds() * 1000
	}
	e.fitMemory()
	return first, events, ended, time.Duration(millis * max(e.slowdown, 1) * float64(time.Millisecond))
}

func (e *replayEngine) remove(r *replayRequest) {
	is := func(other *replayRequest) bool { return other == r }
	e.running, e.waiting = slices.DeleteFunc(e.running, is), slices.DeleteFunc(e.waiting, is)
}

// replayResult counts the requests of a kind by how they ended; left counts those whose callers disconnected.
type replayResult struct {
	asked, onTime, late, refused, left int
	// rejected counts the attempts at engines whose queue was full.
	rejected int
	// latePreempted counts the late ones that lost their slot to another, and latePause the others whose first token was on
	// time.
	latePreempted, latePause int
}

// replay is the state of one simulation.
type replay struct {
	site     replaySite
	rng      *rand.Rand
	placers  []*placer
	view     *view
	table    *routes.Table
	engines  map[string]*replayEngine
	inFlight []*replayRequest
	// returning holds the refused requests whose callers return later.
	returning []*replayRequest
	results   map[string]*replayResult
	// decide places a request and reports whether an engine has taken it; otherwise it is refused.
	decide func(p *replay, r *replayRequest, now time.Time) bool
	// reported is the time of each gateway's last report.
	reported []time.Duration
	// loadErrors are the absolute differences between the reported and the actual number of requests at the chosen engine.
	loadErrors []float64
	// firsts are the times to the first token.
	firsts []time.Duration
}

var replayStart = time.Unix(1000, 0)

func newReplay(t testing.TB, site replaySite, decide func(p *replay, r *replayRequest, now time.Time) bool) *replay {
	t.Helper()
	p := &replay{
		site: site, reported: make([]time.Duration, site.gateways),
		rng: rand.New(rand.NewPCG(replaySeed, 1)), engines: map[string]*replayEngine{}, results: map[string]*replayResult{}, decide: decide,
	}
	var all []routes.Route
	for _, kind := range site.kinds {
		p.results[kind.name] = &replayResult{}
		all = append(all, routes.Route{
			Name: kind.name, Host: testHost, PathPrefix: "/" + kind.name + "/", Kind: routes.Stream, MaxAttempts: 1, Priority: kind.priority,
			Backends: []routes.Backend{{Service: "model", Weight: 1}}, Timeout: kind.patience, Objective: kind.objective, GapObjective: kind.gap,
		})
	}
	engine := &routes.Engine{BatchSlots: site.slots, CacheTokens: site.cacheTokens, EventTokens: 10, FetchTimePerToken: site.fetch}
	table, err := routes.New(1, all, []routes.Service{{Name: "model", Engine: engine}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	p.table = table
	var endpoints []fleet.Endpoint
	for i := range site.engines {
		id := fmt.Sprintf("engine-%d", i)
		p.engines[id] = &replayEngine{
			timing: site.engineTiming(), memoryBound: site.memoryBound, slots: site.slots, chunks: site.chunks, stepTime: site.stepTime, eventTokens: site.eventTokens,
			queue: site.queue, cacheTokens: site.cacheTokens, cached: map[string]time.Duration{}, fetch: site.fetch,
		}
		if site.cacheOwn {
			p.engines[id].own = map[string]int64{}
		}
		endpoints = append(endpoints, fleet.Endpoint{ID: id, Address: id, Born: 7, Service: "model", Slots: site.slots, State: fleet.Ready})
	}
	p.view = &view{table: table, endpoints: map[string][]fleet.Endpoint{"model": endpoints}}
	for i := range site.gateways {
		cfg := testConfig()
		cfg.Name, cfg.Pressure, cfg.DrawPlain = fmt.Sprintf("gateway-%d", i), site.pressure, site.pressure
		p.view.gateways = append(p.view.gateways, fleet.Gateway{Name: cfg.Name, Region: cfg.Region, Ready: true})
		p.placers = append(p.placers, newPlacer(cfg, rand.NewPCG(uint64(i), 1)))
	}
	return p
}

// run offers the load and returns when all requests have ended.
func (p *replay) run() {
	tick := cmp.Or(p.site.tick, time.Millisecond)
	for now := time.Duration(0); now < p.site.duration || len(p.inFlight)+len(p.returning) > 0; now += tick {
		p.tick(now, tick)
		p.site.report(p, now)
	}
}

// tick simulates the time from now until a tick later.
func (p *replay) tick(now, tick time.Duration) {
	if now < p.site.duration {
		expected := p.site.rate(now) * tick.Seconds()
		for ; expected >= 1; expected-- {
			p.arrive(now)
		}
		if p.rng.Float64() < expected {
			p.arrive(now)
		}
	}
	for i, id := range p.view.endpoints["model"] {
		if e := p.engines[id.ID]; e.nextStepAt <= now && len(e.running)+len(e.waiting) > 0 {
			if p.site.slowdown != nil {
				e.slowdown = p.site.slowdown(i, now)
			}
			p.step(e, now)
		}
	}
	p.placeReturned(now)
	p.abandon(now)
}

func (p *replay) arrive(now time.Duration) {
	draw := p.rng.Float64()
	kinds := p.site.kinds
	kind := &kinds[len(kinds)-1]
	for i := range kinds {
		if draw < kinds[i].share {
			kind = &kinds[i]
			break
		}
		draw -= kinds[i].share
	}
	size := 0.5 + p.rng.Float64()
	r := &replayRequest{
		kind: kind, prompt: int(size * kind.prompt), output: max(int((0.5+p.rng.Float64())*kind.output), 1), arrived: now,
		gateway: p.rng.IntN(p.site.gateways),
	}
	r.hint = r.output
	if p.site.hintError > 0 {
		r.hint = min(max(int(float64(r.output)*math.Exp(p.site.hintError*p.rng.NormFloat64())), 1), int(1.5*kind.output))
	}
	if kind.subjects > 0 {
		r.subject = fmt.Sprintf("%s-%d", kind.name, p.rng.IntN(kind.subjects))
		r.prompt += int(kind.shared)
	}
	r.left = r.prompt
	result := p.results[kind.name]
	result.asked++
	p.place(r, now)
}

// place decides a request, and notes when its caller returns if it is refused.
func (p *replay) place(r *replayRequest, now time.Duration) {
	switch {
	case p.decide(p, r, replayStart.Add(now)):
		if !r.forwarded {
			p.inFlight = append(p.inFlight, r)
		}
	case r.returnsAt > now:
		p.returning = append(p.returning, r)
	default:
		p.results[r.kind.name].refused++
	}
}

// placeReturned decides the requests whose callers return now.
func (p *replay) placeReturned(now time.Duration) {
	waiting := p.returning
	p.returning = nil
	for _, r := range waiting {
		if r.returnsAt > now {
			p.returning = append(p.returning, r)
			continue
		}
		p.place(r, now)
	}
}

func (p *replay) step(e *replayEngine, now time.Duration) {
	first, events, ended, took := e.step(now)
	e.nextStepAt = now + took
	for _, r := range events {
		if r.eventAt > 0 {
			r.gap = max(r.gap, e.nextStepAt-r.eventAt)
		}
		r.eventAt = e.nextStepAt
		if r.attempt != nil && r.attempt.intervals.eventTokens > 0 {
			r.attempt.recordEvent(replayStart.Add(e.nextStepAt), time.Time{})
		}
	}
	for _, r := range first {
		p.firsts = append(p.firsts, e.nextStepAt-r.arrived)
		if r.firstAt = e.nextStepAt; r.attempt != nil {
			r.attempt.recordFirst(replayStart.Add(e.nextStepAt))
		}
	}
	for _, r := range ended {
		p.end(r, e.nextStepAt, succeeded)
		result := p.resultOf(r)
		if r.firstAt-r.arrived <= r.kind.objective && e.nextStepAt-r.arrived <= r.kind.patience && (p.site.gap == 0 || r.gap <= p.site.gap) && (r.kind.gap == 0 || r.gap <= r.kind.gap) {
			result.onTime++
		} else {
			result.late++
			if r.preempted {
				result.latePreempted++
			} else if r.firstAt-r.arrived <= r.kind.objective {
				result.latePause++
			}
		}
	}
}

// abandon ends the requests of callers that have had no first token for four times the objective, or whose time is
// over.
func (p *replay) abandon(now time.Duration) {
	for _, r := range p.inFlight {
		waited := now - r.arrived
		if !r.done && (waited > r.kind.patience || r.firstAt == 0 && waited > 4*r.kind.objective) {
			p.end(r, now, abandoned)
			p.resultOf(r).left++
		}
	}
	p.inFlight = slices.DeleteFunc(p.inFlight, func(r *replayRequest) bool { return r.done })
}

// resultOf returns the result that counts a request: that of the region to which its caller connected.
func (p *replay) resultOf(r *replayRequest) *replayResult {
	if r.home != nil {
		p = r.home
	}
	return p.results[r.kind.name]
}

func (p *replay) end(r *replayRequest, now time.Duration, how ending) {
	r.done = true
	r.engine.remove(r)
	r.engine.keepOwn(r, now)
	if r.attempt != nil {
		r.attempt.end(replayStart.Add(now), how)
	}
}

func (p *replay) report(now time.Time) {
	for _, from := range p.placers {
		m := reportOf(from, now)
		for _, to := range p.placers {
			if to != from {
				to.updatePeer(now, m)
			}
		}
	}
}

// worth returns the share of the offered worth that was served on time.
func (p *replay) worth() float64 {
	var earned, owed float64
	for _, kind := range p.site.kinds {
		earned += kind.worth * float64(p.results[kind.name].onTime)
		owed += kind.worth * float64(p.results[kind.name].asked)
	}
	return earned / owed
}

// byPlacer places requests as gateways do.
func byPlacer(p *replay, r *replayRequest, now time.Time) bool {
	return placeWith(p, r, now, capacity.Stream{})
}

// placeByWhole places requests as gateways do that know what streams have to meet.
func placeByWhole(p *replay, r *replayRequest, now time.Time) bool {
	waited := now.Sub(replayStart) - r.arrived
	return placeWith(p, r, now, capacity.Stream{
		Gap: r.kind.gap, EventTokens: p.site.eventTokens, First: r.kind.objective - waited, Remaining: r.kind.patience - waited,
		WeighEven: p.site.weighEven,
	})
}

func placeWith(p *replay, r *replayRequest, now time.Time, stream capacity.Stream) bool {
	route := p.table.Match(testHost, "/"+r.kind.name+"/x")
	q := query{
		route: route, service: p.table.Service("model"), tried: map[string]bool{},
		work: capacity.Work{PromptTokens: int64(r.prompt), OutputTokens: int64(r.hint), Parts: r.parts(), Stream: stream},
	}
	waited := now.Sub(replayStart) - r.arrived
	q.budget = capacity.TimeBudget{Objective: route.Objective - waited, RouteObjective: route.Objective, Remaining: route.Timeout - waited, Retried: r.refused}
	for range maxAttempts {
		at := p.placers[r.gateway].decide(now, p.view, q)
		if at.verdict == capacity.Refuse {
			r.returnsAt = 0
			if p.site.retries && !r.refused {
				r.refused, r.returnsAt = true, now.Sub(replayStart)+at.retryAfter
			}
			return false
		}
		q.tried[at.endpoint.ID] = true
		r.engine, r.urgency = p.engines[at.endpoint.ID], at.rank
		r.preferred, r.source = at.affinity, p.engines[at.fetchFrom]
		p.loadErrors = append(p.loadErrors, math.Abs(float64(at.backlog.Requests-len(r.engine.running)-len(r.engine.waiting))))
		r.attempt = p.placers[r.gateway].begin(now, "model", q.work, at)
		r.attempt.intervals.eventTokens = stream.EventTokens
		if r.engine.offer(r) {
			return true
		}
		p.results[r.kind.name].rejected++
		r.attempt.end(now, rejected)
	}
	return false
}

// byOutstanding sends each request to the engine with the fewest requests, first come first served.
func byOutstanding(p *replay, r *replayRequest, _ time.Time) bool {
	var best *replayEngine
	for _, e := range p.view.endpoints["model"] {
		if engine := p.engines[e.ID]; best == nil || len(engine.running)+len(engine.waiting) < len(best.running)+len(best.waiting) {
			best = engine
		}
	}
	r.engine = best
	return best.offer(r)
}

// TestReplayOverload offers 1.4 times what a region's engines can serve: more worth is served on time than by sending
// to the engine with the fewest requests, no kind is served less often than one of lower priority, and few callers wait
// in vain instead of being refused at once.
func TestReplayOverload(t *testing.T) {
	placed, plain := newReplay(t, overloadedSite(), byPlacer), newReplay(t, overloadedSite(), byOutstanding)
	placed.run()
	plain.run()
	for name, p := range map[string]*replay{"placed": placed, "fewest outstanding": plain} {
		for _, kind := range p.site.kinds {
			t.Logf("%s: %s: %+v", name, kind.name, *p.results[kind.name])
		}
		t.Logf("%s: worth on time %.3f", name, p.worth())
	}
	if placed.worth() < 0.5 || placed.worth() < 1.2*plain.worth() {
		t.Errorf("worth on time %.3f, by fewest outstanding %.3f", placed.worth(), plain.worth())
	}
	before := 1.0
	for _, kind := range replayKinds() {
		r := placed.results[kind.name]
		served := float64(r.onTime) / float64(r.asked)
		if served > before+0.05 {
			t.Errorf("%s is served more often than what is more urgent: %.3f, %.3f", kind.name, served, before)
		}
		if r.left*10 > r.asked {
			t.Errorf("%d of %d requests of kind %s waited in vain", r.left, r.asked, kind.name)
		}
		before = served
	}
}
