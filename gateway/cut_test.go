package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestCutTakenForCrashes has one gateway of a region lose all of its connections to endpoints at once, with requests that have a
// part in common, while the others keep theirs: no endpoint has crashed, and the part is blocked nowhere.
func TestCutTakenForCrashes(t *testing.T) {
	for _, kind := range []cutKind{resetCut, silentCut} {
		t.Run(kind.String(), func(t *testing.T) {
			f := newCrashFleet(t, []string{"here", "there"}, 3, 4)
			cutOff := f.gateways[0]
			f.connect(cutOff)
			f.setBegins(200 * time.Millisecond)
			var wg sync.WaitGroup
			for range 24 {
				wg.Go(func() { f.call(cutOff, "first", "part") })
			}
			time.Sleep(100 * time.Millisecond)
			f.cut(cutOff, kind)
			wg.Wait()
			time.Sleep(evidenceTime)
			f.setBegins(time.Millisecond)
			for _, g := range f.gateways[1:] {
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
