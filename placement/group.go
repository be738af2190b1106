package placement

import (
	"cmp"
	"slices"

	"arbutusreel/inventory"
)

// group is the endpoints of one service in one region.
type group struct {
	region  string
	service inventory.Service
	// units are what the service may offer in the region.
	units   []unit
	members []*member
	// holdings knows each name that was seen.
	holdings map[string]holding
	// copies counts the endpoints that hold each unit once all changes are done.
	copies []int
	// serving counts the endpoints that serve each unit now and will go on to.
	serving []int
	// kinds numbers the kinds of members.
	kinds map[kindKey]int
	// tried marks the kinds that were tried since the last call of candidates.
	tried []bool
	// domains numbers the failure domains, and holdsUnit marks those that hold the unit that is being proposed.
	domains   map[string]int
	holdsUnit []bool
	// supplied is room for the supply of each unit.
	supplied []float64
	// storeBusy says that the region's weight store serves another load.
	storeBusy bool
	// proposed are the proposals for the present targets.
	proposed []Change
	cfg      Config
}

// newGroup returns the group of the service's endpoints in the region, without members.
func newGroup(inv *inventory.Inventory, s inventory.Service, region string, cfg Config) *group {
	units := unitsOf(inv, s, region)
	return &group{
		region:   region,
		service:  s,
		units:    units,
		holdings: map[string]holding{},
		copies:   make([]int, len(units)),
		serving:  make([]int, len(units)),
		kinds:    map[kindKey]int{},
		domains:  map[string]int{},
		supplied: make([]float64, len(units)),
		cfg:      cfg,
	}
}

// holding returns what a name that an endpoint holds stands for.
func (g *group) holding(held string) holding {
	if h, ok := g.holdings[held]; ok {
		return h
	}
	n := inventory.ParseName(held)
	h := holding{held: held, unit: indexOf(g.units, n.Served()), adapter: n.Adapter != ""}
	g.holdings[held] = h
	return h
}

// held returns the holdings of a list of names.
func (g *group) held(names []string) []holding {
	holdings := make([]holding, len(names))
	for i, name := range names {
		holdings[i] = g.holding(name)
	}
	return holdings
}

// arrange sorts and counts the members after a change: those with the fewest names first, and then in the order of their names.
func (g *group) arrange() {
	slices.SortFunc(g.members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(len(a.target), len(b.target)), cmp.Compare(a.Name, b.Name))
	})
	clear(g.copies)
	clear(g.serving)
	for _, m := range g.members {
		g.count(m)
	}
	g.tried = slices.Grow(g.tried[:0], len(g.kinds))[:len(g.kinds)]
	g.holdsUnit = slices.Grow(g.holdsUnit[:0], len(g.domains))[:len(g.domains)]
}

// number returns the number of a key, the next one if it has none.
func number[K comparable](numbers map[K]int, k K) int {
	n, ok := numbers[k]
	if !ok {
		n = len(numbers)
		numbers[k] = n
	}
	return n
}

// count adds a member to the counts and numbers its kind and failure domain.
func (g *group) count(m *member) {
	m.kind = number(g.kinds, m.kindKey())
	m.domain = number(g.domains, m.FailureDomain)
	if m.Leaving {
		return
	}
	for i, h := range m.target {
		if h.unit == notOffered || hasUnit(m.target[:i], h.unit) {
			continue
		}
		g.copies[h.unit]++
		if m.serves(h.unit, g.units) {
			g.serving[h.unit]++
		}
	}
}

// supply returns the tokens a second that the endpoints give to each unit, with the least flexible endpoints first; the
// result is valid until the next call.
func (g *group) supply() []float64 {
	clear(g.supplied)
	for _, m := range g.members {
		if !m.Leaving {
			g.share(m)
		}
	}
	return g.supplied
}

// share divides the endpoint among what it holds by the unmet need, or evenly if all needs are met.
func (g *group) share(m *member) {
	if len(m.target) == 1 {
		if u := m.target[0].unit; u != notOffered {
			g.supplied[u] += m.TokensPerSecond
		}
		return
	}
	var unmet float64
	for _, h := range m.target {
		unmet += g.unmet(h.unit)
	}
	for _, h := range m.target {
		if h.unit == notOffered {
			continue
		}
		part := 1 / float64(len(m.target))
		if unmet > 0 {
			part = g.unmet(h.unit) / unmet
		}
		g.supplied[h.unit] += part * m.TokensPerSecond
	}
}

func (g *group) unmet(u int) float64 {
	if u == notOffered {
		return 0
	}
	return max(g.units[u].need-g.supplied[u], 0)
}

// met returns the demand that the endpoints can meet, in tokens a second.
func (g *group) met() float64 {
	var met float64
	for u, supply := range g.supply() {
		met += min(supply, g.units[u].need)
	}
	return met
}

// minimum is the least number of endpoints that must go on to hold a unit when one gives it up.
func (g *group) minimum() int { return max(g.service.MinEndpointsPerModel, 1) }

// spares reports whether others serve enough copies of each holding for the endpoint to give all of them up now.
func (g *group) spares(m *member, holdings []holding) bool {
	for _, h := range holdings {
		if h.unit == notOffered {
			continue
		}
		others := g.serving[h.unit]
		if m.serves(h.unit, g.units) {
			others--
		}
		if others < g.minimum() {
			return false
		}
	}
	return true
}

// stale reports whether a holding is another version than the one in force; an endpoint that names no version is taken to
// hold the right one, since an order would not change what it announces.
func (g *group) stale(h holding) bool {
	if h.unit == notOffered || !g.units[h.unit].versioned {
		return false
	}
	return h.held != g.units[h.unit].held && h.held != g.units[h.unit].name
}
