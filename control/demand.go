package control

import (
	"slices"
	"strings"
	"time"

	"arbutusreel/fencing"
	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/placement"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// demandKey identifies one demand forecast; allowed is the comma-separated list of the regions that the request
// labels allow.
type demandKey struct {
	region  string
	service string
	model   string
	allowed string
}

// tokenCounter holds the cumulative token counts of an entry's last reply.
type tokenCounter struct {
	incarnation int64
	tokens      map[demandKey]float64
}

// demandForecaster derives demand forecasts from the cumulative token counts of the entries.
type demandForecaster struct {
	counters  map[string]tokenCounter
	forecasts map[demandKey]placement.Forecast
}

func newDemandForecaster() *demandForecaster {
	return &demandForecaster{counters: map[string]tokenCounter{}, forecasts: map[demandKey]placement.Forecast{}}
}

// observe adds the replies of one round. The first reply of an entry's incarnation only sets the baseline of its
// counts.
func (d *demandForecaster) observe(now time.Time, replies []*wiregen.RegionReply) {
	increments := map[demandKey]float64{}
	for _, reply := range replies {
		tokens := map[demandKey]float64{}
		for _, m := range reply.GetDemands() {
			tokens[newDemandKey(reply.GetRegion(), m)] = m.GetTokens()
		}
		last, known := d.counters[reply.GetName()]
		for k, count := range tokens {
			increments[k] += 0
			if known && last.incarnation == reply.GetIncarnation() {
				increments[k] += count - last.tokens[k]
			}
		}
		d.counters[reply.GetName()] = tokenCounter{incarnation: reply.GetIncarnation(), tokens: tokens}
	}
	for k, tokens := range increments {
		d.forecasts[k] = d.forecasts[k].Observe(now, tokens)
	}
}

func newDemandKey(region string, m *wiregen.ModelDemand) demandKey {
	return demandKey{region: region, service: m.GetService(), model: m.GetModel(), allowed: strings.Join(m.GetAllowedRegions(), ",")}
}

// forecast returns the demand expected at forecastHorizon after now.
func (d *demandForecaster) forecast(now time.Time) []placement.Demand {
	demands := make([]placement.Demand, 0, len(d.forecasts))
	for k, f := range d.forecasts {
		demands = append(demands, placement.Demand{
			Region:          k.region,
			Service:         k.service,
			Model:           k.model,
			AllowedRegions:  strings.Split(k.allowed, ","),
			TokensPerSecond: f.Rate(now.Add(forecastHorizon)),
		})
	}
	slices.SortFunc(demands, func(a, b placement.Demand) int {
		return strings.Compare(a.Region+"/"+a.Service+"/"+a.Model, b.Region+"/"+b.Service+"/"+b.Model)
	})
	return demands
}

// forecastHorizon is how far ahead demand is forecast, as a change that is decided now takes effect later.
const forecastHorizon = 30 * time.Second

// newestEndpoints returns the newest state of each endpoint in the replies, by incarnation and then sequence.
func newestEndpoints(now time.Time, replies []*wiregen.RegionReply) map[string]membership.Endpoint {
	endpoints := map[string]membership.Endpoint{}
	for _, reply := range replies {
		for _, m := range reply.GetEndpoints() {
			e, err := wire.DecodeAnnouncement(now, m.GetAnnouncement())
			if err != nil || e.Region != reply.GetRegion() {
				continue
			}
			old, ok := endpoints[e.Name]
			if !ok || e.Incarnation > old.Incarnation || (e.Incarnation == old.Incarnation && e.Sequence > old.Sequence) {
				endpoints[e.Name] = e
			}
		}
	}
	return endpoints
}

// versionedModels returns the names of the models that the endpoint serves, with their versions where these are
// known.
func versionedModels(e membership.Endpoint) []string {
	names := slices.Clone(e.Models)
	for _, versioned := range e.Versions {
		if i := slices.Index(names, inventory.ParseName(versioned).WithoutVersion()); i >= 0 {
			names[i] = versioned
		}
	}
	return names
}

// countModels returns the number of models among the names, without adapters.
func countModels(names []string) int {
	n := 0
	for _, name := range names {
		if inventory.ParseName(name).Adapter == "" {
			n++
		}
	}
	return n
}

// placementEndpoints converts the endpoints for placement. The capacity of an endpoint is the largest number of
// models that it was observed to hold or load at once.
func (p *placer) placementEndpoints(endpoints map[string]membership.Endpoint) []placement.Endpoint {
	all := make([]placement.Endpoint, 0, len(endpoints))
	for name, e := range endpoints {
		p.observedCapacity[name] = max(p.observedCapacity[name], countModels(e.Models)+countModels(e.Loading), 1)
		all = append(all, placement.Endpoint{
			Name:            name,
			Region:          e.Region,
			FailureDomain:   e.FailureDomain,
			Service:         e.Service,
			Models:          versionedModels(e),
			Loading:         e.Loading,
			Order:           fencing.Number{Term: e.OrderTerm, Sequence: e.OrderSequence},
			Capacity:        p.observedCapacity[name],
			TokensPerSecond: e.Load.TokensPerSecond,
			Leaving:         e.Leaving,
		})
	}
	for name := range p.observedCapacity {
		if _, ok := endpoints[name]; !ok {
			delete(p.observedCapacity, name)
		}
	}
	slices.SortFunc(all, func(a, b placement.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return all
}
