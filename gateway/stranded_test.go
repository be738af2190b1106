package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

// outcomes counts the answers to requests.
type outcomes struct {
	sent, served atomic.Int32
	// failure is one of the answers that were no success.
	failure atomic.Value
}

// load sends plain requests and streams through a gateway, one of each every few milliseconds, until d has passed.
func (f *crashFleet) load(g *testGateway, d time.Duration) *outcomes {
	o := &outcomes{}
	var wg sync.WaitGroup
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
			wg.Go(func() {
				o.sent.Add(1)
				got := f.repeat(g, fmt.Sprint(path, f.calls.Add(1)))
				if got.status == http.StatusOK && got.whole && got.err == nil {
					o.served.Add(1)
				} else {
					o.failure.Store(fmt.Sprintf("%s: %d %s %v", path, got.status, got.body, got.err))
				}
			})
		}
	}
	wg.Wait()
	return o
}

// reachTime is more than the time in which a gateway finds out that it is cut off, or no longer is.
const reachTime = 4 * time.Second

// TestStrandedGatewayRefusedCallers has gateways lose all links to endpoints in three ways, while another gateway of the region
// keeps its own: their callers are served by it, and served at once again by the gateways themselves after the cut.
func TestStrandedGatewayRefusedCallers(t *testing.T) {
	for _, kind := range []cutKind{silentCut, resetCut, keptCut} {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet(t, []string{"here"}, 3, 3)
			for _, g := range f.gateways[:2] {
				f.connect(g)
				f.load(g, 300*time.Millisecond)
			}
			for _, g := range f.gateways[:2] {
				f.cut(g, kind)
			}
			var wg sync.WaitGroup
			for _, g := range f.gateways[:2] {
				wg.Go(func() { f.load(g, reachTime) })
			}
			wg.Wait()
			for _, g := range f.gateways[:2] {
				o := f.load(g, time.Second)
				if served, sent := o.served.Load(), o.sent.Load(); served < sent*98/100 {
					t.Errorf("%s served %d of %d requests while cut off; %v", g.cfg.Name, served, sent, o.failure.Load())
				}
				if !g.Ready() {
					t.Errorf("%s isn't ready", g.cfg.Name)
				}
			}
			o := f.load(f.gateways[2], time.Second)
			if served, sent := o.served.Load(), o.sent.Load(); served < sent*98/100 {
				t.Errorf("%s served %d of %d requests while others were cut off", f.gateways[2].cfg.Name, served, sent)
			}
		})
	}
}

// TestStrandedRegionServedNothing has all gateways of a region lose their links to endpoints: what may be served in another region
// is, and what may not is refused at once as not run, with when to return.
func TestStrandedRegionServedNothing(t *testing.T) {
	f := newCrashFleet(t, []string{"here", "there"}, 2, 2)
	f.table = testTable(t, func(r *routes.Route) {
		if r.Kind == routes.Unsafe {
			r.HomeRegions = []string{"here"}
		}
	})
	f.publish()
	for _, g := range f.gateways[:2] {
		f.connect(g)
		f.cut(g, resetCut)
	}
	for range 20 {
		f.repeat(f.gateways[0], "/safe/x")
	}
	time.Sleep(reachTime)
	for _, g := range f.gateways[:2] {
		if got := f.repeat(g, "/safe/y"); got.status != http.StatusOK {
			t.Errorf("%s: status %d, %s", g.cfg.Name, got.status, got.body)
		}
		began := time.Now()
		got := f.repeat(g, "/unsafe/y")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || got.header.Get(outcomeHeader) != string(problem.NotRun) {
			t.Errorf("%s: home-bound: status %d, %v", g.cfg.Name, got.status, got.header)
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("%s: refused after %v", g.cfg.Name, took)
		}
		if g.placer.isStranded() {
			t.Errorf("%s counts as stranded though no gateway reaches the endpoints", g.cfg.Name)
		}
	}
}

// TestForwardedToStranded has a gateway of another region forward to a region with stranded gateways: it forwards past those that it
// knows of, and tries another one of the region if it reaches one that it doesn't know of.
func TestForwardedToStranded(t *testing.T) {
	placers, v, r, s := newPlacers(t, 1)
	p, now := placers[0], time.Unix(1000, 0)
	v.capacities = map[string]regionCapacity{"there": {reportedAt: now, services: map[string]capacity.RegionCapacity{
		"model": {Region: "there", Endpoints: 3, PromptTokens: 1 << 20},
	}}}
	for i := range 8 {
		v.gateways = append(v.gateways, fleet.Gateway{Name: fmt.Sprint("there-", i), Region: "there", Ready: true, Stranded: i != 5})
	}
	q := testQuery(r, s)
	if d := p.decide(now, v, q); d.gateway.Name != "there-5" {
		t.Errorf("forwarded to %q, %s", d.gateway.Name, d.reason)
	}
	q.tried["there-5"] = true
	if d := p.decide(now, v, q); d.verdict != capacity.Refuse {
		t.Errorf("forwarded to %q", d.gateway.Name)
	}
	if all := p.partners(now, v); len(all) != 1 || all[0].gateway.Name != "there-5" {
		t.Errorf("partners %v", all)
	}
}

// strandedPlacers returns three placers, the first of which is stranded and known to be.
func strandedPlacers(t *testing.T, now time.Time) ([]*placer, *view, *routes.Route, *routes.Service) {
	placers, v, r, s := newPlacers(t, 3, modelEndpoints("a", "b")...)
	for _, p := range placers {
		p.decide(now.Add(-time.Minute), v, testQuery(r, s))
	}
	placers[0].recordUnreachable(now)
	placers[0].recordStranded()
	known := *v
	known.gateways = slices.Clone(v.gateways)
	known.gateways[0].Stranded = true
	return placers, &known, r, s
}

// TestStrandedHandedOver has a stranded gateway decide: it hands requests to all peers that reach endpoints, only within its region
// and its routes' homes, and none that was forwarded or handed to it. After its return it keeps more and more of them.
func TestStrandedHandedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	placers, v, r, s := strandedPlacers(t, now)
	p := placers[0]
	v.gateways = append(v.gateways, fleet.Gateway{Name: "elsewhere", Region: "there", Ready: true}, fleet.Gateway{Name: "starting", Region: p.cfg.Region})
	handed := func(now time.Time, q query) map[string]int {
		counts := map[string]int{}
		for range 300 {
			d := p.decide(now, v, q)
			if d.handed {
				counts[d.gateway.Name]++
			} else if d.endpoint.ID != "" {
				counts["endpoint"]++
			}
		}
		return counts
	}
	counts := handed(now, testQuery(r, s))
	if counts["gateway-1"] < 100 || counts["gateway-2"] < 100 || counts["gateway-1"]+counts["gateway-2"] != 300 {
		t.Errorf("handed to %v", counts)
	}
	forwarded := testQuery(r, s)
	forwarded.forwarded = true
	if counts := handed(now, forwarded); counts["gateway-1"]+counts["gateway-2"] > 0 {
		t.Errorf("handed on: %v", counts)
	}
	foreign := *r
	foreign.HomeRegions = []string{"there"}
	q := testQuery(r, s)
	q.route = &foreign
	if counts := handed(now, q); len(counts) > 0 {
		t.Errorf("handed over within a region that is no home: %v", counts)
	}
	p.recordConnected(now, now)
	before := 0
	for _, after := range []time.Duration{0, returnTime / 2, returnTime} {
		n := handed(now.Add(after), testQuery(r, s))["endpoint"]
		if n < before || after == returnTime && n != 300 || after == returnTime/2 && (n < 100 || n > 200) {
			t.Errorf("%v after the return %d of 300 were sent to endpoints, %d before", after, n, before)
		}
		before = n
	}
}

// TestStrandedBlamedEndpoints has a gateway lose its links while requests are in progress: what it reports of the endpoints doesn't
// lower their health for others, and its share of their limits falls to others until some time after its return.
func TestStrandedBlamedEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	placers, v, r, s := newPlacers(t, 3, modelEndpoints("a", "b")...)
	cutOff := placers[0]
	for range 20 {
		d := cutOff.decide(now, v, testQuery(r, s))
		cutOff.begin(now, "model", capacity.Work{}, d).end(now, failed)
	}
	cutOff.recordUnreachable(now)
	cutOff.recordStranded()
	report := cutOff.loadReport(now, 1, true)
	if report == nil {
		t.Fatal("nothing is reported")
	}
	for _, p := range placers[1:] {
		p.updatePeer(now, report)
		for _, id := range []string{"a", "b"} {
			if load := p.peers.sum(id); load.outcomes.Failed > 0 || load.outstanding.Requests > 0 {
				t.Errorf("load of %s: %+v", id, load)
			}
		}
	}
	known := *v
	known.gateways = slices.Clone(v.gateways)
	known.gateways[0].Stranded = true
	for _, p := range placers[1:] {
		if by := p.sharersOf(now, &known); by.reaching.n != 2 || by.all.n != 3 {
			t.Errorf("%d gateways share limits, and %d the rates of cold endpoints", by.reaching.n, by.all.n)
		}
	}
	limit := &endpointLimit{named: true, perSecond: 100}
	if cutOff.mayTake(now, &v.endpoints["model"][0], limit, 0, 3) {
		t.Error("a stranded gateway takes a turn")
	}
	cutOff.recordConnected(now, now)
	if cutOff.mayTake(now, &v.endpoints["model"][0], limit, 0, 3) || !cutOff.mayTake(now.Add(coldHoldoffTime), &v.endpoints["model"][0], limit, 0, 3) {
		t.Error("a gateway takes turns before others know of its return, or not after")
	}
}

// TestStrandedReportedRoom has the gateway that reports its region's capacity be cut off: another one reports it.
func TestStrandedReportedRoom(t *testing.T) {
	f := newCrashFleet(t, []string{"here"}, 3, 2)
	reporters := func() string {
		var names []string
		for _, g := range f.gateways {
			if g.reportsCapacity(time.Now()) {
				names = append(names, g.cfg.Name)
			}
		}
		return strings.Join(names, " ")
	}
	if got := reporters(); got != "here-0" {
		t.Errorf("reported by %q", got)
	}
	f.gateways[0].placer.recordUnreachable(time.Now())
	f.gateways[0].placer.recordStranded()
	f.publish()
	if got := reporters(); got != "here-1" {
		t.Errorf("reported by %q while here-0 is cut off", got)
	}
}

// TestUnreachedRegionHandedOver has a gateway reach no endpoint: while it is doubtful whose fault that is, requests go to other gateways;
// once none of the region is known to reach one, they are no longer passed around in it.
func TestUnreachedRegionHandedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	placers, v, r, s := newPlacers(t, 3, modelEndpoints("a", "b")...)
	p := placers[0]
	p.decide(now, v, testQuery(r, s))
	for _, id := range []string{"a", "b"} {
		p.reach.recordUnconnected(id, 2)
	}
	if d := p.decide(now, v, testQuery(r, s)); !d.handed {
		t.Errorf("in doubt: %+v", d)
	}
	p.recordUnreachable(now)
	if d := p.decide(now, v, testQuery(r, s)); d.handed {
		t.Errorf("handed to %q, which reaches no endpoint either", d.gateway.Name)
	}
}

// TestLateAnswerTakenForReach has the answer over a connection from before the cut arrive once no endpoint is reached: it does not end that,
// and a gateway whose circuit breakers are all open checks its links.
func TestLateAnswerTakenForReach(t *testing.T) {
	now := time.Unix(1000, 0)
	placers, v, r, s := newPlacers(t, 2, modelEndpoints("a", "b")...)
	p := placers[0]
	p.recordUnreachable(now)
	p.recordStranded()
	p.recordConnected(now.Add(time.Second), now.Add(-time.Millisecond))
	if !p.isStranded() {
		t.Error("an answer from before the cut ended it")
	}
	p.recordConnected(now.Add(time.Second), now.Add(time.Millisecond))
	if p.isStranded() {
		t.Error("a new connection did not end the cut")
	}
	now = now.Add(time.Minute)
	p.decide(now, v, testQuery(r, s))
	for _, id := range []string{"a", "b"} {
		p.endpointBreakers.Unreached(now, id)
	}
	for len(p.reach.doubted) > 0 {
		<-p.reach.doubted
	}
	p.decide(now, v, testQuery(r, s))
	if len(p.reach.doubted) == 0 {
		t.Error("the links are not checked")
	}
}

// TestEndedEndpointsTakenForCut has most endpoints of a region end at once: a gateway that by chance tries ended ones first does not take
// itself for cut off.
func TestEndedEndpointsTakenForCut(t *testing.T) {
	const endpoints = 12
	f := newCrashFleet(t, []string{"here"}, 2, endpoints)
	for _, e := range f.endpoints["here"][1:] {
		e.crash()
	}
	g := f.gateways[0]
	for range 20 {
		if connected, listed := g.reachesAny(t.Context()); !connected || !listed {
			t.Fatalf("connected: %v, listed: %v", connected, listed)
		}
	}
}
