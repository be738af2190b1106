package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/crash"
	"arbutusreel/routes"
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

// TestSoundRequestsBlockedAfterCrashes has endpoints crash for other causes while requests are in progress that come again and
// again: polls with equal bodies, which are answered at other times, and one that is answered for the first time after the
// crashes. All of them stay served.
func TestSoundRequestsBlockedAfterCrashes(t *testing.T) {
	const poll, late = "/safe/poll", "/safe/late"
	f := newCrashFleet(t, []string{"here", "there"}, 2, 6)
	if got := f.repeat(f.gateways[3], poll); got.status != http.StatusOK {
		t.Fatalf("status %d, %v", got.status, got.err)
	}
	f.setBegins(100 * time.Millisecond)
	for i := range 2 {
		var wg sync.WaitGroup
		for n, g := range f.gateways {
			wg.Go(func() { f.repeat(g, poll) })
			if n == 0 {
				wg.Go(func() { f.repeat(g, late) })
			}
		}
		time.Sleep(50 * time.Millisecond)
		f.endpoints["here"][i].crash()
		f.endpoints["there"][i].crash()
		wg.Wait()
	}
	f.setBegins(5 * time.Millisecond)
	time.Sleep(evidenceTime)
	for _, path := range []string{poll, late} {
		for _, g := range f.gateways {
			if got := f.repeat(g, path); got.status != http.StatusOK {
				t.Errorf("%s: %s got status %d, %v, %s", g.cfg.Name, path, got.status, got.err, got.body)
			}
		}
	}
	for _, g := range f.gateways {
		if s := g.crashes.signatures(time.Now()); len(s) > 0 {
			t.Errorf("%s blocks %v", g.cfg.Name, s)
		}
	}
}

// TestOneRequestCrashedAllEndpointsOfService has one safe request, sent once, before the three endpoints of a service: it ends
// two of them at most.
func TestOneRequestCrashedAllEndpointsOfService(t *testing.T) {
	const path = "/safe/orders/1"
	f := newCrashFleet(t, []string{"here"}, 2, 3, path)
	f.table = testTable(t, func(r *routes.Route) { r.MaxAttempts = 3 })
	f.publish()
	f.repeat(f.gateways[0], path)
	if n := f.crashed.Load(); n > crash.MaxCrashes {
		t.Errorf("one request ended %d endpoints", n)
	}
}

// TestSuspectRequestsSentAtOnce has many requests with a crashing part come faster than evidence about them settles: endpoints
// are left when their part is blocked.
func TestSuspectRequestsSentAtOnce(t *testing.T) {
	const gateways, endpoints = 2, 12
	f := newCrashFleet(t, []string{"here"}, gateways, endpoints, "bad")
	f.setBegins(40 * time.Millisecond)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() { f.call(f.gateways[i%gateways], "first", "bad") })
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	// Attempts that began before the first crash was known, and one trial of each gateway per crash.
	if n := f.crashed.Load(); n > crash.MinCrashes+2*gateways {
		t.Errorf("%d of %d endpoints crashed", n, endpoints)
	}
}

// TestAnsweredCallBlockedAfterThreeCrashes has a call that may not be repeated be in progress at three crashes of other causes, and an
// answer to it before them or at another gateway: it stays served at all gateways.
func TestAnsweredCallBlockedAfterThreeCrashes(t *testing.T) {
	const path = "/unsafe/orders/7"
	for _, answeredFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("answered first: ", answeredFirst), func(t *testing.T) {
			f := newCrashFleet(t, []string{"here", "there"}, 2, 8)
			if answeredFirst {
				f.repeat(f.gateways[3], path)
			}
			f.setBegins(150 * time.Millisecond)
			for range crash.MinCrashes {
				done := make(chan struct{})
				f.running.Delete(path)
				go func() {
					defer close(done)
					f.repeat(f.gateways[0], path)
				}()
				for {
					if e, ok := f.running.Load(path); ok {
						e.(*crashEndpoint).crash()
						break
					}
					time.Sleep(time.Millisecond)
				}
				<-done
			}
			f.setBegins(time.Millisecond)
			time.Sleep(evidenceTime)
			if !answeredFirst {
				if n := f.gateways[3].crashes.known(); n != crash.MinCrashes {
					t.Fatalf("%d crashes are known", n)
				}
				f.gateways[3].crashes.recordBegun(time.Now(), newTraits(crash.Identity{
					Service: "desk", Method: http.MethodPost, Host: testHost, Target: path,
				}, capacity.Work{}))
			}
			time.Sleep(evidenceTime)
			for _, g := range f.gateways {
				if got := f.repeat(g, path); got.status != http.StatusOK {
					t.Errorf("%s: status %d, %s", g.cfg.Name, got.status, got.body)
				}
			}
		})
	}
}
