package gateway

import (
	"maps"
	"slices"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fairness"
	"arbutusreel/fleet"
	"arbutusreel/retry"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

const (
	// regionSentWindow is how long the tokens sent to a region are counted against its reported capacity.
	regionSentWindow = time.Second
	// minCrossRegionGain is the least gain in cost for which a request leaves its region although it would be on time
	// here. It allows for the reported capacity of the other region being a few hundred milliseconds old. Requests
	// cross before they would be late, because the backlog of an overloaded region slows every stream in it long before
	// the first pieces are late.
	minCrossRegionGain = 60 * time.Millisecond
	// noEndpointTime is the expected time of a request for which a region has no endpoint.
	noEndpointTime = time.Hour
)

// crossRegion returns the decision to forward a request to another region, or false if it stays in this one. It counts
// the tokens of a forwarded request against the reported capacity of the other region.
func (p *placer) crossRegion(now time.Time, v *view, q query, speed capacity.Speed, here decision) (decision, bool) {
	available := p.availableGateways(now, v, q)
	there, ok := capacity.ChooseRegion(p.offeredCapacities(now, v, q, available, here), q.work, speed, here.choice, p.cfg.RegionRoundTrip, here.cost)
	if !ok && here.candidates == 0 {
		there.Region, ok = p.staleRegion(now, v, q, available)
		there.Expected = speed.Base + p.cfg.RegionRoundTrip
		there.Late = there.Expected
	}
	if !ok && here.candidates == 0 && q.mustPlace {
		there.Region, ok = p.anyRegion(available)
	}
	verdict := capacity.Admit(there.Expected, there.Late, q.budget)
	if q.mustPlace && here.candidates == 0 {
		verdict = capacity.Take
	}
	if !ok || !shouldCrossRegion(here, there.Cost, verdict) {
		return decision{}, false
	}
	if here.yields && !fairness.MayLeave(verdict == capacity.Take, there.Expected-p.cfg.RegionRoundTrip-speed.Base, q.budget.RouteObjective) {
		return decision{}, false
	}
	g, _ := fleet.Partner(p.cfg.Name, available[there.Region])
	p.countForward(now, there.Region)
	p.recordShed(now, q, here)
	p.sentToRegion[there.Region] = append(p.sentToRegion[there.Region], sentTokens{at: now, tokens: q.work.PromptTokens + 1})
	return decision{
		verdict: verdict, gateway: g, region: there.Region, expected: there.Expected, cost: there.Cost, probe: p.gatewayBreakers.Begin(now, g.Name),
		regionProbe: p.regionBreakers.Begin(now, there.Region),
	}, true
}

// offeredCapacities returns the capacities of other regions for a request, given the decision in this region.
func (p *placer) offeredCapacities(now time.Time, v *view, q query, available map[string][]fleet.Gateway, here decision) []capacity.RegionCapacity {
	capacities := p.capacitiesOf(now, v, q, available, p.cfg.Pressure && here.verdict != capacity.Take)
	if p.cfg.Pressure || here.choice.Uneven() {
		for i := range capacities {
			// The other gateways of this region see the same report and are assumed to have sent as much since.
			capacities[i].Sent *= int64(p.otherGateways + 1)
		}
	}
	return capacities
}

// shouldCrossRegion reports whether a request is forwarded to another region, given the decision in this region and the
// cost and the verdict in the other one.
func shouldCrossRegion(here decision, cost time.Duration, verdict capacity.Verdict) bool {
	switch here.verdict {
	case capacity.Take:
		return verdict == capacity.Take && cost+minCrossRegionGain <= here.cost
	case capacity.TakeLate:
		return verdict == capacity.Take
	default:
		return verdict != capacity.Refuse
	}
}

// availableGateways returns the gateways of other regions to which a request may be forwarded, by region. A region's
// stopping ones are used only if none of its gateways is ready, tried or not, and no other region that may serve the
// request has a ready one.
func (p *placer) availableGateways(now time.Time, v *view, q query) map[string][]fleet.Gateway {
	available := map[string][]fleet.Gateway{}
	for _, g := range v.gateways {
		if g.Region != p.cfg.Region && !g.Stranded && q.mayServeIn(v, g.Region) && !q.tried[g.Region] && p.regionBreakers.Allows(now, g.Region) {
			available[g.Region] = append(available[g.Region], g)
		}
	}
	anyReady := false
	for region, gateways := range available {
		available[region] = slices.DeleteFunc(fleet.Accepting(gateways), func(g fleet.Gateway) bool {
			return q.tried[g.Name] || !p.gatewayBreakers.Allows(now, g.Name)
		})
		if len(available[region]) == 0 {
			delete(available, region)
			continue
		}
		anyReady = anyReady || available[region][0].Ready && v.mayServe(region, q.service.Name)
	}
	if anyReady {
		maps.DeleteFunc(available, func(_ string, gateways []fleet.Gateway) bool { return !gateways[0].Ready })
	}
	return available
}

// mayServe reports whether a region has endpoints of a service, or has not reported its capacity yet.
func (v *view) mayServe(region, service string) bool {
	reported, known := v.capacities[region]
	return !known || reported.services[service].Endpoints > 0
}

// capacitiesOf returns the reported capacities of regions for a service. If aged is set, stale reports count for less instead of being
// left out.
func (p *placer) capacitiesOf(now time.Time, v *view, q query, available map[string][]fleet.Gateway, aged bool) []capacity.RegionCapacity {
	var capacities []capacity.RegionCapacity
	for region := range available {
		reported := v.capacities[region]
		if rc, ok := reported.services[q.service.Name]; ok {
			rc.Age = now.Sub(reported.reportedAt)
			rc.Sent = p.tokensSentTo(now, region)
			if aged {
				rc, _ = rc.Aged()
			}
			capacities = append(capacities, rc)
		}
	}
	return capacities
}

// staleRegion returns a random region whose capacity is unknown or stale, for a request that this region has no endpoint
// for and that no other region is known to have free capacity for. It returns false if the reports of all regions are
// fresh, since none of them has free capacity then.
func (p *placer) staleRegion(now time.Time, v *view, q query, regions map[string][]fleet.Gateway) (string, bool) {
	var stale []string
	for region := range regions {
		rc, known := v.capacities[region].services[q.service.Name]
		rc.Age = now.Sub(v.capacities[region].reportedAt)
		if !known || !rc.Fresh() {
			stale = append(stale, region)
		}
	}
	if len(stale) == 0 {
		return "", false
	}
	return stale[p.rng.IntN(len(stale))], true
}

// anyRegion returns a random region, for a stream that can only go on in another region and is better resumed late than
// broken off. It returns false if there is none.
func (p *placer) anyRegion(regions map[string][]fleet.Gateway) (string, bool) {
	if len(regions) == 0 {
		return "", false
	}
	return slices.Sorted(maps.Keys(regions))[p.rng.IntN(len(regions))], true
}

// tokensSentTo returns the tokens sent to a region within regionSentWindow, and drops older entries.
func (p *placer) tokensSentTo(now time.Time, region string) int64 {
	var kept []sentTokens
	var total int64
	for _, s := range p.sentToRegion[region] {
		if now.Sub(s.at) < regionSentWindow {
			kept = append(kept, s)
			total += s.tokens
		}
	}
	p.sentToRegion[region] = kept
	return total
}

// localCapacity returns the free capacity of this region's endpoints by service.
func (p *placer) localCapacity(now time.Time, v *view) []*wiregen.ServiceRoom {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*wiregen.ServiceRoom
	if v.table == nil {
		return nil
	}
	for name, endpoints := range v.endpoints {
		service := v.table.Service(name)
		if service == nil {
			continue
		}
		all = append(all, p.serviceCapacity(now, v, service, endpoints))
	}
	return all
}

const permille = 1000

// capacityObjective is the expected time up to which an endpoint counts as having free capacity: the longest objective
// of the deployments' routes. Whether a forwarded request is on time is decided from the reported waiting times.
const capacityObjective = time.Second

// serviceCapacity returns the free capacity of one service's endpoints. Endpoints that are cold, gone or failing, that
// have named a limit, or whose circuit breaker is not closed, are left out.
func (p *placer) serviceCapacity(now time.Time, v *view, service *routes.Service, endpoints []fleet.Endpoint) *wiregen.ServiceRoom {
	p.expire(now, v)
	speed := p.currentSpeed(now, v, service.Name)
	m := &wiregen.ServiceRoom{Service: service.Name}
	var waits [capacity.Ranks][]int64
	for rank := range waits {
		waits[rank] = make([]int64, 0, len(endpoints))
	}
	busy, requests, slots := 0.0, 0, 0
	tracked := p.trackedEndpoints(service.Name, endpoints)
	for i := range endpoints {
		e, s, peers := &endpoints[i], tracked.endpoints[i].state, tracked.endpoints[i].peers
		if !p.acceptsAny(now, e, s) {
			continue
		}
		if s.outcomes.Plus(now, peers.outcomes).FailureRate(now) > capacity.MaxFailureRate {
			continue
		}
		c := capacity.Candidate{ID: e.ID, Outstanding: s.outstanding.Plus(peers.outstanding), Health: capacity.NewHealth(), Slots: e.Slots}
		if service.Engine != nil {
			c.Memory, c.Preempts = service.Engine.CacheTokens, true
		}
		for rank := range capacity.Ranks {
			wait := c.EstimateWait(&capacity.Work{Rank: rank}, 0, &speed).Wait
			if c.Crowded(rank, &speed) {
				wait += capacityObjective
			}
			waits[rank] = append(waits[rank], wait.Milliseconds())
		}
		requests, slots = requests+min(c.Outstanding.Requests, c.Slots), slots+c.Slots
		last := c.EstimateWait(&capacity.Work{Rank: capacity.Ranks - 1}, 0, &speed)
		m.Endpoints++
		busy += s.prefillShare(now, &speed, peers)
		if !last.Full && last.Wait < capacityObjective {
			tokens := int64(capacityObjective-last.Wait) / int64(max(speed.PrefillTokenTime, 1))
			if c.Memory > 0 {
				tokens = min(tokens, c.ReportedMemory())
			}
			m.PromptTokens += max(tokens, 0)
		}
	}
	m.BusyPermille = int32(permille * busy / float64(max(m.Endpoints, 1)))
	m.OccupiedPermille = int32(permille * requests / max(slots, 1))
	for rank := range waits {
		m.WaitMillis = append(m.WaitMillis, reportedWait(waits[rank]))
	}
	p.withholdCapacity(now, v, m)
	return m
}

// acceptsAny reports whether an endpoint accepts requests at any rate.
func (p *placer) acceptsAny(now time.Time, e *fleet.Endpoint, s *endpointState) bool {
	return p.endpointBreakers.State(now, e.ID) == retry.Closed && !p.isCold(e, s, now) && e.TerminatesAt.IsZero() &&
		!p.departures.Contains(e.ID, e.Born) && !now.Before(s.pausedUntil) && !s.limit.named
}

// reportedWait returns the quantile of the endpoints' waits that is reported, in milliseconds.
func reportedWait(waits []int64) int64 {
	if len(waits) == 0 {
		return noEndpointTime.Milliseconds()
	}
	slices.Sort(waits)
	return waits[int(capacity.ReportedQuantile*float64(len(waits)))]
}

// updateRegionCapacities drops the tokens sent to regions that a newer report already includes. It resets the breakers
// of a region that reports again after its capacity was stale, and returns the names of those regions.
func (p *placer) updateRegionCapacities(now time.Time, v *view, reports []*wiregen.RegionRoom) (regained []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range reports {
		before := capacity.RegionCapacity{Age: now.Sub(v.capacities[m.GetRegion()].reportedAt)}
		if after := (capacity.RegionCapacity{Age: time.Duration(m.GetAgeMillis()) * time.Millisecond}); !before.Fresh() && after.Fresh() {
			regained = append(regained, m.GetRegion())
			p.regionBreakers.Forget(m.GetRegion())
			for _, g := range v.gateways {
				if g.Region == m.GetRegion() {
					p.gatewayBreakers.Forget(g.Name)
				}
			}
		}
		// A request that was forwarded just before the report was made is not included in it yet.
		reflectedUntil := now.Add(-time.Duration(m.GetAgeMillis())*time.Millisecond - p.cfg.RegionRoundTrip)
		var kept []sentTokens
		for _, s := range p.sentToRegion[m.GetRegion()] {
			if s.at.After(reflectedUntil) {
				kept = append(kept, s)
			}
		}
		p.sentToRegion[m.GetRegion()] = kept
	}
	return regained
}
