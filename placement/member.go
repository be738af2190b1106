package placement

import (
	"cmp"
	"slices"
	"strings"
)

// member is an endpoint of a group with what it is to hold.
type member struct {
	*Endpoint
	// now is what the endpoint serves, and target what it holds once its pending change is done.
	now    []holding
	target []holding
	// free says that the endpoint may be changed now.
	free bool
	// changing says that a change of the endpoint is pending.
	changing bool
	// kind is equal for members between which a change makes no difference, and domain for those of a failure domain.
	kind   int
	domain int
}

// kindKey is what makes members alike.
type kindKey struct {
	target          string
	failureDomain   string
	capacity        int
	tokensPerSecond float64
}

func (m *member) kindKey() kindKey {
	var target string
	if len(m.target) == 1 {
		target = m.target[0].held
	} else {
		target = strings.Join(heldNames(m.target), ",")
	}
	return kindKey{target: target, failureDomain: m.FailureDomain, capacity: m.Capacity, tokensPerSecond: m.TokensPerSecond}
}

// heldNames returns the names of the holdings.
func heldNames(holdings []holding) []string {
	names := make([]string, 0, len(holdings))
	for _, h := range holdings {
		names = append(names, h.held)
	}
	return names
}

// hasUnit reports whether the holdings hold the unit, in any version.
func hasUnit(holdings []holding, u int) bool {
	for _, h := range holdings {
		if h.unit == u {
			return true
		}
	}
	return false
}

// serves reports whether the endpoint serves the unit and will go on to; an adapter is interrupted with its model.
func (m *member) serves(u int, units []unit) bool {
	if m.Leaving || !m.keeps(u) {
		return false
	}
	return units[u].model == noModel || m.keeps(units[u].model)
}

// keeps reports whether the endpoint holds the unit now and, by the same name, in its target.
func (m *member) keeps(u int) bool {
	return slices.ContainsFunc(m.now, func(h holding) bool { return h.unit == u && slices.Contains(m.target, h) })
}

// models returns the number of models, adapters left out, that the endpoint is to hold.
func (m *member) models() int {
	n := 0
	for _, h := range m.target {
		if !h.adapter {
			n++
		}
	}
	return n
}

// with returns the unit of the target and those of its adapters that the endpoint is to hold.
func (m *member) with(u int, units []unit) []holding {
	var held []holding
	for _, h := range m.target {
		if h.unit == u || h.unit != notOffered && units[h.unit].model == u {
			held = append(held, h)
		}
	}
	return held
}

// changed returns the holdings without some and with others, models before adapters as they are loaded.
func changed(holdings, load, unload []holding) []holding {
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
		slices.SortStableFunc(after, func(a, b holding) int { return cmp.Compare(a.rank(), b.rank()) })
	}
	return after
}
