package gateway

import (
	"net/http"
	"testing"
	"time"
)

// TestRequestCrashedEndpointsOneAfterTheOther has one request without a prompt crash each endpoint that runs it, and come again
// at gateways of three regions. Once they know of three crashes, it reaches no endpoint, and others are answered.
func TestRequestCrashedEndpointsOneAfterTheOther(t *testing.T) {
	for _, path := range []string{"/unsafe/orders/1", "/safe/orders/1", "/stream/orders/1"} {
		t.Run(path, func(t *testing.T) {
			f := newCrashFleet(t, []string{"here", "there", "far"}, 2, 6, path)
			for i := 0; f.crashed.Load() < 3 && i < 10; i++ {
				f.repeat(f.gateways[i%len(f.gateways)], path)
			}
			time.Sleep(evidenceTime)
			before := f.reached.Load()
			f.start("here-9", "here")
			time.Sleep(evidenceTime)
			for _, g := range f.gateways {
				if got := f.repeat(g, path); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
					t.Errorf("%s: status %d, %v", g.cfg.Name, got.status, got.err)
				}
				if got := f.repeat(g, path+"2"); got.status != http.StatusOK || !got.whole {
					t.Errorf("%s: a sound request got status %d, %v", g.cfg.Name, got.status, got.err)
				}
			}
			if n := f.reached.Load() - before; n > 0 {
				t.Errorf("the request was sent on %d times after %d crashes", n, before)
			}
		})
	}
}
