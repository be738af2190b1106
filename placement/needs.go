package placement

import (
	"slices"

	"arbutusreel/inventory"
	"arbutusreel/residency"
)

// modelKey identifies a model of a service in a region, or the service in the region if model is empty.
type modelKey struct {
	region  string
	service string
	model   string
}

// needs returns the tokens a second that each region must serve of each model.
//
// Demand stays in its region if the model may run there and the service has
// endpoints there. Other demand goes to the allowed region with the least cost
// by the objective. Added to this is the largest failover demand that the loss
// of any one other region would cause, limited for each service to
// the rules' headroom, a fraction of the service's capacity in the region.
func needs(v View) map[modelKey]float64 {
	capacity := capacities(v.Endpoints)
	required := map[modelKey]float64{}
	failover := map[modelKey]float64{}
	for _, d := range v.Demands {
		regions := eligibleRegions(v.Inventory, capacity, d)
		if len(regions) == 0 {
			continue
		}
		region := servingRegion(v.Inventory, d, regions)
		required[modelKey{region: region, service: d.Service, model: d.Model}] += d.TokensPerSecond
	}
	for _, extra := range failoverDemand(v, capacity) {
		for s, rate := range extra {
			failover[s] = max(failover[s], rate)
		}
	}
	total := map[modelKey]float64{}
	for s, rate := range failover {
		total[modelKey{region: s.region, service: s.service}] += rate
	}
	headroom := v.Inventory.Rules().Headroom
	for s, rate := range failover {
		group := modelKey{region: s.region, service: s.service}
		scale := min(1, headroom*capacity[group]/max(total[group], 1))
		required[s] += rate * scale
	}
	return required
}

// capacities returns the tokens a second of each service in each region.
func capacities(endpoints []Endpoint) map[modelKey]float64 {
	capacity := map[modelKey]float64{}
	for _, e := range endpoints {
		if !e.Leaving {
			capacity[modelKey{region: e.Region, service: e.Service}] += e.TokensPerSecond
		}
	}
	return capacity
}

// eligibleRegions returns the regions that may serve the demand and have endpoints of the service, in inventory order.
func eligibleRegions(inv *inventory.Inventory, capacity map[modelKey]float64, d Demand) []string {
	var regions []string
	for _, region := range residency.Allowed(inv, residency.Subject{Service: d.Service, Model: d.Model}) {
		excluded := len(d.AllowedRegions) > 0 && !slices.Contains(d.AllowedRegions, region)
		if !excluded && capacity[modelKey{region: region, service: d.Service}] > 0 {
			regions = append(regions, region)
		}
	}
	return regions
}

// servingRegion returns the region of the demand if it is eligible, else the eligible region with the least cost.
func servingRegion(inv *inventory.Inventory, d Demand, regions []string) string {
	if slices.Contains(regions, d.Region) {
		return d.Region
	}
	best := regions[0]
	for _, region := range regions[1:] {
		if remoteCost(inv, d.Region, region) < remoteCost(inv, d.Region, best) {
			best = region
		}
	}
	return best
}

// remoteCost returns the cost by the objective of serving demand of one region in another.
func remoteCost(inv *inventory.Inventory, from, to string) float64 {
	var mean float64
	regions := inv.Contents().Regions
	for _, r := range regions {
		mean += r.CostPerThousandTokens / float64(len(regions))
	}
	objective := inv.Rules().Objective
	region, _ := inv.Region(to)
	link, _ := inv.Link(from, to)
	cost := objective.Latency * link.RoundTrip.Seconds()
	if mean > 0 {
		cost += objective.Cost * region.CostPerThousandTokens / mean
	}
	return cost
}

// failoverDemand returns for each region the demand that its loss would add to the others, divided equally among the
// eligible ones.
func failoverDemand(v View, capacity map[modelKey]float64) map[string]map[modelKey]float64 {
	loss := map[string]map[modelKey]float64{}
	for _, d := range v.Demands {
		regions := slices.DeleteFunc(eligibleRegions(v.Inventory, capacity, d), func(r string) bool { return r == d.Region })
		if loss[d.Region] == nil {
			loss[d.Region] = map[modelKey]float64{}
		}
		for _, region := range regions {
			loss[d.Region][modelKey{region: region, service: d.Service, model: d.Model}] += d.TokensPerSecond / float64(len(regions))
		}
	}
	return loss
}
