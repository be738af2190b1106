package placement

import (
	"slices"
	"time"

	"arbutusreel/fencing"
	"arbutusreel/inventory"
)

// pendingChange is an ordered change that its endpoint has not announced yet.
type pendingChange struct {
	// models are the names that the endpoint is to announce.
	models  []string
	expires time.Time
}

// Planner decides changes and tracks them until they are announced; it is not safe for concurrent use.
type Planner struct {
	cfg     Config
	pending map[string]pendingChange
	// cooldownUntil is the end of the cooldown of an endpoint.
	cooldownUntil map[string]time.Time
	// storeFreeAt is the time from which a region's weight store can serve a new load.
	storeFreeAt map[string]time.Time
	// seenLoads holds the order number of each announced load in progress, by endpoint.
	seenLoads map[string]fencing.Number
	// adopted are the endpoints whose loads, ordered by an earlier leader, the last decision recorded as pending.
	adopted []Endpoint
	// needSince is the time since which a need has been present without interruption.
	needSince map[modelKey]time.Time
}

// New returns a planner without pending changes.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:           cfg,
		pending:       map[string]pendingChange{},
		cooldownUntil: map[string]time.Time{},
		storeFreeAt:   map[string]time.Time{},
		seenLoads:     map[string]fencing.Number{},
		needSince:     map[modelKey]time.Time{},
	}
}

// Pending returns the number of ordered changes that are not announced yet.
func (p *Planner) Pending() int { return len(p.pending) }

// AdoptedLoads returns the endpoints whose loads the last decision adopted as ordered by an earlier leader.
func (p *Planner) AdoptedLoads() []Endpoint { return p.adopted }

// Failed drops a change that its endpoint refused or did not receive, and starts the cooldown of the endpoint.
func (p *Planner) Failed(now time.Time, endpoint string) {
	delete(p.pending, endpoint)
	p.cooldownUntil[endpoint] = now.Add(p.cfg.Cooldown)
}

// Decide returns the changes to order now, the most urgent first, and records them as pending.
func (p *Planner) Decide(now time.Time, v View) []Change {
	p.resolvePending(now, v.Endpoints)
	p.adoptLoads(now, v)
	groups := p.buildGroups(now, v)
	seen := map[modelKey]bool{}
	var changes []Change
	for len(p.pending) < v.Inventory.Rules().MaxPlacementChanges {
		c, g, ok := p.chooseChange(now, groups, seen)
		if !ok {
			break
		}
		p.recordOrder(now, c, g)
		p.refreshProposals(now, groups, c.Region)
		changes = append(changes, c)
	}
	for s := range p.needSince {
		if !seen[s] {
			delete(p.needSince, s)
		}
	}
	return changes
}

// resolvePending ends the pending changes that were announced or have expired, and drops cooldowns that are over.
func (p *Planner) resolvePending(now time.Time, endpoints []Endpoint) {
	for _, e := range endpoints {
		if c, ok := p.pending[e.Name]; ok && matchesOrder(e.Models, c.models) {
			delete(p.pending, e.Name)
			p.cooldownUntil[e.Name] = now.Add(p.cfg.Cooldown)
		}
	}
	for name, c := range p.pending {
		if !now.Before(c.expires) {
			p.Failed(now, name)
		}
	}
	for name, until := range p.cooldownUntil {
		if !now.Before(until) {
			delete(p.cooldownUntil, name)
		}
	}
}

// adoptLoads records as pending each announced load that this planner did not order: an earlier leader ordered it. As
// the start of the load is unknown, the weight store counts as busy for the whole load time from now on. Each order is
// adopted only once, so that an endpoint that never finishes its load is blocked no longer than by an order of this
// planner.
func (p *Planner) adoptLoads(now time.Time, v View) {
	previous := p.seenLoads
	p.seenLoads = map[string]fencing.Number{}
	p.adopted = nil
	for _, e := range v.Endpoints {
		if len(e.Loading) == 0 {
			continue
		}
		known, ok := previous[e.Name]
		p.seenLoads[e.Name] = e.Order
		if _, ordered := p.pending[e.Name]; ordered || ok && known == e.Order {
			continue
		}
		var seconds float64
		for _, name := range e.Loading {
			seconds += loadSeconds(v.Inventory, name)
		}
		load := time.Duration(seconds * float64(time.Second))
		p.addPending(now, e.Name, e.Region, slices.Concat(e.Models, e.Loading), load)
		p.adopted = append(p.adopted, e)
	}
}

// buildGroups returns the group of each model service and region, with needs, members and proposals.
func (p *Planner) buildGroups(now time.Time, v View) []*group {
	need := needs(v)
	members := map[modelKey][]*Endpoint{}
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		at := modelKey{region: e.Region, service: e.Service}
		members[at] = append(members[at], e)
	}
	var groups []*group
	for _, s := range v.Inventory.Contents().Services {
		if s.Kind != inventory.KindModel {
			continue
		}
		for _, r := range v.Inventory.Contents().Regions {
			g := newGroup(v.Inventory, s, r.Name, p.cfg)
			g.storeBusy = now.Before(p.storeFreeAt[r.Name])
			for u := range g.units {
				g.units[u].need = need[modelKey{region: r.Name, service: s.Name, model: g.units[u].name}]
			}
			p.addMembers(now, g, members[modelKey{region: r.Name, service: s.Name}])
			g.proposed = g.proposals()
			groups = append(groups, g)
		}
	}
	return groups
}

// addMembers adds the endpoints to the group.
func (p *Planner) addMembers(now time.Time, g *group, endpoints []*Endpoint) {
	members := make([]member, len(endpoints))
	for i, e := range endpoints {
		m := &members[i]
		m.Endpoint = e
		m.serving = g.holdingsOf(e.Models)
		m.target = m.serving
		if c, ok := p.pending[e.Name]; ok {
			m.target, m.changing = g.holdingsOf(c.models), true
		}
		m.changeable = !m.changing && !now.Before(p.cooldownUntil[e.Name])
		g.members = append(g.members, m)
	}
	g.recount()
}

// chooseChange returns the most urgent proposal whose need has persisted, and its group. It marks every need in seen.
func (p *Planner) chooseChange(now time.Time, groups []*group, seen map[modelKey]bool) (Change, *group, bool) {
	var best Change
	var at *group
	for _, g := range groups {
		for _, c := range g.proposed {
			if !p.needPersists(now, c, seen) {
				continue
			}
			if at == nil || moreUrgent(c, best) {
				best, at = c, g
			}
		}
	}
	return best, at, at != nil
}

// moreUrgent reports whether a is more urgent than b; within one reason the greater gain is.
func moreUrgent(a, b Change) bool {
	if a.Reason != b.Reason {
		return a.Reason.urgency() < b.Reason.urgency()
	}
	return a.Gain > b.Gain
}

// needPersists reports whether the need for a change has lasted for cfg.Persistence. Names that are not allowed are
// removed without delay.
func (p *Planner) needPersists(now time.Time, c Change, seen map[modelKey]bool) bool {
	if c.Reason == NotAllowed {
		return true
	}
	s := modelKey{region: c.Region, service: c.Service, model: inventory.ParseName(c.Load).WithoutVersion()}
	seen[s] = true
	if _, ok := p.needSince[s]; !ok {
		p.needSince[s] = now
	}
	return now.Sub(p.needSince[s]) >= p.cfg.Persistence
}

// refreshProposals recomputes the proposals in the region of a change, as all services of a region share the weight
// store.
func (p *Planner) refreshProposals(now time.Time, groups []*group, region string) {
	for _, g := range groups {
		if g.region == region {
			g.storeBusy = now.Before(p.storeFreeAt[region])
			g.proposed = g.proposals()
		}
	}
}

// recordOrder records a change as pending, also in its group, and reserves the weight store for the load.
func (p *Planner) recordOrder(now time.Time, c Change, g *group) {
	p.addPending(now, c.Endpoint, c.Region, c.Models, c.LoadTime)
	for _, m := range g.members {
		if m.Name == c.Endpoint {
			m.target, m.changing, m.changeable = g.holdingsOf(c.Models), true, false
		}
	}
	g.recount()
}

// addPending records that the endpoint is to announce the models, and reserves the weight store for the load time.
func (p *Planner) addPending(now time.Time, endpoint, region string, models []string, load time.Duration) {
	p.pending[endpoint] = pendingChange{models: models, expires: now.Add(load + p.cfg.LoadGrace)}
	if free := now.Add(load); load > 0 && free.After(p.storeFreeAt[region]) {
		p.storeFreeAt[region] = free
	}
}

// matchesOrder reports whether the announced models are the ordered ones, in any order; a model may be announced
// without its version.
func matchesOrder(models, ordered []string) bool {
	return len(models) == len(ordered) && !slices.ContainsFunc(ordered, func(name string) bool {
		return !slices.Contains(models, name) && !slices.Contains(models, inventory.ParseName(name).WithoutVersion())
	})
}
