package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fairness"
	"arbutusreel/fleet"
)

// explanation is a decision that was not recorded, and what it was made of.
type explanation struct {
	decision decision
	// candidates are the endpoints of this region that may get the request, and costs theirs.
	candidates []capacity.Candidate
	costs      []capacity.Cost
	excluded   map[string]exclusion
	regions    []regionExplanation
	// standing is that of the caller's team before the request.
	standing fairness.Standing
}

// regionExplanation is what the decision knows of another region.
type regionExplanation struct {
	name     string
	gateways int
	reported bool
	capacity capacity.RegionCapacity
	choice   capacity.RegionChoice
	// reason is why the region was not chosen; empty if it was.
	reason regionReason
}

// regionReason is why a request does not go to another region.
type regionReason string

// Reasons why a region is not chosen.
const (
	regionChosen      regionReason = ""
	regionForwarded   regionReason = "forwarded"
	regionHomes       regionReason = "homes"
	regionVersion     regionReason = "version"
	regionTried       regionReason = "tried"
	regionBreakerOpen regionReason = "breakerOpen"
	regionNoGateway   regionReason = "noGateway"
	regionUnreported  regionReason = "notReported"
	regionStale       regionReason = "stale"
	regionNoEndpoint  regionReason = "noEndpoint"
	regionFull        regionReason = "full"
	regionLate        regionReason = "late"
	regionNotCheaper  regionReason = "notCheaper"
	regionOther       regionReason = "anotherChosen"
)

// explain returns the decision that decide would return, and what it was made of, and changes nothing. A copy of the placer decides;
// its random draws are its own.
func (p *placer) explain(now time.Time, v *view, q query) explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, home := p.fork(now, explainSource(now)), p.fork(now, explainSource(now))
	var x explanation
	if r, ok := fairRequest(q); ok {
		x.standing = home.fairness.Of(q.service.Name).Standing(now, r.Team)
	}
	x.decision = f.decide(now, v, q)
	q.work.Rank = capacity.Rank(q.priority(), false)
	x.candidates = f.candidates
	x.costs = capacity.Costs(f.candidates, q.work, p.currentSpeed(now, v, q.service.Name), fetchTimePerToken(q.service), q.route.Objective)
	x.excluded = f.exclusions(now, v, q, x.decision.handed)
	// The other regions are compared with what this one would do if the request had to stay here.
	stays := q
	stays.forwarded = true
	x.regions = home.explainRegions(now, v, q, home.decide(now, v, stays), x.decision)
	return x
}

// explainSource returns the source of the draws of a copy.
func explainSource(now time.Time) rand.Source { return rand.NewPCG(uint64(now.UnixNano()), 0) }

// exclusions returns what keeps endpoints of the service in this region from being candidates, by ID.
func (p *placer) exclusions(now time.Time, v *view, q query, byOther bool) map[string]exclusion {
	all, sharers := map[string]exclusion{}, p.sharersOf(now, v)
	for i := range v.endpoints[q.service.Name] {
		e := &v.endpoints[q.service.Name][i]
		if slices.ContainsFunc(p.candidates, func(c capacity.Candidate) bool { return c.ID == e.ID }) {
			continue
		}
		all[e.ID] = excludedHomes
		if q.allows(p.cfg.Region) {
			all[e.ID] = p.exclusionOf(now, &q, e, p.state(e), p.peers.sum(e.ID), byOther, sharers, &withheld{})
		}
	}
	for _, e := range v.unready {
		switch {
		case e.Service != q.service.Name:
		case slices.Contains(v.evacuated, e.FailureDomain):
			all[e.ID] = excludedEvacuated
		default:
			all[e.ID] = excludedLeaving
		}
	}
	return all
}

// explainRegions returns what the decision knows of the other regions; here is the decision about a request that must stay in this one.
func (p *placer) explainRegions(now time.Time, v *view, q query, here, chosen decision) []regionExplanation {
	names := map[string]bool{}
	for _, name := range p.cfg.Regions {
		names[name] = true
	}
	for name := range v.capacities {
		names[name] = true
	}
	delete(names, p.cfg.Region)
	available := p.availableGateways(now, v, q)
	var all []regionExplanation
	for _, name := range slices.Sorted(maps.Keys(names)) {
		r := regionExplanation{name: name, gateways: len(available[name])}
		if reported, ok := v.capacities[name].services[q.service.Name]; ok {
			r.reported, r.capacity = true, reported
			r.capacity.Age = now.Sub(v.capacities[name].reportedAt)
		}
		if r.reason = p.unavailable(now, v, q, name, available); r.reason == regionChosen {
			r.reason = p.weighRegion(now, v, q, &r, available, here)
		}
		if chosen.region == name {
			r.reason = regionChosen
		}
		all = append(all, r)
	}
	return all
}

// unavailable returns why a request cannot be forwarded to a region; empty if it can.
func (p *placer) unavailable(now time.Time, v *view, q query, region string, available map[string][]fleet.Gateway) regionReason {
	switch {
	case q.forwarded:
		return regionForwarded
	case !q.allows(region):
		return regionHomes
	case !q.mayServeIn(v, region):
		return regionVersion
	case q.tried[region]:
		return regionTried
	case !p.regionBreakers.Allows(now, region):
		return regionBreakerOpen
	case len(available[region]) == 0:
		return regionNoGateway
	default:
		return regionChosen
	}
}

// weighRegion returns why a request is not forwarded to a region that is available, and adds what the region would take.
func (p *placer) weighRegion(now time.Time, v *view, q query, r *regionExplanation, available map[string][]fleet.Gateway, here decision) regionReason {
	if !r.reported {
		return regionUnreported
	}
	reported := p.offeredCapacities(now, v, q, map[string][]fleet.Gateway{r.name: available[r.name]}, here)
	var ok bool
	// Any cost at home exceeds that of a region with room.
	r.choice, ok = capacity.ChooseRegion(reported, q.work, p.currentSpeed(now, v, q.service.Name), here.choice, p.cfg.RegionRoundTrip, 2*noEndpointTime)
	verdict := capacity.Admit(r.choice.Expected, r.choice.Late, q.budget)
	switch {
	case !reported[0].Fresh():
		return regionStale
	case reported[0].Endpoints == 0:
		return regionNoEndpoint
	case !ok:
		return regionFull
	case verdict == capacity.Refuse:
		return regionLate
	case r.choice.Cost >= here.cost || !shouldCrossRegion(here, r.choice.Cost, verdict):
		return regionNotCheaper
	default:
		return regionOther
	}
}
