package systemtest

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

const (
	noticeBody        = `{"model":"dastarkhwan-menu:urdu-notices","max_tokens":4,"stream":true,"messages":[{"role":"user","content":"notice"}]}`
	unknownNoticeBody = `{"model":"dastarkhwan-menu:sindhi-notices","max_tokens":4,"messages":[{"role":"user","content":"notice"}]}`
	versionBody       = `{"model":"dastarkhwan-menu@v1","max_tokens":4,"messages":[{"role":"user","content":"plan"}]}`
)

// withVersion sets the version of the menu model and offers its adapter if adapter is true. All three engines may change
// their models concurrently.
func withVersion(version string, adapter bool) func(map[string]any) {
	return func(m map[string]any) {
		withSmallWeights(m)
		m["rules"].(map[string]any)["maxPlacementChanges"] = 3
		model := findItem(m, "models", "dastarkhwan-menu")
		model["versions"], model["version"] = []any{"v1", "v2"}, version
		names := []any{"dastarkhwan-menu"}
		if adapter {
			names = append(names, "dastarkhwan-menu:urdu-notices")
		}
		findItem(m, "services", "menu-model")["models"] = names
	}
}

// sendContinuously repeats a request from several callers until the returned function is called. That function returns
// the number of complete answers and the body of the first failed one.
func (s *system) sendContinuously(address, body string) (stop func() (int64, string)) {
	const callers = 4
	var answered atomic.Int64
	var failure atomic.Pointer[string]
	var wg sync.WaitGroup
	done := make(chan struct{})
	for range callers {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				a := s.do(http.MethodPost, address, chatPath, lahoreToken, body)
				if a.status == http.StatusOK && strings.HasSuffix(a.body, "data: [DONE]\n\n") {
					answered.Add(1)
					continue
				}
				failure.CompareAndSwap(nil, &a.body)
			}
		})
	}
	return func() (int64, string) {
		close(done)
		wg.Wait()
		if message := failure.Load(); message != nil {
			return answered.Load(), "failed: " + *message
		}
		return answered.Load(), ""
	}
}

// TestVersionAndAdapterUnderLoad rolls out a version and places an adapter under load. No request may fail.
func TestVersionAndAdapterUnderLoad(t *testing.T) {
	s := newSystem(t, options{
		regions: []string{"lahore"}, entriesPerRegion: 1, inventory: editedInventory(t, withVersion("v1", false)),
		controlArgs: []string{"--placementPeriod", "100ms"},
	})
	lahore := s.entries[0]
	var engines []*instance
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		engines = append(engines, s.engine(name, "lahore", "menu-model", "dastarkhwan-menu@v1", "--checksFencing", "--loadTime", "2s", "--adapterLoadTime", "500ms"))
	}
	ask := func(body string) response { return s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, body) }
	s.until("a plan is answered", func() bool { return ask(planBody).status == http.StatusOK })
	for name, body := range map[string]string{"adapter that no service offers": noticeBody, "unknown adapter": unknownNoticeBody, "version": versionBody} {
		if a := ask(body); a.status != http.StatusNotFound {
			t.Errorf("%s: status %d, %s", name, a.status, a.body)
		}
	}
	stopPlans := s.sendContinuously(lahore.caller, planBody)
	s.apply(editedInventory(t, withVersion("v1", true)))
	s.until("a notice is answered", func() bool { return ask(noticeBody).status == http.StatusOK })
	stopNotices := s.sendContinuously(lahore.caller, noticeBody)
	s.apply(editedInventory(t, withVersion("v2", true)))
	for _, e := range engines {
		s.until(e.name+" is ordered to hold the new version", func() bool {
			orders := s.appliedOrders(e)
			return len(orders) > 0 && slices.Contains(orders[len(orders)-1].Models, "dastarkhwan-menu@v2")
		})
	}
	for what, stop := range map[string]func() (int64, string){"plans": stopPlans, "notices": stopNotices} {
		answered, failure := stop()
		if answered == 0 || failure != "" {
			t.Errorf("%s: %d answered, %s", what, answered, failure)
		}
		t.Logf("%s: %d answered", what, answered)
	}
}
