package placement

import (
	"slices"
	"time"
)

// option is a candidate change of a member; gain is the additional demand met, in tokens a second.
type option struct {
	member *member
	load   []holding
	unload []holding
	gain   float64
}

// optionSearch holds the best option so far.
type optionSearch struct {
	best option
	// inNewDomain is set if the best option is in a failure domain without the unit.
	inNewDomain bool
}

// cannotImprove reports whether no option of the member can be better, since the best one already gains at least the
// whole token rate of the member and would not lose the tie on failure domains.
func (s *optionSearch) cannotImprove(m *member, newDomain bool) bool {
	return s.best.member != nil && s.best.gain >= m.TokensPerSecond && (s.inNewDomain || !newDomain)
}

// consider keeps an option if it is better than the best so far; a failure domain without the unit breaks ties.
func (s *optionSearch) consider(o option, newDomain bool) {
	if s.best.member == nil || o.gain > s.best.gain || (o.gain == s.best.gain && newDomain && !s.inNewDomain) {
		s.best, s.inNewDomain = o, newDomain
	}
}

// proposals returns the best change for each applicable reason.
func (g *group) proposals() []Change {
	changes := g.proposed[:0]
	for _, propose := range []func() (Change, bool){g.proposeRemoval, g.proposeMinimum, g.proposeUpgrade, g.proposeGrowth} {
		if c, ok := propose(); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// proposeRemoval proposes to unload names that are not allowed where they are held.
func (g *group) proposeRemoval() (Change, bool) {
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
			return g.newChange(option{member: m, unload: unload}, notOffered, NotAllowed), true
		}
	}
	return Change{}, false
}

// proposeMinimum proposes to load a unit that fewer endpoints hold than the minimum.
func (g *group) proposeMinimum() (Change, bool) {
	for u := range g.units {
		if g.copies[u] >= g.service.MinEndpointsPerModel {
			continue
		}
		if c, ok := g.bestChange(u, BelowMinimum); ok {
			return c, true
		}
	}
	return Change{}, false
}

// proposeUpgrade proposes to load the version in force: in place of an outdated one that enough other endpoints serve
// meanwhile, else on one more endpoint, so that the outdated one can be unloaded later.
func (g *group) proposeUpgrade() (Change, bool) {
	for _, m := range g.members {
		if !m.changeable || m.Leaving {
			continue
		}
		for _, h := range m.target {
			if g.outdated(h) && g.canUnload(m, m.withAdapters(h.unit, g.units)) {
				return g.replaceVersion(m, h)
			}
		}
	}
	for _, m := range g.members {
		for _, h := range m.target {
			if !g.outdated(h) || m.Leaving {
				continue
			}
			if c, ok := g.proposeExtraCopy(m, h.unit); ok {
				return c, true
			}
		}
	}
	return Change{}, false
}

// replaceVersion proposes to load the version in force in place of the holding; its adapters are loaded again.
func (g *group) replaceVersion(m *member, h holding) (Change, bool) {
	o := option{member: m, load: []holding{g.holding(g.units[h.unit].versionedName)}, unload: []holding{h}}
	if g.storeBusy && g.loadSeconds(m, o) > 0 {
		return Change{}, false
	}
	return g.newChange(o, h.unit, OldVersion), true
}

// proposeExtraCopy proposes one more copy of a unit that the endpoint cannot unload because too few others hold it.
// Adapters go first, since their model is loaded with them.
func (g *group) proposeExtraCopy(m *member, model int) (Change, bool) {
	for _, h := range slices.Backward(m.withAdapters(model, g.units)) {
		if g.copies[h.unit] > g.minCopies() {
			continue
		}
		if c, ok := g.bestChange(h.unit, OldVersion); ok {
			return c, true
		}
	}
	return Change{}, false
}

// proposeGrowth proposes the load that meets the most unmet demand and whose gain outweighs its load time.
func (g *group) proposeGrowth() (Change, bool) {
	var best Change
	supply := slices.Clone(g.supply())
	for u := range g.units {
		if g.units[u].need <= supply[u] {
			continue
		}
		if c, ok := g.bestChange(u, DemandAboveSupply); ok && c.Gain > best.Gain {
			best = c
		}
	}
	return best, best.Gain > 0
}

// bestChange returns the change that loads the unit with the greatest gain; a failure domain without the unit breaks
// ties. Options that cannot improve on the best one so far are skipped.
func (g *group) bestChange(u int, reason Reason) (Change, bool) {
	before := g.metDemand()
	g.markDomains(u)
	var found optionSearch
	for _, m := range g.candidates(u) {
		for _, o := range g.options(m, u) {
			seconds := g.loadSeconds(m, o)
			newDomain := !g.holdsUnit[m.domain]
			if g.storeBusy && seconds > 0 || found.cannotImprove(m, newDomain) {
				continue
			}
			o.gain = g.metDemandWith(o) - before
			if reason != DemandAboveSupply || o.gain >= g.minGain(m, seconds) {
				found.consider(o, newDomain)
			}
		}
	}
	if found.best.member == nil {
		return Change{}, false
	}
	return g.newChange(found.best, u, reason), true
}

// candidates returns the members that may load the unit, one of each kind.
func (g *group) candidates(u int) []*member {
	var candidates []*member
	clear(g.tried)
	for _, m := range g.members {
		if m.changeable && !m.Leaving && !g.tried[m.kind] && !hasUnit(m.target, u) {
			g.tried[m.kind] = true
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// options returns the ways in which the endpoint may load the unit, an adapter together with its model: without
// unloading if there is capacity, else in place of one model that enough others serve.
func (g *group) options(m *member, u int) []option {
	load := []holding{g.holding(g.units[u].versionedName)}
	model := g.units[u].model
	if model != noModel && hasUnit(m.target, model) {
		return []option{{member: m, load: load}}
	}
	if model != noModel {
		load = []holding{g.holding(g.units[model].versionedName), load[0]}
	}
	if m.modelCount() < m.Capacity {
		return []option{{member: m, load: load}}
	}
	var options []option
	for _, h := range m.target {
		if h.unit == notOffered || h.adapter {
			continue
		}
		if unload := m.withAdapters(h.unit, g.units); g.canUnload(m, unload) {
			options = append(options, option{member: m, load: load, unload: unload})
		}
	}
	return options
}

// metDemandWith returns the demand met after the option, in tokens a second.
func (g *group) metDemandWith(o option) float64 {
	before := o.member.target
	o.member.target = applyChange(before, o.load, o.unload)
	met := g.metDemand()
	o.member.target = before
	return met
}

// minGain returns the smallest gain that outweighs a load that takes the given seconds, in tokens a second.
func (g *group) minGain(m *member, seconds float64) float64 {
	return max(g.cfg.MinGain, seconds/g.cfg.Horizon.Seconds()) * m.TokensPerSecond
}

// markDomains marks the failure domains in which the target of an endpoint holds the unit.
func (g *group) markDomains(u int) {
	clear(g.holdsUnit)
	for _, m := range g.members {
		if hasUnit(m.target, u) {
			g.holdsUnit[m.domain] = true
		}
	}
}

// loadSeconds returns the time in seconds that the weight store takes to serve the option: its loads, and the adapters
// that are kept on a model which is loaded again.
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

// newChange returns the change that carries out the option for the unit.
func (g *group) newChange(o option, u int, reason Reason) Change {
	c := Change{
		Endpoint: o.member.Name,
		Region:   g.region,
		Service:  g.service.Name,
		Models:   holdingNames(applyChange(o.member.target, o.load, o.unload)),
		Unload:   holdingNames(o.unload),
		Reason:   reason,
		Gain:     o.gain,
		LoadTime: time.Duration(g.loadSeconds(o.member, o) * float64(time.Second)),
	}
	if u != notOffered {
		c.Load = g.units[u].versionedName
		c.Need = g.units[u].need
		c.Supply = g.supply()[u]
		c.Copies = g.copies[u]
	}
	return c
}
