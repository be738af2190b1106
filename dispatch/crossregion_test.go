package dispatch

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestWaitingLeavesDeadRegion kills the only engine of a region while requests wait for it: they must go to another
// region as soon as the breaker has opened, instead of waiting for the engine to return.
func TestWaitingLeavesDeadRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := fleet(1, 8, 0)
		g := newFakeEngine("engine-lahore-0", "lahore", 1, 0)
		engines["lahore"] = []*fakeEngine{g}
		w := newWorld(mustInventory(contents()), 1, engines, 1, expected)
		var wg sync.WaitGroup
		var first []time.Time
		var mu sync.Mutex
		for _, id := range []string{"runs", "waits-0", "waits-1"} {
			wg.Go(func() {
				c, err := run(w.entry("lahore"), request(id, 100, "plan", time.Minute))
				mu.Lock()
				defer mu.Unlock()
				if first = append(first, c.first); err != nil {
					t.Errorf("request %q: %v", id, err)
				}
			})
			synctest.Wait()
		}
		time.Sleep(100 * time.Millisecond)
		g.mu.Lock()
		g.dead.Store(true)
		g.mu.Unlock()
		killed := time.Now()
		wg.Wait()
		for _, at := range first {
			if late := at.Sub(killed); late > 500*time.Millisecond {
				t.Errorf("a request that waited for a dead engine began %v after it was killed", late)
			}
		}
	})
}
