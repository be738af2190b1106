package placement

import (
	"cmp"
	"slices"
	"strings"
)

// member is an endpoint of a group with its target holdings.
type member struct {
	*Endpoint
	// serving is what the endpoint serves now, and target what it holds after its pending change.
	serving []holding
	target  []holding
	// changeable is set if no change is pending and the cooldown has passed.
	changeable bool
	// changing is set while a change of the endpoint is pending.
	changing bool
	// kind is equal for members that are interchangeable for a change, and domain for those of one failure domain.
	kind   int
	domain int
}

// kindKey is equal for interchangeable members.
type kindKey struct {
	target          string
	failureDomain   string
	capacity        int
	tokensPerSecond float64
}

func (m *member) kindKey() kindKey {
	var target string
	if len(m.target) == 1 {
		target = m.target[0].name
	} else {
		target = strings.Join(holdingNames(m.target), ",")
	}
	return kindKey{target: target, failureDomain: m.FailureDomain, capacity: m.Capacity, tokensPerSecond: m.TokensPerSecond}
}

func holdingNames(holdings []holding) []string {
	names := make([]string, 0, len(holdings))
	for _, h := range holdings {
		names = append(names, h.name)
	}
	return names
}

// hasUnit reports whether the holdings contain the unit in any version.
func hasUnit(holdings []holding, u int) bool {
	for _, h := range holdings {
		if h.unit == u {
			return true
		}
	}
	return false
}

// serves reports whether the endpoint serves the unit without interruption by its pending change; an adapter is
// interrupted together with its model.
func (m *member) serves(u int, units []unit) bool {
	if m.Leaving || !m.retains(u) {
		return false
	}
	return units[u].model == noModel || m.retains(units[u].model)
}

// retains reports whether the endpoint serves the unit and has it under the same name in its target.
func (m *member) retains(u int) bool {
	return slices.ContainsFunc(m.serving, func(h holding) bool { return h.unit == u && slices.Contains(m.target, h) })
}

// modelCount returns the number of models in the target, without adapters.
func (m *member) modelCount() int {
	n := 0
	for _, h := range m.target {
		if !h.adapter {
			n++
		}
	}
	return n
}

// withAdapters returns the holdings of the unit and of its adapters in the target.
func (m *member) withAdapters(u int, units []unit) []holding {
	var held []holding
	for _, h := range m.target {
		if h.unit == u || h.unit != notOffered && units[h.unit].model == u {
			held = append(held, h)
		}
	}
	return held
}

// applyChange returns the holdings without those of unload and with those of load, models before adapters, which is the
// order of loading.
func applyChange(holdings, load, unload []holding) []holding {
	after := make([]holding, 0, len(holdings)+len(load))
	for _, h := range holdings {
		if !slices.Contains(unload, h) {
			after = append(after, h)
		}
	}
	for _, h := range load {
		if !slices.Contains(after, h) {
			after = append(after, h)
		}
	}
	if len(after) > 1 {
		slices.SortStableFunc(after, func(a, b holding) int { return cmp.Compare(a.loadOrder(), b.loadOrder()) })
	}
	return after
}
