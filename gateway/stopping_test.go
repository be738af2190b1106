package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

// stoppingGateway returns a gateway that has been stopping for a time of its grace period of 8 s.
func stoppingGateway(t *testing.T, elapsed time.Duration, endpoints ...*testEndpoint) *testGateway {
	t.Helper()
	g := newGateway(t, testTable(t, nil), endpoints...)
	g.cfg.Grace = 8 * time.Second
	g.stopBeganNanos.Store(time.Now().Add(-elapsed).UnixNano())
	return g
}

// TestStreamsRefusedInSeriesRestart has the last gateway of a region stop while the others have not started again: it
// still accepts the streams that end before it does, and answers the others with a retry delay.
func TestStreamsRefusedInSeriesRestart(t *testing.T) {
	answer := func(c *endpointConn, r *http.Request, _ int) bool {
		c.head(r.Header.Get("Id"))
		c.event(0)
		c.end()
		return true
	}
	cases := []struct {
		name      string
		elapsed   time.Duration
		patience  time.Duration
		peerReady bool
		status    int
		// longest is the longest retry delay: the time until the gateway ends, or restartRetryAfter if that is longer.
		longest time.Duration
	}{
		{"just stopping", time.Second, 5 * time.Second, false, http.StatusOK, 0},
		{"ends in time", 4 * time.Second, 2 * time.Second, false, http.StatusOK, 0},
		{"ends too late", 4 * time.Second, 5 * time.Second, false, http.StatusServiceUnavailable, 4 * time.Second},
		{"ends too late, another gateway is ready", 4 * time.Second, 5 * time.Second, true, http.StatusServiceUnavailable, stoppingRetryAfter},
		{"at the end", 7 * time.Second, time.Second, false, http.StatusServiceUnavailable, 3 * restartRetryAfter / 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := stoppingGateway(t, c.elapsed, newEndpoint(t, "a", answer))
			v := *g.view.Load()
			v.gateways = []fleet.Gateway{{Name: "gateway-b", Region: "here", Ready: c.peerReady}}
			g.view.Store(&v)
			got := g.call(t.Context(), "POST", "/stream/x", map[string]string{"Patience": strconv.FormatInt(c.patience.Milliseconds(), 10)})
			after, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			if got.status != c.status || after > c.longest.Seconds() || c.status != http.StatusOK && after <= 0 {
				t.Errorf("status %d, Retry-After %v", got.status, after)
			}
		})
	}
}

// TestStoppingStates checks what a stopping gateway reports to the directory: it must not be named in the last part of
// its grace period, as callers keep the directory's answers.
func TestStoppingStates(t *testing.T) {
	for _, c := range []struct {
		elapsed            time.Duration
		lingering, closing bool
	}{
		{100 * time.Millisecond, true, false}, {1700 * time.Millisecond, true, false}, {1900 * time.Millisecond, false, true},
		{6600 * time.Millisecond, false, true}, {6800 * time.Millisecond, false, false},
	} {
		now := time.Now()
		g := stoppingGateway(t, 0)
		g.stopBeganNanos.Store(now.Add(-c.elapsed).UnixNano())
		if m := g.report(now, false); m.GetReady() || m.GetLingering() != c.lingering || m.GetClosing() != c.closing {
			t.Errorf("after %v: %v", c.elapsed, m)
		}
	}
}

// TestForwardToStoppingRegion has all gateways of the only home region of a route stop or start: a gateway of another
// region still forwards to one of them that accepts requests, and keeps connections to it.
func TestForwardToStoppingRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	starting, lingering, closing, ready := fleet.Gateway{Name: "starting"}, fleet.Gateway{Name: "lingering", Lingering: true}, fleet.Gateway{Name: "closing", Closing: true}, fleet.Gateway{Name: "ready", Ready: true}
	for _, c := range []struct {
		name     string
		gateways []fleet.Gateway
		want     string
	}{
		{"a ready one", []fleet.Gateway{starting, lingering, closing, ready}, "ready"},
		{"a lingering one", []fleet.Gateway{starting, lingering, closing}, "lingering"},
		{"a closing one", []fleet.Gateway{starting, closing}, "closing"},
		{"only one that starts", []fleet.Gateway{starting}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			placers, v, r, s := newPlacers(t, 1)
			p := placers[0]
			r.HomeRegions = []string{"there"}
			for _, g := range c.gateways {
				g.Region = "there"
				v.gateways = append(v.gateways, g)
			}
			there := capacity.RegionCapacity{Region: "there", Endpoints: 9, PromptTokens: 1 << 40}
			v.capacities = map[string]regionCapacity{"there": {reportedAt: now, services: map[string]capacity.RegionCapacity{"model": there}}}
			if d := p.decide(now, v, testQuery(r, s)); d.gateway.Name != c.want {
				t.Errorf("forwarded to %q, want %q", d.gateway.Name, c.want)
			}
			partner := ""
			for _, kept := range p.partners(now, v) {
				partner = kept.gateway.Name
			}
			if partner != c.want {
				t.Errorf("connections are kept to %q, want %q", partner, c.want)
			}
		})
	}
}

// TestCapacityOfStoppingRegion checks that exactly one gateway reports the capacity of its region while any accepts
// requests: without reports, other regions would not forward to it.
func TestCapacityOfStoppingRegion(t *testing.T) {
	peer := func(name string, ready, lingering bool) fleet.Gateway {
		return fleet.Gateway{Name: name, Region: "here", Ready: ready, Lingering: lingering}
	}
	for _, c := range []struct {
		name    string
		elapsed time.Duration
		peers   []fleet.Gateway
		want    bool
	}{
		{"alone and lingering", time.Second, nil, true},
		{"alone and closing", 4 * time.Second, nil, true},
		{"alone at the end", 7 * time.Second, nil, false},
		{"lingering before a ready one", time.Second, []fleet.Gateway{peer("gateway-b", true, false)}, false},
		{"lingering after a lingering one", time.Second, []fleet.Gateway{peer("gateway-0", false, true)}, false},
		{"lingering before a lingering one", time.Second, []fleet.Gateway{peer("gateway-b", false, true)}, true},
		{"closing after a lingering one", 4 * time.Second, []fleet.Gateway{peer("gateway-b", false, true)}, false},
		{"lingering after one that starts", time.Second, []fleet.Gateway{peer("gateway-0", false, false)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := stoppingGateway(t, c.elapsed)
			v := *g.view.Load()
			v.gateways = c.peers
			g.view.Store(&v)
			if got := g.reportsCapacity(time.Now()); got != c.want {
				t.Errorf("reports capacity: %v", got)
			}
		})
	}
}

// TestPlainRequestsCutAtStop sends plain requests to a gateway near the end of its grace period: each is refused or
// answered before the gateway ends, and never cut off.
func TestPlainRequestsCutAtStop(t *testing.T) {
	for _, c := range []struct {
		name    string
		elapsed time.Duration
		status  int
	}{
		{"named to callers until shortly before", 7200 * time.Millisecond, http.StatusServiceUnavailable},
		{"still named to callers", 6 * time.Second, http.StatusGatewayTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			g := stoppingGateway(t, c.elapsed, newEndpoint(t, "a", func(*endpointConn, *http.Request, int) bool {
				<-release
				return false
			}))
			g.durations.record(time.Now(), "desk", routes.Unsafe, 100*time.Millisecond)
			got := g.call(t.Context(), "POST", "/unsafe/x", map[string]string{"Patience": "5000"})
			if got.status != c.status || !got.whole {
				t.Errorf("%+v", got)
			}
		})
	}
}

// TestPlainRequestsOutlastStop takes plain requests with late deadlines at times of the grace period of 8 s: those that are
// accepted get a deadline shortly before the gateway ends, and others are refused, also if recent ones took longer than what is left.
func TestPlainRequestsOutlastStop(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		elapsed, patience time.Duration
		// longest is how long recent requests took; zero if there was none.
		longest time.Duration
		// deadline is the time from the beginning of the stop to the request's deadline; zero if it is refused.
		deadline time.Duration
	}{
		{time.Second, 5 * time.Second, 100 * time.Millisecond, 6 * time.Second},
		{6600 * time.Millisecond, 5 * time.Second, 100 * time.Millisecond, 7500 * time.Millisecond},
		{6700 * time.Millisecond, 5 * time.Second, 100 * time.Millisecond, 7500 * time.Millisecond},
		{6800 * time.Millisecond, 5 * time.Second, 100 * time.Millisecond, 0},
		{6800 * time.Millisecond, 500 * time.Millisecond, 100 * time.Millisecond, 7300 * time.Millisecond},
		{7200 * time.Millisecond, 5 * time.Second, 100 * time.Millisecond, 0},
		{4 * time.Second, 5 * time.Second, 2200 * time.Millisecond, 7500 * time.Millisecond},
		{5 * time.Second, 5 * time.Second, 2200 * time.Millisecond, 0},
		{5 * time.Second, 2 * time.Second, 2200 * time.Millisecond, 7 * time.Second},
		{time.Second, 7 * time.Second, 6 * time.Second, 0},
		{2700 * time.Millisecond, 7 * time.Second, 0, 7500 * time.Millisecond},
		{2900 * time.Millisecond, 7 * time.Second, 0, 0},
	} {
		g := stoppingGateway(t, 0)
		if c.longest > 0 {
			g.durations.record(now, "desk", routes.Unsafe, c.longest)
		}
		began := now.Add(-c.elapsed)
		g.stopBeganNanos.Store(began.UnixNano())
		j := &job{g: g.Gateway, received: now, deadline: now.Add(c.patience), route: &routes.Route{Kind: routes.Unsafe}, service: &routes.Service{Name: "desk"}}
		refusal := j.boundByStop()
		if (refusal != nil) != (c.deadline == 0) || refusal == nil && j.deadline.Sub(began) != c.deadline {
			t.Errorf("after %v: %v, deadline after %v", c.elapsed, refusal, j.deadline.Sub(began))
		}
	}
}

// TestForwardedStreamCutAtStop forwards streams to a stopping gateway: those whose deadlines are later than its end are
// refused as not run, as the gateway that took them from callers is not stopping and must not break them off.
func TestForwardedStreamCutAtStop(t *testing.T) {
	answer := func(c *endpointConn, r *http.Request, _ int) bool {
		c.head(r.Header.Get("Id"))
		c.event(0)
		c.end()
		return true
	}
	for _, c := range []struct {
		name      string
		elapsed   time.Duration
		patience  time.Duration
		forwarded bool
		status    int
	}{
		{"just stopping, outlasts it", 100 * time.Millisecond, 9 * time.Second, true, http.StatusServiceUnavailable},
		{"lingering, outlasts it", time.Second, 9 * time.Second, true, http.StatusServiceUnavailable},
		{"lingering, outlasts it, from a caller", time.Second, 9 * time.Second, false, http.StatusOK},
		{"lingering, ends in time", time.Second, 3 * time.Second, true, http.StatusOK},
		{"closing, ends in time", 4 * time.Second, time.Second, true, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := stoppingGateway(t, c.elapsed, newEndpoint(t, "a", answer))
			v := *g.view.Load()
			v.table = testTable(t, func(r *routes.Route) { r.Timeout = 10 * time.Second })
			g.view.Store(&v)
			if c.forwarded {
				g.server = &httptest.Server{URL: "http://" + newForwardServer(t, g)}
			}
			got := g.call(t.Context(), "POST", "/stream/x", map[string]string{"Patience": strconv.FormatInt(c.patience.Milliseconds(), 10)})
			refused := got.header.Get(outcomeHeader) == string(problem.NotRun)
			if got.status != c.status || !got.whole || refused != (c.status != http.StatusOK) {
				t.Errorf("%+v", got)
			}
		})
	}
}

// TestForwardToStoppingInsteadOfReady has a region with ready gateways, and one with free capacity whose gateways all
// stop: requests that both may serve go to the former.
func TestForwardToStoppingInsteadOfReady(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, stopping := range []fleet.Gateway{{Lingering: true}, {Closing: true}} {
		placers, v, r, s := newPlacers(t, 1)
		stopping.Name, stopping.Region = "stopping", "there"
		v.gateways = append(v.gateways, stopping, fleet.Gateway{Name: "ready", Region: "far", Ready: true})
		services := func(region string, busy float64) regionCapacity {
			return regionCapacity{reportedAt: now, services: map[string]capacity.RegionCapacity{
				"model": {Region: region, Endpoints: 9, PromptTokens: 1 << 40, Busy: busy},
			}}
		}
		v.capacities = map[string]regionCapacity{"there": services("there", 0), "far": services("far", 0.2)}
		if d := placers[0].decide(now, v, testQuery(r, s)); d.gateway.Name != "ready" {
			t.Errorf("forwarded to %q", d.gateway.Name)
		}
	}
}

// TestForwardToClosingAfterFailure has a region with ready gateways and a closing one: no request goes to the latter
// because a ready one was tried, or failed before.
func TestForwardToClosingAfterFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	there := capacity.RegionCapacity{Region: "there", Endpoints: 9, PromptTokens: 1 << 40}
	for _, c := range []struct {
		name          string
		tried, failed []string
		want          string
	}{
		{"one tried", []string{"ready-1"}, nil, "ready-2"},
		{"one failed", nil, []string{"ready-1"}, "ready-2"},
		{"one tried, one failed", []string{"ready-1"}, []string{"ready-2"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			placers, v, r, s := newPlacers(t, 1)
			p := placers[0]
			v.gateways = append(v.gateways, fleet.Gateway{Name: "closing", Region: "there", Closing: true},
				fleet.Gateway{Name: "ready-1", Region: "there", Ready: true}, fleet.Gateway{Name: "ready-2", Region: "there", Ready: true})
			v.capacities = map[string]regionCapacity{"there": {reportedAt: now, services: map[string]capacity.RegionCapacity{"model": there}}}
			q := testQuery(r, s)
			for _, name := range c.tried {
				q.tried[name] = true
			}
			for _, name := range c.failed {
				p.gatewayBreakers.Unreached(now, name)
			}
			if d := p.decide(now, v, q); d.gateway.Name != c.want {
				t.Errorf("forwarded to %q, want %q", d.gateway.Name, c.want)
			}
		})
	}
}

// TestForwardToStoppingWithEndpoints has a region with ready gateways but no endpoint of the service, and one with
// endpoints whose gateways all stop: requests go to the latter rather than being refused.
func TestForwardToStoppingWithEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	placers, v, r, s := newPlacers(t, 1)
	v.gateways = append(v.gateways, fleet.Gateway{Name: "stopping", Region: "there", Lingering: true}, fleet.Gateway{Name: "ready", Region: "far", Ready: true})
	there := capacity.RegionCapacity{Region: "there", Endpoints: 9, PromptTokens: 1 << 40}
	v.capacities = map[string]regionCapacity{
		"there": {reportedAt: now, services: map[string]capacity.RegionCapacity{"model": there}},
		"far":   {reportedAt: now},
	}
	if d := placers[0].decide(now, v, testQuery(r, s)); d.gateway.Name != "stopping" {
		t.Errorf("forwarded to %q", d.gateway.Name)
	}
}

// TestEndedGatewayStaysNamed ends a stopping gateway early, as it has nothing to do: the last that it reports is not
// that it accepts requests.
func TestEndedGatewayStaysNamed(t *testing.T) {
	g := newGateway(t, testTable(t, nil))
	g.cfg.Grace = 8 * time.Second
	g.stop()
	if now := time.Now(); g.closing(now) {
		t.Errorf("closing %v after the stop began, with the gateway ended", g.stoppingFor(now))
	}
}
