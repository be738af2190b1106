package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/configuration"
	"arbutusreel/fleet"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

// view is what a gateway believes of the fleet; it is immutable.
type view struct {
	table *routes.Table
	// endpoints are those of this region by service, without those that are gone or whose domain is evacuated.
	endpoints map[string][]fleet.Endpoint
	gateways  []fleet.Gateway
	rooms     map[string]regionRoom
	// heard is when the control daemon said something last, and current whether it had heard of the leader.
	heard   time.Time
	current bool
	control string
}

type regionRoom struct {
	heard    time.Time
	services map[string]capacity.Room
}

// version returns the version of the table in force, or zero.
func (v *view) version() int64 {
	if v.table == nil {
		return 0
	}
	return v.table.Version()
}

// peers returns the other gateways of a region.
func (v *view) peers(region, except string) []fleet.Gateway {
	return slices.DeleteFunc(slices.Clone(v.gateways), func(g fleet.Gateway) bool { return g.Region != region || g.Name == except })
}

// rank returns the place of a name among the gateways of a region that send to its endpoints, and their number.
func (v *view) rank(region, name string) (rank, n int) {
	for _, g := range v.gateways {
		if g.Region != region || g.Name == name {
			continue
		}
		n++
		if g.Name < name {
			rank++
		}
	}
	return rank, n + 1
}

// beliefs are the tables from which views are made; the session's goroutine alone uses them.
type beliefs struct {
	cfg       Config
	endpoints map[string]fleet.Endpoint
	gateways  map[string]fleet.Gateway
	evacuated []string
	returned  map[string]time.Time
	rooms     map[string]regionRoom
	document  configuration.Document
	table     *routes.Table
	// viewed is when a whole view was made last.
	viewed time.Time
}

func newBeliefs(cfg Config) *beliefs {
	return &beliefs{
		cfg: cfg, endpoints: map[string]fleet.Endpoint{}, gateways: map[string]fleet.Gateway{},
		returned: map[string]time.Time{}, rooms: map[string]regionRoom{},
	}
}

// takeEndpoint takes a record; one that an earlier control daemon knew better stays.
func (b *beliefs) takeEndpoint(e fleet.Endpoint) (changed bool) {
	old, known := b.endpoints[e.ID]
	if known && (e.Born < old.Born || e.Born == old.Born && (old.State == fleet.Gone || e.Sequence < old.Sequence && e.State != fleet.Gone)) {
		return false
	}
	b.endpoints[e.ID] = e
	return !known || old.State != e.State || old.Born != e.Born
}

// takeDocument takes a newer document into force; an error says that it cannot be read, and the old one stays.
func (b *beliefs) takeDocument(d configuration.Document) (bool, error) {
	if d.Version <= b.document.Version {
		return false, nil
	}
	table, err := b.cfg.Decode(d)
	if err != nil {
		return false, err
	}
	b.document, b.table = d, table
	return true, nil
}

// takeEvacuations takes the evacuated domains; those that were taken back count as cold for a while, as their
// endpoints may have been restarted meanwhile.
func (b *beliefs) takeEvacuations(now time.Time, evacuated []string) {
	for _, domain := range b.evacuated {
		if !slices.Contains(evacuated, domain) {
			b.returned[domain] = now
		}
	}
	b.evacuated = evacuated
}

// forgetAfter is the silence after which an endpoint that the control daemons no longer name is forgotten.
const forgetAfter = 2 * time.Minute

// refreshPeriod is how often a whole view is made although nothing was told that asks for it: cold times end.
const refreshPeriod = 500 * time.Millisecond

// refresh returns the view after an update. One that tells of rooms alone, as most do, needs no other table made anew.
func (b *beliefs) refresh(now time.Time, u *wiregen.FleetUpdate, before *view) *view {
	news := len(u.GetEndpoints()) > 0 || len(u.GetGateways()) > 0 || u.GetEvacuationsTold() || before.table != b.table
	if news || now.Sub(b.viewed) > refreshPeriod {
		b.viewed = now
		return b.view(now)
	}
	v := *before
	v.rooms = maps.Clone(b.rooms)
	return &v
}

// view returns what is believed now.
func (b *beliefs) view(now time.Time) *view {
	v := &view{
		table: b.table, endpoints: map[string][]fleet.Endpoint{}, rooms: maps.Clone(b.rooms),
	}
	for id, e := range b.endpoints {
		if now.Sub(e.Heard) > forgetAfter {
			delete(b.endpoints, id)
			continue
		}
		if e.State != fleet.Ready {
			continue
		}
		if b.cfg.Regions[e.FailureDomain] != b.cfg.Region || slices.Contains(b.evacuated, e.FailureDomain) {
			continue
		}
		v.endpoints[e.Service] = append(v.endpoints[e.Service], b.chill(e))
	}
	for _, all := range v.endpoints {
		slices.SortFunc(all, func(x, y fleet.Endpoint) int { return strings.Compare(x.ID, y.ID) })
	}
	for _, g := range b.gateways {
		v.gateways = append(v.gateways, g)
	}
	slices.SortFunc(v.gateways, func(x, y fleet.Gateway) int { return strings.Compare(x.Name, y.Name) })
	return v
}

// chill makes an endpoint cold whose domain was taken back a moment ago.
func (b *beliefs) chill(e fleet.Endpoint) fleet.Endpoint {
	at, ok := b.returned[e.FailureDomain]
	if !ok || b.table == nil {
		return e
	}
	s := b.table.Service(e.Service)
	if s == nil {
		return e
	}
	if until := at.Add(s.ColdTime); until.After(e.ColdUntil) {
		e.ColdUntil = until
	}
	return e
}
