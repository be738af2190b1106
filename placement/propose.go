package placement

import (
	"slices"
	"time"
)

// option is a change of a member that may be proposed.
type option struct {
	member *member
	load   []holding
	unload []holding
	gain   float64
}

// search holds the best option that was offered.
type search struct {
	best option
	// spread says that the best one is in a failure domain without the unit.
	spread bool
}

// full reports whether an option of the member can be no better, as the best one gains all that the member generates.
func (s *search) full(m *member, apart bool) bool {
	return s.best.member != nil && s.best.gain >= m.TokensPerSecond && (s.spread || !apart)
}

// offer takes an option if it is better; equal gains go to a failure domain without the unit.
func (s *search) offer(o option, apart bool) {
	if s.best.member == nil || o.gain > s.best.gain || (o.gain == s.best.gain && apart && !s.spread) {
		s.best, s.spread = o, apart
	}
}

// proposals returns the best change for each reason that applies.
func (g *group) proposals() []Change {
	changes := g.proposed[:0]
	for _, propose := range []func() (Change, bool){g.evict, g.fill, g.renew, g.grow} {
		if c, ok := propose(); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// evict proposes to unload names that may not be where they are.
func (g *group) evict() (Change, bool) {
	for _, m := range g.members {
		if m.changing || m.Leaving {
			continue
		}
		var unload []holding
		for _, h := range m.target {
			if h.unit == notOffered {
				unload = append(unload, h)
			}
		}
		if len(unload) > 0 {
			return g.change(option{member: m, unload: unload}, notOffered, NotAllowed), true
		}
	}
	return Change{}, false
}

// fill proposes to load a unit that too few endpoints hold.
func (g *group) fill() (Change, bool) {
	for u := range g.units {
		if g.copies[u] >= g.service.MinEndpointsPerModel {
			continue
		}
		if c, ok := g.best(u, BelowMinimum); ok {
			return c, true
		}
	}
	return Change{}, false
}

// renew proposes to load the version in force: in place of another one that others serve in the meantime, or else on one
// more endpoint, so that the first can be spared.
func (g *group) renew() (Change, bool) {
	for _, m := range g.members {
		if !m.free || m.Leaving {
			continue
		}
		for _, h := range m.target {
			if g.stale(h) && g.spares(m, m.with(h.unit, g.units)) {
				return g.replace(m, h)
			}
		}
	}
	for _, m := range g.members {
		for _, h := range m.target {
			if !g.stale(h) || m.Leaving {
				continue
			}
			if c, ok := g.relieve(m, h.unit); ok {
				return c, true
			}
		}
	}
	return Change{}, false
}

// replace proposes to load the version in force in place of the holding; adapters of the model are loaded again.
func (g *group) replace(m *member, h holding) (Change, bool) {
	o := option{member: m, load: []holding{g.holding(g.units[h.unit].held)}, unload: []holding{h}}
	if g.storeBusy && g.loadSeconds(m, o) > 0 {
		return Change{}, false
	}
	return g.change(o, h.unit, OldVersion), true
}

// relieve proposes one more copy of what the endpoint cannot give up for a while as too few others hold it; adapters go
// first, since their model is loaded with them.
func (g *group) relieve(m *member, model int) (Change, bool) {
	for _, h := range slices.Backward(m.with(model, g.units)) {
		if g.copies[h.unit] > g.minimum() {
			continue
		}
		if c, ok := g.best(h.unit, OldVersion); ok {
			return c, true
		}
	}
	return Change{}, false
}

// grow proposes the load that meets the most unmet demand and pays for its load time.
func (g *group) grow() (Change, bool) {
	var best Change
	supply := slices.Clone(g.supply())
	for u := range g.units {
		if g.units[u].need <= supply[u] {
			continue
		}
		if c, ok := g.best(u, Short); ok && c.Gain > best.Gain {
			best = c
		}
	}
	return best, best.Gain > 0
}

// best returns the change that loads the unit with the greatest gain; equal gains go to a failure domain without it. A gain
// of all that an endpoint generates is not looked beyond.
func (g *group) best(u int, reason Reason) (Change, bool) {
	before := g.met()
	g.markDomains(u)
	var found search
	for _, m := range g.candidates(u) {
		for _, o := range g.options(m, u) {
			seconds := g.loadSeconds(m, o)
			apart := !g.holdsUnit[m.domain]
			if g.storeBusy && seconds > 0 || found.full(m, apart) {
				continue
			}
			o.gain = g.gain(o) - before
			if reason != Short || o.gain >= g.least(m, seconds) {
				found.offer(o, apart)
			}
		}
	}
	if found.best.member == nil {
		return Change{}, false
	}
	return g.change(found.best, u, reason), true
}

// candidates returns the members that may load the unit, one of each kind that are alike.
func (g *group) candidates(u int) []*member {
	var candidates []*member
	clear(g.tried)
	for _, m := range g.members {
		if m.free && !m.Leaving && !g.tried[m.kind] && !hasUnit(m.target, u) {
			g.tried[m.kind] = true
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// options returns the ways in which the endpoint may load the unit, an adapter together with its model: giving up nothing
// if there is room, else one model that others spare.
func (g *group) options(m *member, u int) []option {
	load := []holding{g.holding(g.units[u].held)}
	model := g.units[u].model
	if model != noModel && hasUnit(m.target, model) {
		return []option{{member: m, load: load}}
	}
	if model != noModel {
		load = []holding{g.holding(g.units[model].held), load[0]}
	}
	if m.models() < m.Capacity {
		return []option{{member: m, load: load}}
	}
	var options []option
	for _, h := range m.target {
		if h.unit == notOffered || h.adapter {
			continue
		}
		if unload := m.with(h.unit, g.units); g.spares(m, unload) {
			options = append(options, option{member: m, load: load, unload: unload})
		}
	}
	return options
}

// gain returns the demand met if the endpoint is changed.
func (g *group) gain(o option) float64 {
	before := o.member.target
	o.member.target = changed(before, o.load, o.unload)
	met := g.met()
	o.member.target = before
	return met
}

// least returns the smallest gain that pays for a load of that time.
func (g *group) least(m *member, seconds float64) float64 {
	return max(g.cfg.MinGain, seconds/g.cfg.Horizon.Seconds()) * m.TokensPerSecond
}

// markDomains marks the failure domains in which an endpoint is to hold the unit.
func (g *group) markDomains(u int) {
	clear(g.holdsUnit)
	for _, m := range g.members {
		if hasUnit(m.target, u) {
			g.holdsUnit[m.domain] = true
		}
	}
}

// loadSeconds returns the time that the weight store takes to serve the change: its loads and the adapters that stay on
// a model which is loaded again.
func (g *group) loadSeconds(m *member, o option) float64 {
	var seconds float64
	for _, h := range o.load {
		if slices.Contains(m.target, h) {
			continue
		}
		seconds += g.units[h.unit].loadSeconds
		for _, kept := range m.target {
			if kept.adapter && kept.unit != notOffered && g.units[kept.unit].model == h.unit && !slices.Contains(o.unload, kept) {
				seconds += g.units[kept.unit].loadSeconds
			}
		}
	}
	return seconds
}

// change returns the option as a change for the sake of the unit.
func (g *group) change(o option, u int, reason Reason) Change {
	c := Change{
		Endpoint: o.member.Name,
		Region:   g.region,
		Service:  g.service.Name,
		Models:   heldNames(changed(o.member.target, o.load, o.unload)),
		Unload:   heldNames(o.unload),
		Reason:   reason,
		Gain:     o.gain,
		LoadTime: time.Duration(g.loadSeconds(o.member, o) * float64(time.Second)),
	}
	if u != notOffered {
		c.Load = g.units[u].held
		c.Need = g.units[u].need
		c.Supply = g.supply()[u]
		c.Copies = g.copies[u]
	}
	return c
}
