package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestCutTakenForCrashes has gateways lose all of their connections to endpoints at once, with requests that have a part in
// common: no endpoint has crashed, and the part is blocked nowhere. It is the same if one gateway of a region is cut off while the
// others keep their connections, and if all of them are.
func TestCutTakenForCrashes(t *testing.T) {
	const perRegion = 3
	for _, kind := range []cutKind{resetCut, silentCut} {
		for _, n := range []int{1, perRegion} {
			t.Run(fmt.Sprint(kind, " ", n), func(t *testing.T) {
				f := newCrashFleet(t, []string{"here", "there"}, perRegion, 4)
				cutOff, others := f.gateways[:n], f.gateways[n:]
				for _, g := range cutOff {
					f.connect(g)
				}
				f.setBegins(200 * time.Millisecond)
				var wg sync.WaitGroup
				for i := range 24 {
					wg.Go(func() { f.call(cutOff[i%n], "first", "part") })
				}
				time.Sleep(100 * time.Millisecond)
				for _, g := range cutOff {
					f.cut(g, kind)
				}
				wg.Wait()
				time.Sleep(heartbeatWait + evidenceTime)
				f.setBegins(time.Millisecond)
				for _, g := range others {
					if n := g.crashes.known(); n > 0 {
						t.Errorf("%s knows of %d crashes", g.cfg.Name, n)
					}
					if got := f.call(g, "first", "part"); got.status != http.StatusOK {
						t.Errorf("%s: status %d, %v, %s", g.cfg.Name, got.status, got.err, got.body)
					}
				}
			})
		}
	}
}
