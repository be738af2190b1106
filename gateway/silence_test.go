package gateway

import (
	"sync"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/retry"
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
