package placement

import (
	"cmp"
	"slices"

	"arbutusreel/inventory"
)

// group holds the endpoints of one service in one region.
type group struct {
	region  string
	service inventory.Service
	// units are the models and adapters that the service may offer in the region.
	units   []unit
	members []*member
	// holdings caches the holding of each name.
	holdings map[string]holding
	// copies counts the endpoints that hold each unit after all pending changes.
	copies []int
	// serving counts the endpoints that serve each unit now and keep it after all pending changes.
	serving []int
	// kinds numbers the classes of members that are interchangeable for a change.
	kinds map[kindKey]int
	// tried marks the kinds that the present call of candidates has seen.
	tried []bool
	// domains numbers the failure domains, and holdsUnit marks those that hold the unit being proposed.
	domains   map[string]int
	holdsUnit []bool
	// supplied is the buffer for the result of supply.
	supplied []float64
	// storeBusy is set while the region's weight store serves another load.
	storeBusy bool
	// proposed are the proposals for the current targets.
	proposed []Change
	cfg      Config
}

// newGroup returns a group of the service and region without members.
func newGroup(inv *inventory.Inventory, s inventory.Service, region string, cfg Config) *group {
	units := offeredUnits(inv, s, region)
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

// holding returns the holding of a name as endpoints announce it.
func (g *group) holding(name string) holding {
	if h, ok := g.holdings[name]; ok {
		return h
	}
	n := inventory.ParseName(name)
	h := holding{name: name, unit: indexOf(g.units, n.WithoutVersion()), adapter: n.Adapter != ""}
	g.holdings[name] = h
	return h
}

// holdingsOf returns the holdings of a list of names.
func (g *group) holdingsOf(names []string) []holding {
	holdings := make([]holding, len(names))
	for i, name := range names {
		holdings[i] = g.holding(name)
	}
	return holdings
}

// recount sorts the members by the number of names in their target and then by name, and updates all counts; it is to
// be called after each change.
func (g *group) recount() {
	slices.SortFunc(g.members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(len(a.target), len(b.target)), cmp.Compare(a.Name, b.Name))
	})
	clear(g.copies)
	clear(g.serving)
	for _, m := range g.members {
		g.countMember(m)
	}
	g.tried = slices.Grow(g.tried[:0], len(g.kinds))[:len(g.kinds)]
	g.holdsUnit = slices.Grow(g.holdsUnit[:0], len(g.domains))[:len(g.domains)]
}

// assignNumber returns the number of a key and assigns the next one to a new key.
func assignNumber[K comparable](numbers map[K]int, k K) int {
	n, ok := numbers[k]
	if !ok {
		n = len(numbers)
		numbers[k] = n
	}
	return n
}

// countMember adds a member to the counts and sets the numbers of its kind and failure domain.
func (g *group) countMember(m *member) {
	m.kind = assignNumber(g.kinds, m.kindKey())
	m.domain = assignNumber(g.domains, m.FailureDomain)
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

// supply returns the tokens a second that the endpoints provide for each unit. Endpoints are allocated in the order
// of the members, those that hold the fewest names first, as they are the least flexible. The result is valid until the
// next call.
func (g *group) supply() []float64 {
	clear(g.supplied)
	for _, m := range g.members {
		if !m.Leaving {
			g.allocate(m)
		}
	}
	return g.supplied
}

// allocate divides the capacity of the endpoint among its holdings in proportion to their unmet need, or evenly if all
// needs are met.
func (g *group) allocate(m *member) {
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
		share := 1 / float64(len(m.target))
		if unmet > 0 {
			share = g.unmet(h.unit) / unmet
		}
		g.supplied[h.unit] += share * m.TokensPerSecond
	}
}

func (g *group) unmet(u int) float64 {
	if u == notOffered {
		return 0
	}
	return max(g.units[u].need-g.supplied[u], 0)
}

// metDemand returns the part of the need that the endpoints can serve, in tokens a second.
func (g *group) metDemand() float64 {
	var met float64
	for u, supply := range g.supply() {
		met += min(supply, g.units[u].need)
	}
	return met
}

// minCopies returns the least number of other endpoints that must serve a unit before one may unload it.
func (g *group) minCopies() int { return max(g.service.MinEndpointsPerModel, 1) }

// canUnload reports whether enough other endpoints serve each holding for the endpoint to unload all of them now.
func (g *group) canUnload(m *member, holdings []holding) bool {
	for _, h := range holdings {
		if h.unit == notOffered {
			continue
		}
		others := g.serving[h.unit]
		if m.serves(h.unit, g.units) {
			others--
		}
		if others < g.minCopies() {
			return false
		}
	}
	return true
}

// outdated reports whether a holding is another version than the one in force. An endpoint that announces no version
// counts as up to date, since an order would not change what it announces.
func (g *group) outdated(h holding) bool {
	if h.unit == notOffered || !g.units[h.unit].versioned {
		return false
	}
	return h.name != g.units[h.unit].versionedName && h.name != g.units[h.unit].name
}
