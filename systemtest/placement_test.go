package systemtest

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"

	"arbutusreel/standin"
)

const dishCheckBody = `{"model":"dish-check","max_tokens":4,"stream":true,"messages":[{"role":"user","content":"salt"}]}`

// ordersOf returns the orders that an emulated engine applied.
func (s *system) ordersOf(e *instance) []standin.AppliedOrder {
	var orders []standin.AppliedOrder
	ctl := &system{t: s.t}
	_ = json.Unmarshal([]byte(ctl.do(http.MethodGet, e.caller, "/v1/orders", "", "").body), &orders)
	return orders
}

// fastStore makes the weights small, so that loads take no time of the weight store.
func fastStore(m map[string]any) {
	for _, model := range m["models"].([]any) {
		model.(map[string]any)["weightBytes"] = 1
	}
}

func TestPlacementLoadsWhatTheInventoryAsksFor(t *testing.T) {
	s := newSystem(t, options{
		regions: []string{"lahore"}, entriesPerRegion: 1, inventory: editedInventory(t, fastStore),
		controlArgs: []string{"--placementPeriod", "100ms"},
	})
	lahore := s.entries[0]
	first := s.engine("engine-1", "lahore", "menu-model", "dastarkhwan-menu", "--checksFencing")
	second := s.engine("engine-2", "lahore", "menu-model", "dastarkhwan-menu", "--checksFencing")
	s.until("a dish is checked, for which no engine held the model", func() bool {
		return s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, dishCheckBody).status == http.StatusOK
	})
	s.until("a plan is still answered", func() bool {
		return s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, planBody).status == http.StatusOK
	})
	orders := append(s.ordersOf(first), s.ordersOf(second)...)
	if len(orders) != 1 || !slices.Equal(orders[0].Models, []string{"dish-check"}) {
		t.Fatalf("orders applied: %+v", orders)
	}
	name := "engine-1"
	if len(s.ordersOf(second)) > 0 {
		name = "engine-2"
	}
	out, err := s.command("explain", "placement", name)
	if err != nil || !strings.Contains(out, `"reason":"belowMinimum"`) || !strings.Contains(out, `"unload":["dastarkhwan-menu"]`) {
		t.Errorf("explain placement: %v\n%s", err, out)
	}
}
