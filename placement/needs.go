package placement

import (
	"slices"

	"arbutusreel/inventory"
	"arbutusreel/residency"
)

// spot is a model of a service in a region.
type spot struct {
	region  string
	service string
	model   string
}

// needs returns the tokens a second that each region must serve of each model.
//
// Demand stays in its region if the model may run there and the service has
// endpoints there. Other demand goes to the allowed region with the least cost
// by the objective. On top comes what the loss of any one other region would
// add, as far as the rules' headroom allows.
func needs(v View) map[spot]float64 {
	capacity := capacities(v.Endpoints)
	own := map[spot]float64{}
	worst := map[spot]float64{}
	for _, d := range v.Demands {
		regions := regionsOf(v.Inventory, capacity, d)
		if len(regions) == 0 {
			continue
		}
		at := homeOf(v.Inventory, d, regions)
		own[spot{region: at, service: d.Service, model: d.Model}] += d.TokensPerSecond
	}
	for _, extra := range lossOf(v, capacity) {
		for s, add := range extra {
			worst[s] = max(worst[s], add)
		}
	}
	total := map[spot]float64{}
	for s, add := range worst {
		total[spot{region: s.region, service: s.service}] += add
	}
	headroom := v.Inventory.Rules().Headroom
	for s, add := range worst {
		group := spot{region: s.region, service: s.service}
		scale := min(1, headroom*capacity[group]/max(total[group], 1))
		own[s] += add * scale
	}
	return own
}

// capacities returns the tokens a second of each service in each region.
func capacities(endpoints []Endpoint) map[spot]float64 {
	capacity := map[spot]float64{}
	for _, e := range endpoints {
		if !e.Leaving {
			capacity[spot{region: e.Region, service: e.Service}] += e.TokensPerSecond
		}
	}
	return capacity
}

// regionsOf returns the regions that may serve the demand and have endpoints of the service, in the inventory's order.
func regionsOf(inv *inventory.Inventory, capacity map[spot]float64, d Demand) []string {
	var regions []string
	for _, region := range residency.Allowed(inv, residency.Subject{Service: d.Service, Model: d.Model}) {
		bound := len(d.AllowedRegions) > 0 && !slices.Contains(d.AllowedRegions, region)
		if !bound && capacity[spot{region: region, service: d.Service}] > 0 {
			regions = append(regions, region)
		}
	}
	return regions
}

// homeOf returns the demand's own region if it is among the regions, else the one of least cost by the objective.
func homeOf(inv *inventory.Inventory, d Demand, regions []string) string {
	if slices.Contains(regions, d.Region) {
		return d.Region
	}
	best := regions[0]
	for _, region := range regions[1:] {
		if awayCost(inv, d.Region, region) < awayCost(inv, d.Region, best) {
			best = region
		}
	}
	return best
}

// awayCost returns the objective's cost of serving one region's demand in another.
func awayCost(inv *inventory.Inventory, from, to string) float64 {
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

// lossOf returns, for each region, what its loss would add to the others: its demand in equal parts.
func lossOf(v View, capacity map[spot]float64) map[string]map[spot]float64 {
	loss := map[string]map[spot]float64{}
	for _, d := range v.Demands {
		regions := slices.DeleteFunc(regionsOf(v.Inventory, capacity, d), func(r string) bool { return r == d.Region })
		if loss[d.Region] == nil {
			loss[d.Region] = map[spot]float64{}
		}
		for _, region := range regions {
			loss[d.Region][spot{region: region, service: d.Service, model: d.Model}] += d.TokensPerSecond / float64(len(regions))
		}
	}
	return loss
}
