package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/retry"
	"arbutusreel/routes"
)

// TestSilentEndpointBlamed has a sound endpoint fall silent for a second and go on, on open connections and for new ones: it has
// neither crashed nor failed, and isn't taken for one that starts anew.
func TestSilentEndpointBlamed(t *testing.T) {
	f := newCrashFleet(t, []string{"here"}, 1, 3)
	g := f.gateways[0]
	f.connect(g)
	f.load(g, 500*time.Millisecond)
	silent := f.endpoints["here"][0]
	l := f.links[g.cfg.Name][silent.ID]
	l.cut(silentCut)
	var wg sync.WaitGroup
	wg.Go(func() { f.load(g, time.Second) })
	time.Sleep(time.Second)
	l.restore()
	wg.Wait()
	time.Sleep(retryAfterSilence)
	if n := g.crashes.known(); n > 0 {
		t.Errorf("%d crashes are known", n)
	}
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	now := time.Now()
	s := g.placer.states[silent.ID]
	if rate := s.outcomes.FailureRate(now); rate > 0 {
		t.Errorf("failure rate %v", rate)
	}
	if !s.connectFailedAt.IsZero() {
		t.Error("taken for an endpoint that starts anew")
	}
	if state := g.placer.endpointBreakers.State(now, silent.ID); state == retry.Open {
		t.Errorf("the circuit breaker is %v", state)
	}
	if g.placer.reach.unreachable {
		t.Error("the gateway takes itself for cut off")
	}
}

// retryAfterSilence is more than the time for which the circuit breaker of an endpoint is open first.
const retryAfterSilence = 1500 * time.Millisecond

// TestSilentEndpointRestarted has an endpoint send nothing for longer than maxSilence, and accept connections again before its heartbeat
// arrives. It is limited like a cold endpoint until it has answered. After a shorter time it is not limited.
func TestSilentEndpointRestarted(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		silence time.Duration
		cold    bool
	}{{time.Second, false}, {2 * time.Second, true}} {
		placers, v, r, s := newPlacers(t, 1, modelEndpoints("a")...)
		p, now := placers[0], start.Add(c.silence)
		p.decide(start.Add(-time.Minute), v, testQuery(r, s))
		heard := p.begin(start, "model", capacity.Work{}, p.decide(start, v, testQuery(r, s)))
		heard.recordReceived(start)
		heard.end(start, succeeded)
		failed := p.begin(start, "model", capacity.Work{}, p.decide(start, v, testQuery(r, s)))
		failed.end(start.Add(c.silence/2), unanswered)
		p.endpointBreakers.Forget("a")
		// A rejection is no sign that the endpoint is the one from before.
		p.reach.recordReceived(now)
		sent := 0
		for range 40 {
			if d := p.decide(now, v, testQuery(r, s)); d.endpoint.ID == "a" {
				p.begin(now, "model", capacity.Work{}, d)
				sent++
			}
		}
		if got := sent < 40; got != c.cold {
			t.Errorf("after a silence of %v: %d of 40 requests were sent", c.silence, sent)
		}
	}
}

// TestStreamCutBySilentLinks has nothing arrive from any endpoint for a while, as on a link that is full: a stream that has begun, and
// that no other gateway can go on with, is not cut.
func TestStreamCutBySilentLinks(t *testing.T) {
	f := newCrashFleet(t, []string{"here"}, 1, 2)
	f.table = testTable(t, func(r *routes.Route) { r.Timeout = time.Minute })
	f.held = make(chan struct{})
	g := f.gateways[0]
	f.connect(g)
	begun := func() bool {
		g.placer.mu.Lock()
		defer g.placer.mu.Unlock()
		for a := range g.placer.reach.waiting {
			if !a.firstAt.IsZero() {
				return true
			}
		}
		return false
	}
	wait := func(what string, condition func() bool) {
		for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting until %s", what)
			}
		}
	}
	answered := make(chan result, 1)
	go func() {
		answered <- g.call(t.Context(), http.MethodPost, "/stream/x", map[string]string{"Id": "stream-1"})
	}()
	wait("the stream has begun", begun)
	f.cut(g, silentCut)
	go g.call(t.Context(), http.MethodPost, "/safe/x", map[string]string{"Id": "safe-1"})
	wait("no endpoint is reached", g.placer.isUnreachable)
	time.Sleep(silenceTime + strandedProbePeriod)
	for _, l := range f.links[g.cfg.Name] {
		l.restore()
	}
	close(f.held)
	if got := <-answered; !got.whole || got.body != pieces(0, 2) {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
}
