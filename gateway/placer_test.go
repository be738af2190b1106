package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

const coldRate = 4.0

// newPlacers returns the placers of n gateways in one region that share a view of the endpoints.
func newPlacers(t testing.TB, n int, endpoints ...fleet.Endpoint) ([]*placer, *view, *routes.Route, *routes.Service) {
	t.Helper()
	engine := &routes.Engine{BatchSlots: 128, CacheTokens: 500_000, EventTokens: 8}
	table, err := routes.New(1, []routes.Route{{
		Name: "r", Host: testHost, PathPrefix: "/", Kind: routes.Stream, Backends: []routes.Backend{{Service: "model", Weight: 1}},
		Timeout: 10 * time.Second, Objective: time.Second, MaxAttempts: 2, Resumable: true,
	}}, []routes.Service{{Name: "model", Engine: engine, ColdTime: 3 * time.Second, ColdRate: coldRate}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	v := &view{table: table, endpoints: map[string][]fleet.Endpoint{"model": endpoints}}
	var all []*placer
	for i := range n {
		cfg := testConfig()
		cfg.Pressure, cfg.DrawPlain = true, true
		cfg.Name, cfg.ColdBurst, cfg.ColdReserve = fmt.Sprintf("gateway-%d", i), 1.5, 3
		v.gateways = append(v.gateways, fleet.Gateway{Name: cfg.Name, Region: cfg.Region, Ready: true})
		all = append(all, newPlacer(cfg, rand.NewPCG(uint64(i), 1)))
	}
	return all, v, table.Match(testHost, "/"), table.Service("model")
}

// testQuery returns a query for a request of 1000 prompt tokens and 100 output tokens.
func testQuery(r *routes.Route, s *routes.Service) query {
	return query{
		route: r, service: s, work: capacity.Work{PromptTokens: 1000, OutputTokens: 100}, tried: map[string]bool{},
		budget: capacity.TimeBudget{Objective: r.Objective, RouteObjective: r.Objective, Remaining: r.Timeout},
	}
}

// TestColdShares offers a cold endpoint as many requests as the gateways allow: in no second do all gateways together
// exceed its limit.
func TestColdShares(t *testing.T) {
	for _, n := range []int{1, 3, 9, 28} {
		now := time.Unix(1000, 0)
		e := fleet.Endpoint{ID: "cold", Born: 7, Service: "model", Slots: 128, State: fleet.Ready, ColdUntil: now.Add(time.Hour)}
		placers, v, r, s := newPlacers(t, n, e)
		var sent []time.Time
		for step := range 300 {
			at := now.Add(time.Duration(step) * 20 * time.Millisecond)
			for _, p := range placers {
				if place := p.decide(at, v, testQuery(r, s)); place.endpoint.ID == "cold" {
					p.begin(at, "model", capacity.Work{}, place).end(at, succeeded)
					sent = append(sent, at)
				}
			}
		}
		for i := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					count++
				}
			}
			if bound := coldRate*1.5 + 3; float64(count) > bound {
				t.Fatalf("%d gateways: %d requests in a second, at most %v", n, count, bound)
			}
		}
		if len(sent) == 0 {
			t.Errorf("%d gateways sent nothing", n)
		}
	}
}

// TestColdSharesAtStart starts the gateways of a region one after another, where the others discover each one 100 ms
// after its start, and then partitions them into two halves: a cold endpoint never gets more than its limit.
func TestColdSharesAtStart(t *testing.T) {
	const (
		gateways       = 4
		startInterval  = 450 * time.Millisecond
		discoveryDelay = 100 * time.Millisecond
		partitionAt    = 5 * time.Second
	)
	start := time.Unix(1000, 0)
	e := fleet.Endpoint{ID: "cold", Born: 7, Service: "model", Slots: 128, State: fleet.Ready, ColdUntil: start.Add(time.Hour)}
	placers, all, r, s := newPlacers(t, gateways, e)
	// viewOf returns the view of a gateway at a time.
	viewOf := func(i int, at time.Duration) *view {
		v := *all
		v.gateways = nil
		for j := range gateways {
			cut := at > partitionAt && i/2 != j/2
			if at >= time.Duration(j)*startInterval+discoveryDelay && !cut {
				v.gateways = append(v.gateways, all.gateways[j])
			}
		}
		return &v
	}
	var sent []time.Duration
	for at := time.Duration(0); at < 8*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		for i, p := range placers {
			if at < time.Duration(i)*startInterval {
				continue
			}
			if place := p.decide(now, viewOf(i, at), testQuery(r, s)); place.endpoint.ID == "cold" {
				p.begin(now, "model", capacity.Work{}, place).end(now, succeeded)
				sent = append(sent, at)
			}
		}
	}
	for i := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at-sent[i] < time.Second {
				count++
			}
		}
		if bound := coldRate*1.5 + 3; float64(count) > bound {
			t.Fatalf("%d requests in the second from %v, at most %v", count, sent[i], bound)
		}
	}
	if len(sent) < 20 {
		t.Errorf("only %d requests were sent", len(sent))
	}
}

// TestEndpointReachableAgain fails one connection to an endpoint: once it answers again, or a few seconds later, it
// gets all requests again without a new record from a control daemon.
func TestEndpointReachableAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	e := fleet.Endpoint{ID: "a", Born: 7, Service: "model", Slots: 128, State: fleet.Ready, LastSeen: now.Add(-time.Minute)}
	for name, answers := range map[string]bool{"answered": true, "later": false} {
		t.Run(name, func(t *testing.T) {
			placers, v, r, s := newPlacers(t, 3, e)
			p := placers[0]
			p.begin(now, "model", capacity.Work{}, p.decide(now, v, testQuery(r, s))).end(now, unreached)
			at := now.Add(10 * time.Second)
			if answers {
				at = now.Add(2 * time.Second)
				f := p.begin(at, "model", capacity.Work{}, p.decide(at, v, testQuery(r, s)))
				f.recordFirst(at)
				f.end(at, succeeded)
			}
			for i := range 50 {
				place := p.decide(at, v, testQuery(r, s))
				if place.verdict != capacity.Take {
					t.Fatalf("request %d: %v, %s", i, place.verdict, place.reason)
				}
				f := p.begin(at, "model", capacity.Work{}, place)
				f.recordFirst(at)
				f.end(at, succeeded)
			}
		})
	}
}

// TestLoadsReportedToPeers places requests at two gateways that report their loads to each other: the busiest of equal
// endpoints gets at most 1.2 times the mean.
func TestLoadsReportedToPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	var endpoints []fleet.Endpoint
	for i := range 4 {
		endpoints = append(endpoints, fleet.Endpoint{ID: fmt.Sprintf("engine-%d", i), Born: 7, Service: "model", Slots: 128, State: fleet.Ready})
	}
	placers, v, r, s := newPlacers(t, 2, endpoints...)
	counts := map[string]int{}
	const requests = 200
	for i := range requests {
		p, other := placers[i%2], placers[(i+1)%2]
		place := p.decide(now, v, testQuery(r, s))
		if place.verdict == capacity.Refuse {
			t.Fatalf("request %d was refused: %s", i, place.reason)
		}
		p.begin(now, "model", testQuery(r, s).work, place).recordFirst(now.Add(50 * time.Millisecond))
		counts[place.endpoint.ID]++
		other.updatePeer(now, reportOf(p, now))
		now = now.Add(5 * time.Millisecond)
	}
	for id, n := range counts {
		if n*len(endpoints)*5 > requests*6 {
			t.Errorf("%s got %d of %d", id, n, requests)
		}
	}
}

func reportOf(p *placer, now time.Time) *wiregen.OutstandingReport {
	return p.loadReport(now, 1, true)
}

// TestPartitionedRegion makes all gateways of a region unreachable: after a few failures the other gateways of the
// region are not tried. As soon as its capacity is reported again after having been stale, the region gets requests.
func TestPartitionedRegion(t *testing.T) {
	const gateways = 20
	now := time.Unix(1000, 0)
	placers, v, r, s := newPlacers(t, 1)
	p := placers[0]
	for i := range gateways {
		v.gateways = append(v.gateways, fleet.Gateway{Name: fmt.Sprintf("there-%d", i), Region: "there", Ready: true})
	}
	there := capacity.RegionCapacity{Region: "there", Endpoints: 9, PromptTokens: 1 << 40}
	v.capacities = map[string]regionCapacity{"there": {reportedAt: now, services: map[string]capacity.RegionCapacity{"model": there}}}
	crosses := func() bool {
		at := p.decide(now, v, testQuery(r, s))
		if at.region == "" {
			return false
		}
		p.recordForward(now, at, false)
		return true
	}
	tried := 0
	for range gateways {
		if crosses() {
			tried++
		}
	}
	if tried == 0 || tried > 3 {
		t.Errorf("%d gateways of an unreachable region were tried", tried)
	}
	now = now.Add(10 * time.Second)
	update := []*wiregen.RegionRoom{{Region: "there"}}
	p.updateRegionCapacities(now, v, update)
	v.capacities["there"] = regionCapacity{reportedAt: now, services: v.capacities["there"].services}
	if !crosses() {
		t.Error("the region reported its capacity again and gets nothing")
	}
}

// TestStaleRegionCapacity keeps requests in a busy region while the capacity of the other one is stale, and forwards
// them there if this region has no endpoint at all.
func TestStaleRegionCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name      string
		endpoints []fleet.Endpoint
		age       time.Duration
		crosses   bool
	}{
		{"busy, capacity reported", []fleet.Endpoint{{ID: "busy", Service: "model", Slots: 128}}, 300 * time.Millisecond, true},
		{"busy, silent", []fleet.Endpoint{{ID: "busy", Service: "model", Slots: 128}}, 2 * time.Second, false},
		{"no endpoint, silent", nil, 2 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			placers, v, r, s := newPlacers(t, 1, c.endpoints...)
			v.gateways = append(v.gateways, fleet.Gateway{Name: "there-0", Region: "there", Ready: true})
			there := capacity.RegionCapacity{Region: "there", Endpoints: 9, PromptTokens: 1 << 40}
			v.capacities = map[string]regionCapacity{"there": {reportedAt: now.Add(-c.age), services: map[string]capacity.RegionCapacity{"model": there}}}
			if len(c.endpoints) > 0 {
				placers[0].state(&c.endpoints[0]).outstanding.PromptTokens[0] = 50_000
			}
			if got := placers[0].decide(now, v, testQuery(r, s)); (got.region != "") != c.crosses {
				t.Errorf("region %q, verdict %v", got.region, got.verdict)
			}
		})
	}
}

// TestFastFailingEndpoint makes one of three endpoints fail every request at once, so that it never has requests
// outstanding and looks idle: three gateways that share their outcomes soon send it almost nothing. If all endpoints
// fail equally often, requests are spread evenly.
func TestFastFailingEndpoint(t *testing.T) {
	for name, fails := range map[string]func(id string, i int) bool{
		"one":  func(id string, _ int) bool { return id == "a" },
		"none": func(_ string, i int) bool { return i%7 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var endpoints []fleet.Endpoint
			for _, id := range []string{"a", "b", "c"} {
				endpoints = append(endpoints, fleet.Endpoint{ID: id, Born: 7, Service: "model", Slots: 6, State: fleet.Ready})
			}
			placers, v, r, s := newPlacers(t, 3, endpoints...)
			counts := map[string]int{}
			const requests = 600
			for i := range requests {
				p := placers[i%len(placers)]
				q := testQuery(r, s)
				q.work = capacity.Work{}
				at := p.decide(now, v, q)
				f := p.begin(now, "model", q.work, at)
				how := succeeded
				if fails(at.endpoint.ID, i) {
					how = errorAnswer
				}
				f.recordFirst(now.Add(30 * time.Millisecond))
				f.end(now.Add(30*time.Millisecond), how)
				counts[at.endpoint.ID]++
				for _, other := range placers {
					if other != p {
						other.updatePeer(now, reportOf(p, now))
					}
				}
				now = now.Add(10 * time.Millisecond)
			}
			if n := counts["a"]; name == "one" && n > requests/20 || name == "none" && n < requests/5 {
				t.Errorf("%v of %d", counts, requests)
			}
		})
	}
}

// TestForwardPartner forwards the requests of a region without endpoints: all go to one gateway of the other region, to
// which idle connections are kept, and to another one when the first cannot be reached.
func TestForwardPartner(t *testing.T) {
	now := time.Unix(1000, 0)
	placers, v, r, s := newPlacers(t, 1)
	p := placers[0]
	for i := range 20 {
		v.gateways = append(v.gateways, fleet.Gateway{Name: fmt.Sprintf("there-%d", i), Region: "there", Ready: true})
	}
	there := capacity.RegionCapacity{Region: "there", Endpoints: 9, PromptTokens: 1 << 40}
	v.capacities = map[string]regionCapacity{"there": {reportedAt: now, services: map[string]capacity.RegionCapacity{"model": there}}}
	chosen := map[string]int{}
	for range 20 {
		d := p.decide(now, v, testQuery(r, s))
		chosen[d.gateway.Name]++
		p.recordForward(now, d, true)
	}
	kept := p.partners(now, v)
	if len(chosen) != 1 || len(kept) != 1 || chosen[kept[0].gateway.Name] != 20 {
		t.Fatalf("forwarded to %v, connections kept to %+v", chosen, kept)
	}
	if kept[0].conns != maxWarmConns {
		t.Errorf("%d connections are kept at 20 forwards a second", kept[0].conns)
	}
	d := p.decide(now, v, testQuery(r, s))
	p.recordForward(now, d, false)
	if next := p.decide(now, v, testQuery(r, s)); next.gateway.Name == d.gateway.Name || next.gateway.Name != p.partners(now, v)[0].gateway.Name {
		t.Errorf("forwarded to %s after %s could not be reached", next.gateway.Name, d.gateway.Name)
	}
}

// TestReportedWait fills all endpoints of a region but one in eight: the region does not report the wait at that one, which
// the gateways of other regions would all choose until the next report.
func TestReportedWait(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		idle int
		free bool
	}{{1, false}, {4, true}} {
		endpoints := modelEndpoints("a", "b", "c", "d", "e", "f", "g", "h")
		placers, v, _, s := newPlacers(t, 1, endpoints...)
		for i := range endpoints[c.idle:] {
			placers[0].state(&endpoints[c.idle+i]).outstanding = capacity.Outstanding{Requests: endpoints[i].Slots + 20}
		}
		m := placers[0].serviceCapacity(now, v, s, endpoints)
		wait := time.Duration(m.GetWaitMillis()[0]) * time.Millisecond
		if free := wait <= capacity.NewSpeed().Base; free != c.free {
			t.Errorf("%d of 8 endpoints are idle: wait %v", c.idle, wait)
		}
		if want := int32(permille * (8 - c.idle) / 8); m.GetOccupiedPermille() != want {
			t.Errorf("%d of 8 endpoints are idle: occupied %d, want %d", c.idle, m.GetOccupiedPermille(), want)
		}
	}
}

// TestColdShareOfCutGateways cuts gateways off from the control daemons for longer than a gateway that has left keeps its share:
// their views are not renewed, and together they still keep to a cold endpoint's rate.
func TestColdShareOfCutGateways(t *testing.T) {
	now := time.Unix(1000, 0)
	e := fleet.Endpoint{ID: "cold", Born: 7, Service: "model", Slots: 128, State: fleet.Ready, ColdUntil: now.Add(time.Hour)}
	placers, v, r, s := newPlacers(t, 4, e)
	sent := 0
	for step := range 1000 {
		at := now.Add(coldShareTTL*2/3 + time.Duration(step)*20*time.Millisecond)
		if step == 0 {
			for _, p := range placers {
				p.decide(now, v, testQuery(r, s))
			}
		}
		for _, p := range placers {
			if place := p.decide(at, v, testQuery(r, s)); place.endpoint.ID == "cold" {
				p.begin(at, "model", capacity.Work{}, place).end(at, succeeded)
				sent++
			}
		}
	}
	if limit := 20 * int(coldRate*1.5+3); sent > limit {
		t.Errorf("%d requests in 20 s, limit %d", sent, limit)
	}
}
