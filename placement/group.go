package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"arbutusreel/inventory"
	"arbutusreel/residency"
)

// member is an endpoint of a group with what it is to hold.
type member struct {
	Endpoint
	// target is what the endpoint holds once its pending change is done.
	target []string
	// free says that the endpoint may be changed now.
	free bool
	// changing says that a change of the endpoint is pending.
	changing bool
}

// holds reports whether the endpoint serves the model and will go on to.
func (m *member) holds(model string) bool {
	return !m.Leaving && slices.Contains(m.Models, model) && slices.Contains(m.target, model)
}

// alike returns a text that is equal for members of a group between which a change makes no difference.
func (m *member) alike() string {
	return fmt.Sprint(m.target, m.FailureDomain, m.Capacity, m.TokensPerSecond)
}

// group is the endpoints of one service in one region.
type group struct {
	region  string
	service inventory.Service
	// models are those of the service that may run in the region.
	models  []string
	members []*member
	need    map[string]float64
	// loadSeconds is the time that loading each model takes.
	loadSeconds map[string]float64
	// storeBusy says that the region's weight store serves another load.
	storeBusy bool
	// proposed are the proposals for the present targets.
	proposed []Change
	cfg      Config
}

// newGroup returns the group of the service's endpoints in the region.
func newGroup(inv *inventory.Inventory, s inventory.Service, region string, cfg Config) *group {
	g := &group{region: region, service: s, need: map[string]float64{}, loadSeconds: map[string]float64{}, cfg: cfg}
	for _, name := range s.Models {
		model, _ := inv.Model(name)
		if residency.Allows(inv, residency.Subject{Service: s.Name, Model: name}, region) {
			g.models = append(g.models, name)
			g.loadSeconds[name] = loadTime(inv, model).Seconds()
		}
	}
	return g
}

// loadTime returns how long the weight store takes to serve a model, or zero if its rate is not limited.
func loadTime(inv *inventory.Inventory, m inventory.Model) time.Duration {
	rate := inv.Rules().WeightStoreBytesPerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(m.WeightBytes) / float64(rate) * float64(time.Second))
}

// sort puts the members with the fewest models first, and then in the order of their names.
func (g *group) sort() {
	slices.SortFunc(g.members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(len(a.target), len(b.target)), cmp.Compare(a.Name, b.Name))
	})
}

// supply returns the tokens a second that the endpoints give to each model, with the least flexible endpoints first.
func (g *group) supply() map[string]float64 {
	supply := map[string]float64{}
	for _, m := range g.members {
		if !m.Leaving {
			g.share(m, supply)
		}
	}
	return supply
}

// share divides the endpoint among its models by their unmet need, or evenly if all needs are met.
func (g *group) share(m *member, supply map[string]float64) {
	var unmet float64
	for _, model := range m.target {
		unmet += max(g.need[model]-supply[model], 0)
	}
	for _, model := range m.target {
		part := 1 / float64(len(m.target))
		if unmet > 0 {
			part = max(g.need[model]-supply[model], 0) / unmet
		}
		supply[model] += part * m.TokensPerSecond
	}
}

// met returns the demand that the endpoints can meet, in tokens a second.
func (g *group) met() float64 {
	supply := g.supply()
	var met float64
	for _, model := range g.models {
		met += min(supply[model], g.need[model])
	}
	return met
}

// copies returns the number of endpoints that hold the model once all changes are done.
func (g *group) copies(model string) int {
	n := 0
	for _, m := range g.members {
		if !m.Leaving && slices.Contains(m.target, model) {
			n++
		}
	}
	return n
}

// minimum is the least number of endpoints that must go on to hold a model when one gives it up.
func (g *group) minimum() int { return max(g.service.MinEndpointsPerModel, 1) }

// spares reports whether others serve enough copies of the model for the endpoint to give it up now.
func (g *group) spares(m *member, model string) bool {
	n := 0
	for _, other := range g.members {
		if other != m && other.holds(model) {
			n++
		}
	}
	return n >= g.minimum()
}

// proposals returns the best change for each reason that applies.
func (g *group) proposals() []Change {
	var changes []Change
	for _, propose := range []func() (Change, bool){g.evict, g.fill, g.grow} {
		if c, ok := propose(); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// evict proposes to unload models that may not be where they are.
func (g *group) evict() (Change, bool) {
	for _, m := range g.members {
		var unload []string
		for _, model := range m.target {
			if !slices.Contains(g.models, model) {
				unload = append(unload, model)
			}
		}
		if len(unload) > 0 && !m.changing && !m.Leaving {
			return g.change(m, "", unload, NotAllowed, 0), true
		}
	}
	return Change{}, false
}

// fill proposes to load a model that too few endpoints hold.
func (g *group) fill() (Change, bool) {
	for _, model := range g.models {
		if g.copies(model) >= g.service.MinEndpointsPerModel {
			continue
		}
		if c, ok := g.best(model, BelowMinimum); ok {
			return c, true
		}
	}
	return Change{}, false
}

// grow proposes the load that meets the most unmet demand and pays for its load time.
func (g *group) grow() (Change, bool) {
	var best Change
	supply := g.supply()
	for _, model := range g.models {
		if g.need[model] <= supply[model] {
			continue
		}
		if c, ok := g.best(model, Short); ok && c.Gain > best.Gain {
			best = c
		}
	}
	return best, best.Gain > 0
}

// best returns the change that loads the model with the greatest gain; equal gains go to a failure domain without it.
func (g *group) best(model string, reason Reason) (Change, bool) {
	if g.storeBusy && g.loadSeconds[model] > 0 {
		return Change{}, false
	}
	before := g.met()
	var best Change
	var spread, found bool
	for _, m := range g.candidates(model) {
		for _, unload := range g.victims(m) {
			c := g.change(m, model, unload, reason, g.gain(m, model, unload)-before)
			if reason == Short && c.Gain < g.least(m, model) {
				continue
			}
			apart := g.apart(m, model)
			if !found || c.Gain > best.Gain || (c.Gain == best.Gain && apart && !spread) {
				best, spread, found = c, apart, true
			}
		}
	}
	return best, found
}

// candidates returns the members that may load the model, one of each kind that are alike.
func (g *group) candidates(model string) []*member {
	var candidates []*member
	tried := map[string]bool{}
	for _, m := range g.members {
		if m.free && !m.Leaving && !slices.Contains(m.target, model) && !tried[m.alike()] {
			tried[m.alike()] = true
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// victims returns what the endpoint may give up for one more model: nothing if it has room, else one model that others spare.
func (g *group) victims(m *member) [][]string {
	if len(m.target) < m.Capacity {
		return [][]string{nil}
	}
	var victims [][]string
	for _, model := range m.target {
		if g.spares(m, model) {
			victims = append(victims, []string{model})
		}
	}
	return victims
}

// gain returns the demand met if the endpoint loads one model and unloads others.
func (g *group) gain(m *member, load string, unload []string) float64 {
	before := m.target
	m.target = changed(before, load, unload)
	defer func() { m.target = before }()
	return g.met()
}

// least returns the smallest gain that pays for the load.
func (g *group) least(m *member, model string) float64 {
	share := max(g.cfg.MinGain, g.loadSeconds[model]/g.cfg.Horizon.Seconds())
	return share * m.TokensPerSecond
}

// apart reports whether no endpoint of the same failure domain holds the model.
func (g *group) apart(m *member, model string) bool {
	return !slices.ContainsFunc(g.members, func(other *member) bool {
		return other.FailureDomain == m.FailureDomain && slices.Contains(other.target, model)
	})
}

func (g *group) change(m *member, load string, unload []string, reason Reason, gain float64) Change {
	return Change{
		Endpoint: m.Name,
		Region:   g.region,
		Service:  g.service.Name,
		Models:   changed(m.target, load, unload),
		Load:     load,
		Unload:   unload,
		Reason:   reason,
		Need:     g.need[load],
		Supply:   g.supply()[load],
		Gain:     gain,
		Copies:   g.copies(load),
	}
}

// changed returns the models without some and with one more.
func changed(models []string, load string, unload []string) []string {
	after := slices.DeleteFunc(slices.Clone(models), func(m string) bool { return slices.Contains(unload, m) })
	if load != "" {
		after = append(after, load)
	}
	return after
}
