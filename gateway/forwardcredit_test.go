package gateway

import (
	"net/http"
	"sync/atomic"
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

// rejectAll makes the endpoints of a region reject all requests, and returns the counter of rejected requests.
func (f *crashFleet) rejectAll(region string) *atomic.Int32 {
	arrivals := &atomic.Int32{}
	for _, e := range f.endpoints[region] {
		e.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrivals.Add(1)
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Rejected", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	return arrivals
}

// TestForwardedRejectionsUncharged guards against requests that are sent once more outside the retry budget after another region's
// endpoints have rejected them all.
func TestForwardedRejectionsUncharged(t *testing.T) {
	f := newCrashFleet(t, []string{"here", "there", "far"}, 1, 2)
	for _, g := range f.gateways {
		g.placer.cfg.RetryReserve = 0
	}
	for _, e := range f.endpoints["here"] {
		e.crash()
	}
	arrivals := []*atomic.Int32{f.rejectAll("there"), f.rejectAll("far")}
	const n = 40
	for range n {
		if got := f.repeat(f.gateways[0], "/safe/x"); got.status != http.StatusServiceUnavailable {
			t.Fatalf("status %d, %s", got.status, got.body)
		}
	}
	repeats := arrivals[0].Load() + arrivals[1].Load() - n
	if bound := int32(n * retryBudgetShare * f.gateways[0].placer.cfg.RetryRatio); repeats > bound {
		t.Errorf("%d repeats of %d requests reached endpoints, more than %d", repeats, n, bound)
	}
}

// TestForwardsReachingNoneCharged guards against charges to the retry budget for forwards that have reached no endpoint.
func TestForwardsReachingNoneCharged(t *testing.T) {
	f := newCrashFleet(t, []string{"here", "there", "far"}, 1, 2)
	for _, g := range f.gateways {
		g.placer.cfg.RetryReserve = 0
	}
	for _, region := range []string{"here", "there"} {
		for _, e := range f.endpoints[region] {
			e.crash()
		}
	}
	const n = 40
	for range n {
		if got := f.repeat(f.gateways[0], "/safe/x"); got.status != http.StatusOK {
			t.Fatalf("status %d, %s", got.status, got.body)
		}
	}
	taken := 0
	for _, g := range f.gateways {
		for g.placer.takeRetry(time.Now(), g.view.Load(), "desk") {
			taken++
		}
	}
	if want := int(n * retryBudgetShare * f.gateways[0].placer.cfg.RetryRatio); taken < want-len(f.gateways) {
		t.Errorf("%d retries are left after %d requests that each reached one endpoint, want %d", taken, n, want)
	}
}
