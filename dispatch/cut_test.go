package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// strandedWorld returns a region with three instances, of which the first one can be cut off from all engines.
func strandedWorld() (w *world, cut *Dispatcher) {
	c := contents()
	c.Services[0].AllowedRegions = []string{"lahore"}
	w = newWorld(mustInventory(c), 1, fleet(4, 8, 0), 3, expected)
	all := w.region("lahore").dispatchers
	for _, d := range all {
		d.Refresh(len(all))
	}
	return w, all[0]
}

func (w *world) setCut(d *Dispatcher, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[d.self.Instance] = cut
}

// TestCutTakenForCrash has an instance lose its connections to all engines at once, by resets, with requests that have a prefix in
// common: no engine has crashed, and the prefix isn't blocked.
func TestCutTakenForCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, d := strandedWorld()
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				r := request(fmt.Sprint(i), 5, "plan", 20*time.Second)
				r.Prefixes = []uint64{1, 2, uint64(1000 + i)}
				_, _ = run(d, r)
			})
		}
		time.Sleep(10 * time.Millisecond)
		w.setCut(d, true)
		wg.Wait()
		time.Sleep(5 * time.Second)
		if facts, _ := d.CrashFacts(); len(facts.Reports) > 0 {
			t.Errorf("%d crashes are reported", len(facts.Reports))
		}
	})
}
