package systemtest

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"

	"arbutusreel/fencing"
	"arbutusreel/standin"
)

const dishCheckBody = `{"model":"dish-check","max_tokens":4,"stream":true,"messages":[{"role":"user","content":"salt"}]}`

// appliedOrders returns the placement orders that an emulated engine has applied.
func (s *system) appliedOrders(e *instance) []standin.AppliedOrder {
	var orders []standin.AppliedOrder
	client := &system{t: s.t}
	_ = json.Unmarshal([]byte(client.do(http.MethodGet, e.caller, "/v1/orders", "", "").body), &orders)
	return orders
}

// withSmallWeights sets the size of all weights to 1 byte, so that reading them from the weight store takes no time.
func withSmallWeights(m map[string]any) {
	for _, model := range m["models"].([]any) {
		model.(map[string]any)["weightBytes"] = 1
	}
}

func TestPlacementLoadsWhatTheInventoryAsksFor(t *testing.T) {
	s := newSystem(t, options{
		regions: []string{"lahore"}, entriesPerRegion: 1, inventory: editedInventory(t, withSmallWeights),
		controlArgs: []string{"--placementPeriod", "100ms"},
	})
	lahore := s.entries[0]
	first := s.engine("engine-1", "lahore", "menu-model", "dastarkhwan-menu", "--checksFencing")
	second := s.engine("engine-2", "lahore", "menu-model", "dastarkhwan-menu", "--checksFencing")
	s.until("a dish is checked, whose model no engine held at the start", func() bool {
		return s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, dishCheckBody).status == http.StatusOK
	})
	s.until("a plan is still answered", func() bool {
		return s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, planBody).status == http.StatusOK
	})
	orders := append(s.appliedOrders(first), s.appliedOrders(second)...)
	if len(orders) != 1 || !slices.Equal(orders[0].Models, []string{"dish-check"}) {
		t.Fatalf("orders applied: %+v", orders)
	}
	name := "engine-1"
	if len(s.appliedOrders(second)) > 0 {
		name = "engine-2"
	}
	out, err := s.command("explain", "placement", name)
	if err != nil || !strings.Contains(out, `"reason":"belowMinimum"`) || !strings.Contains(out, `"unload":["dastarkhwan-menu"]`) {
		t.Errorf("explain placement: %v\n%s", err, out)
	}
}

// withFencingServices defines one service whose engines check fencing tokens and one whose engines do not. The letter
// selects the model that each of them offers.
func withFencingServices(letter string) func(map[string]any) {
	return func(m map[string]any) {
		var models, services []any
		for _, kind := range []string{"checking", "ignoring"} {
			for _, l := range []string{"a", "b"} {
				models = append(models, map[string]any{"name": kind + "-" + l, "weightBytes": 1})
			}
			services = append(services, map[string]any{
				"name": kind, "kind": "model", "models": []any{kind + "-" + letter}, "minEndpointsPerModel": 1, "checksFencing": kind == "checking",
			})
		}
		m["models"], m["services"] = models, services
	}
}

// strictlyIncreasing reports whether the fencing tokens of the orders are strictly increasing.
func strictlyIncreasing(orders []standin.AppliedOrder) bool {
	var last fencing.Number
	for _, o := range orders {
		n := fencing.Number{Term: o.Term, Sequence: o.Sequence}
		if !n.Above(last) {
			return false
		}
		last = n
	}
	return true
}

// TestFrozenPlacementLeader freezes the leader, lets its successor send new orders to both kinds of engines, and thaws
// the old leader, whose inventory is outdated. The old leader must not overwrite the new orders.
func TestFrozenPlacementLeader(t *testing.T) {
	s := newSystem(t, options{
		regions: []string{"lahore", "karachi", "peshawar"}, entriesPerRegion: 1, inventory: editedInventory(t, withFencingServices("a")),
		controlArgs: []string{"--placementPeriod", "100ms"},
	})
	engines := map[string]*instance{
		"checking": s.engine("engine-checking", "lahore", "checking", "checking-a", "--checksFencing"),
		"ignoring": s.engine("engine-ignoring", "lahore", "ignoring", "ignoring-a"),
	}
	for _, letter := range []string{"b", "a"} {
		var old *instance
		s.until("there is a leader", func() bool {
			old = s.leader()
			return old != nil
		})
		old.freeze()
		s.apply(editedInventory(t, withFencingServices(letter)))
		for kind, e := range engines {
			s.until(kind+" engine holds "+letter, func() bool {
				orders := s.appliedOrders(e)
				return len(orders) > 0 && slices.Equal(orders[len(orders)-1].Models, []string{kind + "-" + letter})
			})
		}
		old.thaw()
		s.until("the thawed voter is a follower", func() bool {
			return strings.Contains(tail(old.output()), `"leads":false`) && s.leader() != nil && s.leader() != old
		})
		for kind, e := range engines {
			orders := s.appliedOrders(e)
			if !strictlyIncreasing(orders) || !slices.Equal(orders[len(orders)-1].Models, []string{kind + "-" + letter}) {
				t.Fatalf("%s engine, %s in force: orders %+v", kind, letter, orders)
			}
		}
	}
}
