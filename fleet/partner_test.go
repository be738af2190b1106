package fleet

import (
	"fmt"
	"slices"
	"testing"
)

func namedGateways(n int) []Gateway {
	var all []Gateway
	for i := range n {
		all = append(all, Gateway{Name: fmt.Sprintf("there-%d", i)})
	}
	return all
}

// TestPartner checks that a gateway keeps its partner while other gateways leave, and that the partners of many gateways
// are spread.
func TestPartner(t *testing.T) {
	others := namedGateways(20)
	partnered := map[string]int{}
	for i := range 200 {
		name := fmt.Sprintf("here-%d", i)
		partner, ok := Partner(name, others)
		if !ok {
			t.Fatal("no partner")
		}
		partnered[partner.Name]++
		for _, leaver := range others {
			left := slices.DeleteFunc(slices.Clone(others), func(g Gateway) bool { return g.Name == leaver.Name })
			if again, _ := Partner(name, left); again.Name != partner.Name && leaver.Name != partner.Name {
				t.Errorf("%s moved from %s to %s when %s left", name, partner.Name, again.Name, leaver.Name)
			}
		}
	}
	for name, n := range partnered {
		if n > 30 {
			t.Errorf("%s is the partner of %d of 200 gateways", name, n)
		}
	}
	if _, ok := Partner("here", nil); ok {
		t.Error("a partner without other gateways")
	}
}
