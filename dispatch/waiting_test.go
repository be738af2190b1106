package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"arbutusreel/problem"
	"arbutusreel/routing"
)

// TestCancelReleases checks that requests that are canceled at any time leave their queue and release their capacity at
// once.
func TestCancelReleases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leave := time.Duration(rapid.IntRange(1, 3000).Draw(rt, "leaveMillis")) * time.Millisecond
		n := rapid.IntRange(1, 30).Draw(rt, "requests")
		var failure string
		synctest.Test(t, func(*testing.T) {
			w := newWorld(mustInventory(contents()), 1, fleet(1, 2, 2000), 1, expected)
			d := w.entry("lahore")
			ctx, cancel := context.WithCancel(context.Background())
			for i := range n {
				go func() { _, _ = d.Generate(ctx, request(fmt.Sprint(i), 200, "plan", time.Minute), &collector{}) }()
			}
			time.Sleep(leave)
			cancel()
			synctest.Wait()
			if c := d.Counts(); c.Waiting != 0 {
				failure = fmt.Sprintf("%d requests wait", c.Waiting)
			}
			decision, ok := d.scheduler.chooser.Choose(time.Now(), &routing.Query{Service: "menu-model", Model: "dastarkhwan-menu", ReserveTokens: 2000})
			if !ok || decision.Candidate.OwnRequests() != 0 || !decision.HasCapacity {
				failure = fmt.Sprintf("own requests %d, capacity %v after all callers left", decision.Candidate.OwnRequests(), decision.HasCapacity)
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// TestRefusesAtOnce checks that a request that cannot be met is refused without waiting and without running.
func TestRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := contents()
		c.Services[0].AllowedRegions = []string{"lahore"}
		engines := fleet(1, 2, 0)
		w := newWorld(mustInventory(c), 1, engines, 1, expected)
		d := w.entry("lahore")
		for i := range 30 {
			if _, err := run(d, request(fmt.Sprint("learn", i), 500, "plan", time.Minute)); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 40 {
			go func() { _, _ = run(d, request(fmt.Sprint(i), 500, "plan", time.Minute)) }()
		}
		time.Sleep(time.Millisecond)
		before := time.Now()
		_, err := run(d, request("late", 500, "dish", 15*time.Second))
		var p *problem.Problem
		if !errors.As(err, &p) || p.Outcome != problem.NotRun || p.RetryAfter <= 0 || !time.Now().Equal(before) {
			t.Errorf("refused after %v with %v", time.Since(before), err)
		}
		time.Sleep(2 * time.Minute)
	})
}

// TestStartWaitsForEndpoints sends a request to an instance that discovers its endpoints half a second later.
func TestStartWaitsForEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(mustInventory(contents()), 1, fleet(1, 8, 0), 1, expected)
		w.mu.Lock()
		for _, r := range w.regions {
			r.reported = nil
		}
		w.mu.Unlock()
		go func() {
			time.Sleep(500 * time.Millisecond)
			w.publish()
		}()
		if _, err := run(w.entry("lahore"), request("r", 5, "plan", time.Minute)); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
	})
}

// TestRollingRestartIsWaitedFor checks that a request waits while the only known endpoint has gone and the next one
// is not known yet, and is refused at once if no endpoint has been known for longer than discoveryTime.
func TestRollingRestartIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(mustInventory(contents()), 1, fleet(1, 8, 0), 1, expected)
		d := w.entry("lahore")
		time.Sleep(2 * discoveryTime)
		if _, err := run(d, request("first", 5, "plan", time.Minute)); err != nil {
			t.Fatal(err)
		}
		w.mu.Lock()
		for _, r := range w.regions {
			r.reported = nil
		}
		w.mu.Unlock()
		time.Sleep(2 * refreshPeriod)
		go func() {
			time.Sleep(500 * time.Millisecond)
			w.publish()
		}()
		forwarded := request("forwarded", 5, "plan", time.Minute).WithHop(Hop{Instance: "karachi-0", Region: "karachi"})
		var wg sync.WaitGroup
		for _, r := range []Request{request("between", 5, "plan", time.Minute), forwarded} {
			wg.Go(func() {
				if _, err := run(d, r); err != nil {
					t.Errorf("request %s between two endpoints: %v", r.CorrelationID, err)
				}
			})
		}
		wg.Wait()
		time.Sleep(time.Second)
		w.mu.Lock()
		for _, r := range w.regions {
			r.reported = nil
		}
		w.mu.Unlock()
		time.Sleep(2 * discoveryTime)
		began := time.Now()
		_, err := run(d, request("late", 5, "plan", time.Minute))
		if problem.From(err).Code != problem.NoCapacity || time.Since(began) > 0 {
			t.Errorf("a request long after the last endpoint: %v after %v", err, time.Since(began))
		}
	})
}

// TestDiscoveryWaitLeavesPatience checks that a request that waits for endpoints is refused while half of its
// patience is left.
func TestDiscoveryWaitLeavesPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(mustInventory(contents()), 1, fleet(1, 8, 0), 1, expected)
		w.mu.Lock()
		for _, r := range w.regions {
			r.reported = nil
		}
		w.mu.Unlock()
		plan, _ := w.inventory.Class("plan")
		patience := plan.Patience
		r := request("r", 5, "plan", patience)
		r.Deadline = time.Now().Add(patience/2 + 2*recheckPeriod)
		_, err := run(w.entry("lahore"), r)
		if left := time.Until(r.Deadline); problem.From(err).Code != problem.NoCapacity || left < patience/2-2*recheckPeriod {
			t.Errorf("refused as %v with %v of %v left", err, left, patience)
		}
	})
}

// TestLeaving checks that a leaving endpoint receives no request once its leaving is known.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := fleet(2, 8, 0)
		w := newWorld(mustInventory(contents()), 1, engines, 1, expected)
		gone := engines["lahore"][0]
		gone.endpoint.Leaving = true
		w.publish()
		time.Sleep(2 * refreshPeriod)
		for i := range 20 {
			if _, err := run(w.entry("lahore"), request(fmt.Sprint(i), 2, "plan", time.Minute)); err != nil {
				t.Fatal(err)
			}
		}
		if gone.requests != 0 {
			t.Errorf("the leaving endpoint received %d requests", gone.requests)
		}
	})
}
