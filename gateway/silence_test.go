package gateway

import (
	"sync"
	"testing"
	"time"

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
	if g.placer.reach.dark {
		t.Error("the gateway takes itself for cut off")
	}
}

// retryAfterSilence is more than the time for which the circuit breaker of an endpoint is open first.
const retryAfterSilence = 1500 * time.Millisecond
