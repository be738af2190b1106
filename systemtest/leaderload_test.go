package systemtest

import (
	"net/http"
	"strings"
	"testing"
)

// TestNewPlacementLeaderLearnsLoads kills the leader while an engine loads a model that it ordered. The next leader must
// learn of this load and wait for it instead of ordering another one.
func TestNewPlacementLeaderLearnsLoads(t *testing.T) {
	s := newSystem(t, options{
		regions: []string{"lahore", "karachi", "peshawar"}, entriesPerRegion: 1, inventory: editedInventory(t, withSmallWeights),
		controlArgs: []string{"--placementPeriod", "100ms"},
	})
	lahore := s.entries[0]
	load := []string{"--checksFencing", "--loadTime", "5s"}
	engines := []*instance{
		s.engine("engine-1", "lahore", "menu-model", "dastarkhwan-menu", load...),
		s.engine("engine-2", "lahore", "menu-model", "dastarkhwan-menu", load...),
		s.engine("engine-3", "lahore", "menu-model", "dastarkhwan-menu", load...),
	}
	applied := func() int {
		n := 0
		for _, e := range engines {
			n += len(s.appliedOrders(e))
		}
		return n
	}
	s.until("an engine is ordered to load", func() bool { return applied() > 0 })
	s.leader().kill()
	s.until("a dish is checked", func() bool {
		return s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, dishCheckBody).status == http.StatusOK
	})
	for _, e := range engines {
		if len(s.appliedOrders(e)) == 0 {
			continue
		}
		if out, err := s.command("explain", "placement", e.name); err != nil || !strings.Contains(out, "loadLearned") {
			t.Errorf("explain placement %s: %v\n%s", e.name, err, out)
		}
	}
	if n := applied(); n != 1 {
		t.Errorf("%d orders were applied, want 1", n)
	}
}
