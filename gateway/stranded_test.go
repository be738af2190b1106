package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// outcomes counts the answers to requests.
type outcomes struct {
	sent, served, twice atomic.Int32
}

// load sends plain requests and streams through a gateway, one of each every few milliseconds, until d has passed.
func (f *crashFleet) load(g *testGateway, d time.Duration) *outcomes {
	o := &outcomes{}
	var wg sync.WaitGroup
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
			wg.Go(func() {
				o.sent.Add(1)
				got := f.repeat(g, fmt.Sprint(path, f.calls.Add(1)))
				if got.status == http.StatusOK && got.whole && got.err == nil {
					o.served.Add(1)
				}
			})
		}
	}
	wg.Wait()
	return o
}

// reachTime is more than the time in which a gateway finds out that it is cut off, or no longer is.
const reachTime = 4 * time.Second

// TestStrandedGatewayRefusedCallers has gateways lose all links to endpoints in three ways, while another gateway of the region
// keeps its own: their callers are served by it, and served at once again by the gateways themselves after the cut.
func TestStrandedGatewayRefusedCallers(t *testing.T) {
	for _, kind := range []cutKind{silentCut, resetCut, keptCut} {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet(t, []string{"here"}, 3, 3)
			for _, g := range f.gateways[:2] {
				f.connect(g)
				f.load(g, 300*time.Millisecond)
			}
			for _, g := range f.gateways[:2] {
				f.cut(g, kind)
			}
			var wg sync.WaitGroup
			for _, g := range f.gateways[:2] {
				wg.Go(func() { f.load(g, reachTime) })
			}
			wg.Wait()
			for _, g := range f.gateways[:2] {
				o := f.load(g, time.Second)
				if served, sent := o.served.Load(), o.sent.Load(); served < sent*98/100 {
					t.Errorf("%s served %d of %d requests while cut off", g.cfg.Name, served, sent)
				}
				if !g.Ready() {
					t.Errorf("%s isn't ready", g.cfg.Name)
				}
			}
			o := f.load(f.gateways[2], time.Second)
			if served, sent := o.served.Load(), o.sent.Load(); served < sent*98/100 {
				t.Errorf("%s served %d of %d requests while others were cut off", f.gateways[2].cfg.Name, served, sent)
			}
		})
	}
}
