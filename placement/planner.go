package placement

import (
	"slices"
	"time"

	"arbutusreel/fencing"
	"arbutusreel/inventory"
)

// pending is a change that its endpoint has not announced yet.
type pending struct {
	// models are what the endpoint is to announce.
	models  []string
	expires time.Time
}

// Planner decides changes and follows them until they are announced; it is not safe for concurrent use.
type Planner struct {
	cfg     Config
	pending map[string]pending
	// rest is the time before which an endpoint is left alone.
	rest map[string]time.Time
	// storeFree is the time from which a region's weight store serves a new load.
	storeFree map[string]time.Time
	// loads holds the order of each load that was seen to be in progress.
	loads map[string]fencing.Number
	// learned are the loads that the last decision adopted.
	learned []Endpoint
	// since is when a need for a model was first seen without a break.
	since map[spot]time.Time
}

// New returns a planner without pending changes.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:       cfg,
		pending:   map[string]pending{},
		rest:      map[string]time.Time{},
		storeFree: map[string]time.Time{},
		loads:     map[string]fencing.Number{},
		since:     map[spot]time.Time{},
	}
}

// Pending returns the number of changes that are not announced yet.
func (p *Planner) Pending() int { return len(p.pending) }

// Learned returns the endpoints whose loads the last decision took for those of an earlier leader.
func (p *Planner) Learned() []Endpoint { return p.learned }

// Failed forgets a change that its endpoint refused or never received, and leaves the endpoint alone for a while.
func (p *Planner) Failed(now time.Time, endpoint string) {
	delete(p.pending, endpoint)
	p.rest[endpoint] = now.Add(p.cfg.Rest)
}

// Decide returns the changes to order now, the most urgent first, which count as pending from then on.
func (p *Planner) Decide(now time.Time, v View) []Change {
	p.settle(now, v.Endpoints)
	p.adopt(now, v)
	groups := p.groups(now, v)
	seen := map[spot]bool{}
	var changes []Change
	for len(p.pending) < v.Inventory.Rules().MaxPlacementChanges {
		c, g, ok := p.choose(now, groups, seen)
		if !ok {
			break
		}
		p.order(now, c, g)
		p.refresh(now, groups, c.Region)
		changes = append(changes, c)
	}
	for s := range p.since {
		if !seen[s] {
			delete(p.since, s)
		}
	}
	return changes
}

// settle ends the pending changes that were announced or have taken too long.
func (p *Planner) settle(now time.Time, endpoints []Endpoint) {
	for _, e := range endpoints {
		if c, ok := p.pending[e.Name]; ok && announced(e.Models, c.models) {
			delete(p.pending, e.Name)
			p.rest[e.Name] = now.Add(p.cfg.Rest)
		}
	}
	for name, c := range p.pending {
		if !now.Before(c.expires) {
			p.Failed(now, name)
		}
	}
	for name, until := range p.rest {
		if !now.Before(until) {
			delete(p.rest, name)
		}
	}
}

// adopt takes a load that an endpoint announces and this planner did not order as a pending change: an earlier leader's. As
// its start is not known, it has the weight store for all of its time from now on. Each order is adopted once, so that an
// endpoint that never ends its load is left alone no longer than after an order of this planner.
func (p *Planner) adopt(now time.Time, v View) {
	before := p.loads
	p.loads = map[string]fencing.Number{}
	p.learned = nil
	for _, e := range v.Endpoints {
		if len(e.Loading) == 0 {
			continue
		}
		known, ok := before[e.Name]
		p.loads[e.Name] = e.Order
		if _, ordered := p.pending[e.Name]; ordered || ok && known == e.Order {
			continue
		}
		var seconds float64
		for _, name := range e.Loading {
			seconds += loadSeconds(v.Inventory, name)
		}
		load := time.Duration(seconds * float64(time.Second))
		p.wait(now, e.Name, e.Region, slices.Concat(e.Models, e.Loading), load)
		p.learned = append(p.learned, e)
	}
}

// groups returns the endpoints of each service in each region with what they need.
func (p *Planner) groups(now time.Time, v View) []*group {
	need := needs(v)
	members := map[spot][]*Endpoint{}
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		at := spot{region: e.Region, service: e.Service}
		members[at] = append(members[at], e)
	}
	var groups []*group
	for _, s := range v.Inventory.Contents().Services {
		if s.Kind != inventory.KindModel {
			continue
		}
		for _, r := range v.Inventory.Contents().Regions {
			g := newGroup(v.Inventory, s, r.Name, p.cfg)
			g.storeBusy = now.Before(p.storeFree[r.Name])
			for u := range g.units {
				g.units[u].need = need[spot{region: r.Name, service: s.Name, model: g.units[u].name}]
			}
			p.join(now, g, members[spot{region: r.Name, service: s.Name}])
			g.proposed = g.proposals()
			groups = append(groups, g)
		}
	}
	return groups
}

// join makes the endpoints members of the group.
func (p *Planner) join(now time.Time, g *group, endpoints []*Endpoint) {
	members := make([]member, len(endpoints))
	for i, e := range endpoints {
		m := &members[i]
		m.Endpoint = e
		m.now = g.held(e.Models)
		m.target = m.now
		if c, ok := p.pending[e.Name]; ok {
			m.target, m.changing = g.held(c.models), true
		}
		m.free = !m.changing && !now.Before(p.rest[e.Name])
		g.members = append(g.members, m)
	}
	g.arrange()
}

// choose returns the most urgent change of all groups whose need has lasted; seen notes every need.
func (p *Planner) choose(now time.Time, groups []*group, seen map[spot]bool) (Change, *group, bool) {
	var best Change
	var at *group
	for _, g := range groups {
		for _, c := range g.proposed {
			if !p.lasted(now, c, seen) {
				continue
			}
			if at == nil || before(c, best) {
				best, at = c, g
			}
		}
	}
	return best, at, at != nil
}

func before(a, b Change) bool {
	if a.Reason != b.Reason {
		return a.Reason.urgency() < b.Reason.urgency()
	}
	return a.Gain > b.Gain
}

// lasted reports whether the need behind a change has lasted long enough; what is not allowed never has to last.
func (p *Planner) lasted(now time.Time, c Change, seen map[spot]bool) bool {
	if c.Reason == NotAllowed {
		return true
	}
	s := spot{region: c.Region, service: c.Service, model: inventory.ParseName(c.Load).Served()}
	seen[s] = true
	if _, ok := p.since[s]; !ok {
		p.since[s] = now
	}
	return now.Sub(p.since[s]) >= p.cfg.Persistence
}

// refresh proposes anew in the region of a change, whose services share the weight store.
func (p *Planner) refresh(now time.Time, groups []*group, region string) {
	for _, g := range groups {
		if g.region == region {
			g.storeBusy = now.Before(p.storeFree[region])
			g.proposed = g.proposals()
		}
	}
}

// order notes a change as pending, in the group as well, and takes the weight store for its load.
func (p *Planner) order(now time.Time, c Change, g *group) {
	p.wait(now, c.Endpoint, c.Region, c.Models, c.LoadTime)
	for _, m := range g.members {
		if m.Name == c.Endpoint {
			m.target, m.changing, m.free = g.held(c.Models), true, false
		}
	}
	g.arrange()
}

// wait notes that the endpoint is to announce the models, and takes the weight store for the load time.
func (p *Planner) wait(now time.Time, endpoint, region string, models []string, load time.Duration) {
	p.pending[endpoint] = pending{models: models, expires: now.Add(load + p.cfg.LoadGrace)}
	if free := now.Add(load); load > 0 && free.After(p.storeFree[region]) {
		p.storeFree[region] = free
	}
}

// announced reports whether the models are those that were ordered, in any order; a model may be announced without its version.
func announced(models, ordered []string) bool {
	return len(models) == len(ordered) && !slices.ContainsFunc(ordered, func(name string) bool {
		return !slices.Contains(models, name) && !slices.Contains(models, inventory.ParseName(name).Served())
	})
}
