package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestStrandedInstanceRefusedCallers has an instance lose its connections to all engines of the region while the others keep theirs: its
// requests are answered by them, also those in progress, and by the engines again after the cut.
func TestStrandedInstanceRefusedCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, d := strandedWorld()
		send := func(i int) error {
			r := request(fmt.Sprint(i), 5, "plan", 20*time.Second)
			r.Prefixes = []uint64{1, uint64(1000 + i)}
			_, err := run(d, r)
			return err
		}
		if err := send(0); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				if err := send(10 + i); err != nil {
					t.Errorf("a request in progress: %v", err)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		w.setCut(d, true)
		wg.Wait()
		for i := range 40 {
			if err := send(100 + i); err != nil {
				t.Errorf("while cut off: %v", err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		w.setCut(d, false)
		time.Sleep(40 * time.Second)
		w.publish()
		before := w.requests("lahore")
		for i := range 8 {
			if err := send(200 + i); err != nil {
				t.Errorf("after the cut: %v", err)
			}
		}
		if n := w.requests("lahore") - before; n < 8 {
			t.Errorf("%d requests at engines", n)
		}
	})
}

// requests returns the number of attempts at the region's engines.
func (w *world) requests(region string) int {
	n := 0
	for _, g := range w.region(region).engines {
		g.mu.Lock()
		n += g.requests
		g.mu.Unlock()
	}
	return n
}

// TestHandedOverTwice has all instances of a region lose their connections: a request is handed over once at most, and refused.
func TestHandedOverTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, d := strandedWorld()
		for _, other := range w.region("lahore").dispatchers {
			w.setCut(other, true)
		}
		for i := range 20 {
			before := w.region("lahore").forwards
			r := request(fmt.Sprint(i), 5, "plan", 8*time.Second)
			if _, err := run(d, r); err == nil {
				t.Error("answered without an engine")
			}
			if n := w.region("lahore").forwards - before; n > 1 {
				t.Errorf("handed over %d times", n)
			}
		}
	})
}
