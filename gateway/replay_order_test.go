package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

// orderReplay offers requests of teams to regions whose plain endpoints queue them, in simulated time. In the first region the teams also
// send long prompts, to an engine that has no room for all of them.
type orderReplay struct {
	now     time.Time
	rng     *rand.Rand
	teams   []*routes.Team
	weights []float64
	plain   *routes.Route
	model   *routes.Route
	regions []*orderRegion
	events  []orderEvent
	// long is the rate of the long prompts, and returns lets callers that were refused return once.
	long    float64
	returns bool
	results map[string]*orderResult
	crossed map[string]time.Time
	both    int
	// queue is the number of requests that an endpoint lets wait.
	queue int
	// burstEnd is the end of a burst; eligible counts the callers refused before it whose Retry-After may reach it, and again those of
	// them who were refused twice.
	burstEnd        time.Time
	eligible, again int
}

type orderEvent struct {
	at  time.Time
	run func()
}

// orderResult counts requests by how they ended; again counts those refused twice.
type orderResult struct {
	asked, onTime, late, refused, again int
	reasons                             map[string]int
}

type orderRegion struct {
	name    string
	rate    float64
	placers []*placer
	linked  []*linkedPlacer
	v       *view
	running map[string]int
	waiting map[string][]func()
}

type orderRequest struct {
	team *routes.Team
	// arrived is when the caller first came, and sent when it last came.
	arrived, sent time.Time
	gateway       int
	// refused reports that it was refused before, and eligible whether it counts among those who may wait for the end of a burst.
	refused, eligible bool
	home              *orderRegion
	result            *orderResult
}

const (
	orderSlots = 6
	orderTaken = 60 * time.Millisecond
)

// newOrderReplay returns a replay of regions with the given numbers of gateways, two plain endpoints each, and teams that ask for shares of
// the load by their weights.
func newOrderReplay(t *testing.T, weights []float64, gateways ...int) *orderReplay {
	t.Helper()
	route := func(service string) routes.Route {
		return routes.Route{
			Name: service, Host: testHost, PathPrefix: "/" + service + "/", Kind: routes.Safe, MaxAttempts: 2, Timeout: 6 * time.Second,
			Backends: []routes.Backend{{Service: service, Weight: 1}}, Objective: 600 * time.Millisecond,
		}
	}
	table, err := routes.New(1, []routes.Route{route("plain"), route("model")}, []routes.Service{
		{Name: "plain"}, {Name: "model", Engine: &routes.Engine{BatchSlots: 64, CacheTokens: 10_000_000, EventTokens: 10}},
	}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	o := &orderReplay{
		now: replayStart, rng: rand.New(rand.NewPCG(7, 7)), weights: weights, plain: table.Match(testHost, "/plain/x"), model: table.Match(testHost, "/model/x"),
		results: map[string]*orderResult{}, crossed: map[string]time.Time{}, queue: 24,
	}
	for i := range weights {
		o.teams = append(o.teams, &routes.Team{Name: fmt.Sprintf("team-%d", i), Allotment: routes.Allotment{PlainTokens: 200}})
	}
	var all []fleet.Gateway
	for i, n := range gateways {
		r := &orderRegion{name: fmt.Sprintf("region-%d", i), running: map[string]int{}, waiting: map[string][]func(){}}
		r.v = &view{table: table, endpoints: map[string][]fleet.Endpoint{}, capacities: map[string]regionCapacity{}, software: newSoftwareVersions()}
		for _, service := range []string{"plain", "plain", "model"}[:3-min(i, 1)] {
			slots := map[string]int{"plain": orderSlots, "model": 16}[service]
			e := fleet.Endpoint{ID: fmt.Sprintf("%s-%s-%d", r.name, service, len(r.v.endpoints[service])), Born: 7, Service: service, Slots: slots, State: fleet.Ready}
			r.v.endpoints[service] = append(r.v.endpoints[service], e)
		}
		for j := range n {
			cfg := testConfig()
			cfg.Name, cfg.Region, cfg.RegionRoundTrip = fmt.Sprintf("%s-%d", r.name, j), r.name, peakRoundTrip
			r.placers = append(r.placers, newPlacer(cfg, rand.NewPCG(uint64(i), uint64(j))))
			all = append(all, fleet.Gateway{Name: cfg.Name, Region: r.name, Ready: true})
		}
		r.linked = linkPlacers(r.placers)
		o.regions = append(o.regions, r)
	}
	for _, r := range o.regions {
		r.v.gateways = all
	}
	o.reset()
	return o
}

// reset starts to count anew.
func (o *orderReplay) reset() {
	for _, team := range o.teams {
		o.results[team.Name] = &orderResult{reasons: map[string]int{}}
	}
}

func (o *orderReplay) later(after time.Duration, run func()) {
	o.events = append(o.events, orderEvent{o.now.Add(after), run})
}

// run offers the load for a time.
func (o *orderReplay) run(duration time.Duration) {
	const tick, period = time.Millisecond, 44 * time.Millisecond
	for end := o.now.Add(duration); o.now.Before(end); o.now = o.now.Add(tick) {
		due := o.events
		o.events = nil
		for _, e := range due {
			if e.at.After(o.now) {
				o.events = append(o.events, e)
				continue
			}
			e.run()
		}
		now := o.now.Sub(replayStart)
		for i, r := range o.regions {
			if o.rng.Float64() < r.rate*tick.Seconds() {
				o.arrive(r)
			}
			if i == 0 && o.rng.Float64() < o.long*tick.Seconds() {
				o.sendLong(r)
			}
			for j, l := range r.linked {
				phase := (period * time.Duration(j) / time.Duration(len(r.linked))).Truncate(time.Millisecond)
				if (now-phase)%period == 0 {
					l.report(o.now, (now-phase)%(period*30) == 0)
				}
			}
			if now%(200*time.Millisecond) == 0 {
				o.reportRoom(r)
			}
		}
	}
}

// reportRoom sends the capacity of a region to the others, with the delay of two control daemons.
func (o *orderReplay) reportRoom(from *orderRegion) {
	const delay = 200 * time.Millisecond
	m := &wiregen.RegionRoom{Region: from.name, AgeMillis: delay.Milliseconds(), Room: from.placers[0].localCapacity(o.now, from.v)}
	o.later(delay, func() {
		for _, to := range o.regions {
			if to == from {
				continue
			}
			for _, p := range to.placers {
				p.updateRegionCapacities(o.now, to.v, []*wiregen.RegionRoom{m})
			}
			v := *to.v
			v.capacities = maps.Clone(v.capacities)
			v.capacities[from.name] = decodeRegionCapacity(o.now, m)
			to.v = &v
		}
	})
}

// team draws the team of a request.
func (o *orderReplay) team() *routes.Team {
	draw, team := o.rng.Float64(), 0
	for draw -= o.weights[0]; draw >= 0 && team+1 < len(o.weights); draw -= o.weights[team] {
		team++
	}
	return o.teams[team]
}

func (o *orderReplay) arrive(r *orderRegion) {
	team := o.team()
	result := o.results[team.Name]
	result.asked++
	o.send(r, &orderRequest{team: team, arrived: o.now, sent: o.now, gateway: o.rng.IntN(len(r.placers)), home: r, result: result}, map[string]bool{}, false)
}

// sendLong sends a long prompt to the engine if it has room, where it takes a second.
func (o *orderReplay) sendLong(r *orderRegion) {
	p := r.placers[o.rng.IntN(len(r.placers))]
	q := o.query(o.model, &orderRequest{team: o.team(), arrived: o.now, sent: o.now}, nil, false)
	q.work = capacity.Work{PromptTokens: 12_000, OutputTokens: 100}
	if d := p.decide(o.now, r.v, q); d.verdict == capacity.Take {
		a := p.begin(o.now, "model", q.work, d)
		o.later(time.Second, func() { a.end(o.now, succeeded) })
	}
}

func (o *orderReplay) query(route *routes.Route, r *orderRequest, tried map[string]bool, forwarded bool) query {
	waited := o.now.Sub(r.sent)
	return query{
		route: route, team: r.team, service: o.regions[0].v.table.Service(route.Backends[0].Service), tried: tried, forwarded: forwarded,
		work:   capacity.Work{Bytes: 500},
		budget: capacity.TimeBudget{Objective: route.Objective - waited, RouteObjective: route.Objective, Remaining: route.Timeout - o.now.Sub(r.arrived), Retried: r.refused},
	}
}

// send places a request in a region, and again after a rejection by an endpoint or another region.
func (o *orderReplay) send(at *orderRegion, r *orderRequest, tried map[string]bool, forwarded bool) {
	p := at.placers[r.gateway%len(at.placers)]
	q := o.query(o.plain, r, tried, forwarded)
	if len(tried) >= maxAttempts {
		o.refuse(r, decision{reason: "attempts", retryAfter: time.Second})
		return
	}
	d := p.decide(o.now, at.v, q)
	switch {
	case d.verdict == capacity.Refuse && forwarded:
		o.later(peakRoundTrip/2, func() { o.send(r.home, r, map[string]bool{at.name: true}, false) })
	case d.verdict == capacity.Refuse:
		o.refuse(r, d)
	case d.region != "":
		p.recordForward(o.now, d, true)
		if last, ok := o.crossed[d.region+">"+at.name]; ok && o.now.Sub(last) < time.Second {
			o.both++
		}
		o.crossed[at.name+">"+d.region] = o.now
		to := o.regions[0]
		for _, other := range o.regions {
			if other.name == d.region {
				to = other
			}
		}
		o.later(peakRoundTrip/2, func() { o.send(to, r, map[string]bool{}, true) })
	default:
		o.offer(at, r, q, p.begin(o.now, "plain", q.work, d))
	}
}

// offer lets an endpoint run, queue or reject a request.
func (o *orderReplay) offer(at *orderRegion, r *orderRequest, q query, a *attempt) {
	id := a.endpoint.ID
	start := func() {
		at.running[id]++
		o.later(time.Duration((0.5+o.rng.Float64())*float64(orderTaken)), func() {
			a.recordFirst(o.now)
			a.end(o.now, succeeded)
			arrived := o.now
			if q.forwarded {
				arrived = arrived.Add(peakRoundTrip / 2)
			}
			if arrived.Sub(r.sent) <= o.plain.Objective && arrived.Sub(r.arrived) <= o.plain.Timeout {
				r.result.onTime++
			} else {
				r.result.late++
			}
			if at.running[id]--; len(at.waiting[id]) > 0 {
				next := at.waiting[id][0]
				at.waiting[id] = at.waiting[id][1:]
				next()
			}
		})
	}
	switch {
	case at.running[id] < orderSlots:
		start()
	case len(at.waiting[id]) < o.queue:
		at.waiting[id] = append(at.waiting[id], start)
	default:
		a.end(o.now, rejected)
		tried := maps.Clone(q.tried)
		tried[id] = true
		o.later(2*time.Millisecond, func() { o.send(at, r, tried, q.forwarded) })
	}
}

// refuse lets the caller return, or counts the refusal.
func (o *orderReplay) refuse(r *orderRequest, d decision) {
	switch {
	case r.refused:
		r.result.again++
		if r.eligible {
			o.again++
		}
		fallthrough
	case !o.returns:
		r.result.refused++
		r.result.reasons[d.reason]++
	default:
		left := o.plain.Timeout - o.now.Sub(r.arrived)
		r.refused, r.eligible = true, o.now.Before(o.burstEnd) && o.burstEnd.Sub(o.now) <= left/3
		if r.eligible {
			o.eligible++
		}
		o.later(d.retryAfter, func() {
			r.sent = o.now
			o.send(r.home, r, map[string]bool{}, false)
		})
	}
}

// served ends the requests in progress, logs what came of them, and returns the share that was served on time.
func (o *orderReplay) served(t *testing.T) float64 {
	t.Helper()
	for _, r := range o.regions {
		r.rate = 0
	}
	o.run(3 * time.Second)
	sum := orderResult{}
	for _, team := range o.teams {
		r := o.results[team.Name]
		t.Logf("%s: %+v", team.Name, *r)
		sum.asked, sum.onTime = sum.asked+r.asked, sum.onTime+r.onTime
	}
	t.Logf("%d of %d on time, %d forwards against the other direction", sum.onTime, sum.asked, o.both)
	return float64(sum.onTime) / float64(sum.asked)
}

// TestReplayPlainPeak offers 84 gateways of two regions 295 and 20 plain requests a second, of which each can serve 200, while one team
// sends 5.4 times its usual load and long prompts to the engines. It guards against requests that are refused as overShare because of
// another service, without being offered to the other region, or while endpoints only queue; and against forwards in both directions.
func TestReplayPlainPeak(t *testing.T) {
	o := newOrderReplay(t, []float64{0.375, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625}, 44, 40)
	o.regions[0].rate, o.regions[1].rate, o.long = 295, 20, 40
	o.run(4 * time.Second)
	o.reset()
	o.run(6 * time.Second)
	if served := o.served(t); served < 0.95 || o.both > 0 {
		t.Errorf("%.3f served on time, want 0.95; %d forwards against the other direction", served, o.both)
	}
}

// withTeams lets a replay's callers belong to teams in turn, the first of which sends a multiple of the others' load.
func withTeams(multiple int, decide func(p *replay, r *replayRequest, now time.Time) bool) func(p *replay, r *replayRequest, now time.Time) bool {
	const teams = 10
	n := 0
	return func(p *replay, r *replayRequest, now time.Time) bool {
		if r.team == nil {
			n++
			r.team = &routes.Team{Name: fmt.Sprint("team-", max(n%(teams+multiple-1)-multiple+1, 0))}
		}
		return decide(p, r, now)
	}
}

// TestReplayRefusedTwice offers plain endpoints 2.3 times their capacity for 10 s. It guards against callers that are told to return while
// the region is still short, as their second refusal is final: no more than a tenth of those for whom the burst ends within a third of
// their time left.
func TestReplayRefusedTwice(t *testing.T) {
	const burst = 10 * time.Second
	o := newOrderReplay(t, []float64{0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}, 42)
	o.regions[0].rate, o.returns, o.queue = 2.3*200, true, 200
	o.plain.Timeout = 60 * time.Second
	o.burstEnd = o.now.Add(burst)
	o.run(burst)
	o.regions[0].rate = 0.3 * 200
	o.run(20 * time.Second)
	o.served(t)
	t.Logf("%d of %d refused twice", o.again, o.eligible)
	if o.again*10 > o.eligible {
		t.Errorf("%d of %d callers were refused twice", o.again, o.eligible)
	}
}

// TestReplayQuarter lets the usable engines of a region fall to a quarter for six seconds. It guards against long requests of low priority
// that take the slots kept for more urgent ones while those are refused, and against an order that starves the largest requests: the
// highest priority is served at least as often as each lower one, and the largest tenth of a kind at least half as often as the kind.
func TestReplayQuarter(t *testing.T) { replayQuarter(t, 1) }

// TestReplayQuarterDraws guards against the same over eight draws of the load together, as one holds few of the largest requests.
func TestReplayQuarterDraws(t *testing.T) { replayQuarter(t, 8) }

// replayQuarter judges the given number of draws of the load together.
func replayQuarter(t *testing.T, draws int) {
	t.Helper()
	const engines, from, until = 46, 2 * time.Second, 8 * time.Second
	type count struct{ asked, served float64 }
	share := func(c count) float64 { return c.served / max(c.asked, 1) }
	var priorities [3]count
	whole, large := map[string]count{}, map[string]count{}
	for draw := range draws {
		site := replaySite{
			pressure: true, engines: engines, slots: 64, gateways: 44, cacheTokens: 452_000, memoryBound: true, chunks: 1, gap: 400 * time.Millisecond,
			duration: 9 * time.Second, timing: &replayTiming{stepMillis: 3, slotMillis: 0.12, tokensPerMilli: 92}, kinds: peakKinds(),
			rate: func(time.Duration) float64 { return 4 * engines },
		}
		report := reportLinked(44 * time.Millisecond)
		var all []fleet.Endpoint
		site.report = func(p *replay, now time.Duration) {
			report(p, now)
			if all == nil {
				all = p.view.endpoints["model"]
			}
			v := *p.view
			v.endpoints = map[string][]fleet.Endpoint{"model": all}
			if now >= from && now < until {
				v.endpoints["model"] = all[:engines/4]
			}
			p.view = &v
		}
		var asked []*replayRequest
		p := newReplay(t, site, withTeams(5, func(p *replay, r *replayRequest, now time.Time) bool {
			if !r.refused && r.arrived >= from && r.arrived < until {
				asked = append(asked, r)
			}
			return byPlacer(p, r, now)
		}))
		p.rng = rand.New(rand.NewPCG(replaySeed, uint64(1+draw)))
		p.run()
		for _, r := range asked {
			served := 0.0
			if r.output > 0 && r.made >= r.output {
				served = 1
			}
			add := func(c count) count { return count{c.asked + 1, c.served + served} }
			whole[r.kind.name], priorities[r.kind.priority] = add(whole[r.kind.name]), add(priorities[r.kind.priority])
			if float64(r.prompt) > 1.4*r.kind.prompt+float64(r.kind.shared) {
				large[r.kind.name] = add(large[r.kind.name])
			}
		}
	}
	for kind, all := range whole {
		most := large[kind]
		t.Logf("%s: %.3f of %.0f served, %.3f of the %.0f largest", kind, share(all), all.asked, share(most), most.asked)
		if most.asked > 0 && share(most) < share(all)/2 {
			t.Errorf("the largest of kind %s are served %.3f, all %.3f", kind, share(most), share(all))
		}
	}
	t.Logf("by priority %.3f %.3f %.3f", share(priorities[0]), share(priorities[1]), share(priorities[2]))
	if share(priorities[0]) < share(priorities[1]) || share(priorities[0]) < share(priorities[2]) {
		t.Errorf("served by priority %.3f %.3f %.3f", share(priorities[0]), share(priorities[1]), share(priorities[2]))
	}
}

// TestReplayHotTeam lets one of ten teams send ten times its usual load to plain endpoints. It guards against a team that slows others: each
// of them is served at least 0.9 as often as without it.
func TestReplayHotTeam(t *testing.T) {
	const usual = 18.0
	served := map[bool]map[string]float64{}
	for _, hot := range []bool{false, true} {
		first := 1.0
		if hot {
			first = 10
		}
		weights := []float64{first / (first + 9)}
		for range 9 {
			weights = append(weights, 1/(first+9))
		}
		o := newOrderReplay(t, weights, 42)
		o.regions[0].rate, o.queue = usual*(first+9), 200
		o.run(4 * time.Second)
		o.reset()
		o.run(8 * time.Second)
		o.served(t)
		served[hot] = map[string]float64{}
		for name, r := range o.results {
			served[hot][name] = float64(r.onTime) / float64(r.asked)
		}
	}
	for name, share := range served[true] {
		if name != "team-0" && share < 0.9*served[false][name] {
			t.Errorf("%s is served %.3f, %.3f without the hot team", name, share, served[false][name])
		}
	}
}

// TestReplayBothShort offers two regions more than each serves. It guards against regions that are both short of capacity and send each
// other requests.
func TestReplayBothShort(t *testing.T) {
	for _, rate := range []float64{230, 250} {
		o := newOrderReplay(t, []float64{0.4, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}, 44, 40)
		o.regions[0].rate, o.regions[1].rate, o.queue = rate, rate, 200
		o.run(6 * time.Second)
		if o.served(t); o.both > 0 {
			t.Errorf("at %v requests a second %d forwards against the other direction", rate, o.both)
		}
	}
}
