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

// demandKey is what demand is forecast for; allowed is the list of regions that the labels allow.
type demandKey struct {
	region  string
	service string
	model   string
	allowed string
}

// counter is one entry's count at its last reply.
type counter struct {
	incarnation int64
	tokens      map[demandKey]float64
}

// demandLog turns the counts of entries into forecasts.
type demandLog struct {
	counters  map[string]counter
	forecasts map[demandKey]placement.Forecast
}

func newDemandLog() *demandLog {
	return &demandLog{counters: map[string]counter{}, forecasts: map[demandKey]placement.Forecast{}}
}

// observe takes the replies of one round; the first reply of an entry's incarnation is the base of its counts.
func (d *demandLog) observe(now time.Time, replies []*wiregen.RegionReply) {
	asked := map[demandKey]float64{}
	for _, reply := range replies {
		tokens := map[demandKey]float64{}
		for _, m := range reply.GetDemands() {
			tokens[keyOf(reply.GetRegion(), m)] = m.GetTokens()
		}
		last, known := d.counters[reply.GetName()]
		for k, count := range tokens {
			asked[k] += 0
			if known && last.incarnation == reply.GetIncarnation() {
				asked[k] += count - last.tokens[k]
			}
		}
		d.counters[reply.GetName()] = counter{incarnation: reply.GetIncarnation(), tokens: tokens}
	}
	for k, tokens := range asked {
		d.forecasts[k] = d.forecasts[k].Observe(now, tokens)
	}
}

func keyOf(region string, m *wiregen.ModelDemand) demandKey {
	return demandKey{region: region, service: m.GetService(), model: m.GetModel(), allowed: strings.Join(m.GetAllowedRegions(), ",")}
}

// forecast returns the demand expected when a change that is decided now is done.
func (d *demandLog) forecast(now time.Time) []placement.Demand {
	demands := make([]placement.Demand, 0, len(d.forecasts))
	for k, f := range d.forecasts {
		demands = append(demands, placement.Demand{
			Region:          k.region,
			Service:         k.service,
			Model:           k.model,
			AllowedRegions:  strings.Split(k.allowed, ","),
			TokensPerSecond: f.Rate(now.Add(forecastAhead)),
		})
	}
	slices.SortFunc(demands, func(a, b placement.Demand) int {
		return strings.Compare(a.Region+"/"+a.Service+"/"+a.Model, b.Region+"/"+b.Service+"/"+b.Model)
	})
	return demands
}

// forecastAhead is how far ahead demand is forecast.
const forecastAhead = 30 * time.Second

// endpointsOf returns the newest state of each endpoint that the replies hold.
func endpointsOf(now time.Time, replies []*wiregen.RegionReply) map[string]membership.Endpoint {
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

// heldNames returns the names of what the endpoint serves, with the versions that it knows.
func heldNames(e membership.Endpoint) []string {
	names := slices.Clone(e.Models)
	for _, held := range e.Versions {
		if i := slices.Index(names, inventory.ParseName(held).Served()); i >= 0 {
			names[i] = held
		}
	}
	return names
}

// modelsOf returns the number of models among the names; adapters are left out.
func modelsOf(names []string) int {
	n := 0
	for _, name := range names {
		if inventory.ParseName(name).Adapter == "" {
			n++
		}
	}
	return n
}

// known returns the endpoints as placement sees them; one holds as many models as it was ever seen to hold or load.
func (p *placer) known(endpoints map[string]membership.Endpoint) []placement.Endpoint {
	all := make([]placement.Endpoint, 0, len(endpoints))
	for name, e := range endpoints {
		p.size[name] = max(p.size[name], modelsOf(e.Models)+modelsOf(e.Loading), 1)
		all = append(all, placement.Endpoint{
			Name:            name,
			Region:          e.Region,
			FailureDomain:   e.FailureDomain,
			Service:         e.Service,
			Models:          heldNames(e),
			Loading:         e.Loading,
			Order:           fencing.Number{Term: e.OrderTerm, Sequence: e.OrderSequence},
			Capacity:        p.size[name],
			TokensPerSecond: e.Load.TokensPerSecond,
			Leaving:         e.Leaving,
		})
	}
	for name := range p.size {
		if _, ok := endpoints[name]; !ok {
			delete(p.size, name)
		}
	}
	slices.SortFunc(all, func(a, b placement.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return all
}
