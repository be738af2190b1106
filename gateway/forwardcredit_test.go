package gateway

import (
	"net/http"
	"testing"
	"time"
)

// TestForwardsCountedTwice has a gateway forward requests to another region: only one of the two counts them towards the common
// retry budget.
func TestForwardsCountedTwice(t *testing.T) {
	f := newCrashFleet(t, []string{"here", "there"}, 1, 3)
	here, there := f.gateways[0], f.gateways[1]
	for _, g := range f.gateways {
		g.placer.cfg.RetryReserve = 0
	}
	for _, e := range f.endpoints["here"] {
		e.crash()
	}
	const n = 20
	for range n {
		if got := f.repeat(here, "/safe/x"); got.status != http.StatusOK {
			t.Fatalf("status %d, %s", got.status, got.body)
		}
	}
	taken := 0
	for _, g := range []*testGateway{here, there} {
		for g.placer.takeRetry(time.Now(), g.view.Load(), "desk") {
			taken++
		}
	}
	if bound := int(n * retryBudgetShare); taken > bound {
		t.Errorf("%d retries are allowed for %d requests, more than %d", taken, n, bound)
	}
}
