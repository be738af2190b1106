package gateway

import (
	"cmp"
	"fmt"
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

const (
	replayEngines  = 8
	replaySlots    = 32
	replayGateways = 4
	replaySeed     = 1
	// replayOverload is the offered load as a multiple of the engines' capacity: at 130 requests a second of this mix,
	// all of them prefill and decode without a pause.
	replayOverload = 1.4
	replayRate     = 130 * replayOverload
	replayTime     = 12 * time.Second
	// replayReportPeriod is the interval of the load reports between gateways.
	replayReportPeriod = 100 * time.Millisecond
)

// replayKind is a kind of request.
type replayKind struct {
	name           string
	share          float64
	priority       int
	prompt, output float64
	objective      time.Duration
	patience       time.Duration
	worth          float64
}

func replayKinds() []replayKind {
	return []replayKind{
		{"check", 0.445, 0, 1800, 22, 600 * time.Millisecond, 3 * time.Second, 1.4},
		{"notice", 0.315, 1, 630, 290, 600 * time.Millisecond, 10 * time.Second, 1.9},
		{"plan", 0.24, 2, 6600, 380, time.Second, 12 * time.Second, 2.7},
	}
}

// replayRequest is one request at an engine.
type replayRequest struct {
	kind *replayKind
	// left is the number of prompt tokens that are not read yet, and made the number of output tokens generated.
	prompt, left int
	output, made int
	urgency      int
	arrived      time.Duration
	firstAt      time.Duration
	gateway      int
	attempt      *attempt
	engine       *replayEngine
	done         bool
}

func (r *replayRequest) before(other *replayRequest) int {
	return cmp.Or(cmp.Compare(r.urgency, other.urgency), cmp.Compare(r.arrived, other.arrived))
}

// replayEngine simulates continuous batching: it admits requests by priority, preempts the running one of the lowest
// priority for them, and in each step prefills a chunk of prompts and generates a token for each request whose prompt
// has been read.
type replayEngine struct {
	running, waiting []*replayRequest
	nextStepAt       time.Duration
}

func (e *replayEngine) admit() {
	slices.SortFunc(e.waiting, (*replayRequest).before)
	slices.SortFunc(e.running, (*replayRequest).before)
	for len(e.waiting) > 0 {
		first := e.waiting[0]
		if len(e.running) == replaySlots {
			last := e.running[replaySlots-1]
			if first.urgency >= last.urgency {
				return
			}
			last.left = last.prompt + last.made
			e.running, e.waiting = e.running[:replaySlots-1], append(e.waiting, last)
		}
		e.waiting, e.running = e.waiting[1:], append(e.running, first)
		slices.SortFunc(e.running, (*replayRequest).before)
	}
}

// step returns the requests that got their first token, those that ended, and the duration of the step.
func (e *replayEngine) step() (first, ended []*replayRequest, took time.Duration) {
	const chunk, tokensPerMilli, stepMillis, slotMillis = 1024, 112, 3.23, 0.0483
	e.admit()
	free := chunk
	for _, r := range e.running {
		if r.left > 0 {
			read := min(r.left, free)
			r.left, free = r.left-read, free-read
			continue
		}
		r.made++
		if r.made == 1 {
			first = append(first, r)
		}
		if r.made >= r.output {
			ended = append(ended, r)
		}
	}
	millis := stepMillis + slotMillis*float64(len(e.running)) + float64(chunk-free)/tokensPerMilli
	return first, ended, time.Duration(millis * float64(time.Millisecond))
}

func (e *replayEngine) remove(r *replayRequest) {
	is := func(other *replayRequest) bool { return other == r }
	e.running, e.waiting = slices.DeleteFunc(e.running, is), slices.DeleteFunc(e.waiting, is)
}

// replayResult counts the requests of a kind by how they ended; left counts those whose callers disconnected.
type replayResult struct {
	asked, onTime, late, refused, left int
}

// replay is the state of one simulation.
type replay struct {
	rng      *rand.Rand
	placers  []*placer
	view     *view
	table    *routes.Table
	engines  map[string]*replayEngine
	inFlight []*replayRequest
	results  map[string]*replayResult
	// decide places a request, or returns nil if it is refused.
	decide func(p *replay, r *replayRequest, now time.Time) *replayEngine
}

var replayStart = time.Unix(1000, 0)

func newReplay(t *testing.T, decide func(p *replay, r *replayRequest, now time.Time) *replayEngine) *replay {
	t.Helper()
	p := &replay{
		rng: rand.New(rand.NewPCG(replaySeed, 1)), engines: map[string]*replayEngine{}, results: map[string]*replayResult{}, decide: decide,
	}
	var all []routes.Route
	for _, kind := range replayKinds() {
		p.results[kind.name] = &replayResult{}
		all = append(all, routes.Route{
			Name: kind.name, Host: testHost, PathPrefix: "/" + kind.name + "/", Kind: routes.Stream, MaxAttempts: 1, Priority: kind.priority,
			Backends: []routes.Backend{{Service: "model", Weight: 1}}, Timeout: kind.patience, Objective: kind.objective,
		})
	}
	engine := &routes.Engine{BatchSlots: replaySlots, CacheTokens: 500_000, EventTokens: 10}
	table, err := routes.New(1, all, []routes.Service{{Name: "model", Engine: engine}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	p.table = table
	var endpoints []fleet.Endpoint
	for i := range replayEngines {
		id := fmt.Sprintf("engine-%d", i)
		p.engines[id] = &replayEngine{}
		endpoints = append(endpoints, fleet.Endpoint{ID: id, Born: 7, Service: "model", Slots: replaySlots, State: fleet.Ready})
	}
	p.view = &view{table: table, endpoints: map[string][]fleet.Endpoint{"model": endpoints}}
	for i := range replayGateways {
		cfg := testConfig()
		cfg.Name = fmt.Sprintf("gateway-%d", i)
		p.view.gateways = append(p.view.gateways, fleet.Gateway{Name: cfg.Name, Region: cfg.Region, Ready: true})
		p.placers = append(p.placers, newPlacer(cfg, rand.NewPCG(uint64(i), 1)))
	}
	return p
}

// run offers the load and returns when all requests have ended.
func (p *replay) run() {
	const tick = time.Millisecond
	var reported time.Duration
	for now := time.Duration(0); now < replayTime || len(p.inFlight) > 0; now += tick {
		at := replayStart.Add(now)
		if now < replayTime && p.rng.Float64() < replayRate*tick.Seconds() {
			p.arrive(now)
		}
		for _, id := range p.view.endpoints["model"] {
			if e := p.engines[id.ID]; e.nextStepAt <= now && len(e.running)+len(e.waiting) > 0 {
				p.step(e, now)
			}
		}
		p.abandon(now)
		if now-reported >= replayReportPeriod {
			reported = now
			p.report(at)
		}
	}
}

func (p *replay) arrive(now time.Duration) {
	draw := p.rng.Float64()
	kinds := replayKinds()
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
		gateway: p.rng.IntN(replayGateways),
	}
	r.left = r.prompt
	result := p.results[kind.name]
	result.asked++
	if r.engine = p.decide(p, r, replayStart.Add(now)); r.engine == nil {
		result.refused++
		return
	}
	r.engine.waiting = append(r.engine.waiting, r)
	p.inFlight = append(p.inFlight, r)
}

func (p *replay) step(e *replayEngine, now time.Duration) {
	first, ended, took := e.step()
	e.nextStepAt = now + took
	for _, r := range first {
		if r.firstAt = e.nextStepAt; r.attempt != nil {
			r.attempt.recordFirst(replayStart.Add(e.nextStepAt))
		}
	}
	for _, r := range ended {
		p.end(r, e.nextStepAt, succeeded)
		result := p.results[r.kind.name]
		if r.firstAt-r.arrived <= r.kind.objective && e.nextStepAt-r.arrived <= r.kind.patience {
			result.onTime++
		} else {
			result.late++
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
			p.results[r.kind.name].left++
		}
	}
	p.inFlight = slices.DeleteFunc(p.inFlight, func(r *replayRequest) bool { return r.done })
}

func (p *replay) end(r *replayRequest, now time.Duration, how ending) {
	r.done = true
	r.engine.remove(r)
	if r.attempt != nil {
		r.attempt.end(replayStart.Add(now), how)
	}
}

func (p *replay) report(now time.Time) {
	for _, from := range p.placers {
		m := reportOf(from, now)
		for _, to := range p.placers {
			if to != from {
				to.updatePeer(now, m, true)
			}
		}
	}
}

// worth returns the share of the offered worth that was served on time.
func (p *replay) worth() float64 {
	var earned, owed float64
	for _, kind := range replayKinds() {
		earned += kind.worth * float64(p.results[kind.name].onTime)
		owed += kind.worth * float64(p.results[kind.name].asked)
	}
	return earned / owed
}

// byPlacer places requests as gateways do.
func byPlacer(p *replay, r *replayRequest, now time.Time) *replayEngine {
	route := p.table.Match(testHost, "/"+r.kind.name+"/x")
	q := query{
		route: route, service: p.table.Service("model"), tried: map[string]bool{},
		work:   capacity.Work{PromptTokens: int64(r.prompt), OutputTokens: int64(r.output)},
		budget: capacity.TimeBudget{Objective: route.Objective, RouteObjective: route.Objective, Remaining: route.Timeout},
	}
	at := p.placers[r.gateway].decide(now, p.view, q)
	if at.verdict == capacity.Refuse {
		return nil
	}
	r.urgency = at.rank
	r.attempt = p.placers[r.gateway].begin(now, "model", q.work, at)
	return p.engines[at.endpoint.ID]
}

// byOutstanding sends each request to the engine with the fewest requests, first come first served.
func byOutstanding(p *replay, _ *replayRequest, _ time.Time) *replayEngine {
	var best *replayEngine
	for _, e := range p.view.endpoints["model"] {
		if engine := p.engines[e.ID]; best == nil || len(engine.running)+len(engine.waiting) < len(best.running)+len(best.waiting) {
			best = engine
		}
	}
	return best
}

// TestReplayOverload offers 1.4 times what a region's engines can serve: more worth is served on time than by sending
// to the engine with the fewest requests, no kind is served less often than one of lower priority, and few callers wait
// in vain instead of being refused at once.
func TestReplayOverload(t *testing.T) {
	placed, plain := newReplay(t, byPlacer), newReplay(t, byOutstanding)
	placed.run()
	plain.run()
	for name, p := range map[string]*replay{"placed": placed, "fewest outstanding": plain} {
		for _, kind := range replayKinds() {
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
