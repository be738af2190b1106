package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/configuration"
	"arbutusreel/fleet"
	"arbutusreel/origin"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

// view is an immutable snapshot of the known state of the fleet.
type view struct {
	table *routes.Table
	// endpoints holds the ready endpoints of this region by service, without those in evacuated failure domains.
	endpoints map[string][]fleet.Endpoint
	// unready holds the other endpoints of this region that have not left, and evacuated the evacuated failure domains.
	unready   []fleet.Endpoint
	evacuated []string
	software  softwareVersions
	// completeFor is how long the control daemon has received the heartbeats of all endpoints without interruption.
	completeFor time.Duration
	gateways    []fleet.Gateway
	capacities  map[string]regionCapacity
	// updatedAt is the time of the control daemon's last update, current whether that daemon was in contact with the
	// leader, and control its address.
	updatedAt time.Time
	current   bool
	// currentAt is the time of the last update from a control daemon in contact with the leader; zero if there was none.
	currentAt time.Time
	control   string
}

// regionCapacity is the capacity that a region reported, by service.
type regionCapacity struct {
	reportedAt time.Time
	services   map[string]capacity.RegionCapacity
}

// version returns the version of the routing table in force, or zero if there is none.
func (v *view) version() int64 {
	if v.table == nil {
		return 0
	}
	return v.table.Version()
}

// lists reports whether an endpoint of this region with the ID is listed as ready.
func (v *view) lists(id string) bool {
	for _, endpoints := range v.endpoints {
		if slices.ContainsFunc(endpoints, func(e fleet.Endpoint) bool { return e.ID == id }) {
			return true
		}
	}
	return false
}

// peers returns the other gateways of a region.
func (v *view) peers(region, except string) []fleet.Gateway {
	return slices.DeleteFunc(slices.Clone(v.gateways), func(g fleet.Gateway) bool { return g.Region != region || g.Name == except })
}

// rank returns the position of a gateway among those of a region in the order of names, counted from 0, and their
// number. The gateway counts even if the view does not list it.
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

// fleetState holds the tables from which views are built. Only the session's goroutine uses it.
type fleetState struct {
	cfg       Config
	endpoints map[string]fleet.Endpoint
	gateways  map[string]fleet.Gateway
	// evacuations are in force, and receivedEvacuations those that a control daemon sent last.
	evacuations, receivedEvacuations configuration.Evacuations
	restoredAt                       map[string]time.Time
	// software holds when an endpoint was last known to have each software version.
	software   map[origin.Origin]time.Time
	capacities map[string]regionCapacity
	document   configuration.Document
	table      *routes.Table
	// fullViewAt is when a full view was last built.
	fullViewAt time.Time
}

func newFleetState(cfg Config) *fleetState {
	return &fleetState{
		cfg: cfg, endpoints: map[string]fleet.Endpoint{}, gateways: map[string]fleet.Gateway{},
		restoredAt: map[string]time.Time{}, software: map[origin.Origin]time.Time{}, capacities: map[string]regionCapacity{},
	}
}

// updateEndpoint stores a record unless it is older than the known one, which another control daemon may have sent. It
// reports whether the endpoint's state or incarnation changed.
func (st *fleetState) updateEndpoint(e fleet.Endpoint) (changed bool) {
	old, known := st.endpoints[e.ID]
	if known && e.Leaves() {
		e = old.After(e)
	}
	if known && (e.Born < old.Born || e.Born == old.Born && (old.State == fleet.Gone || e.Sequence < old.Sequence && e.State != fleet.Gone)) {
		return false
	}
	if known {
		e = e.DescribedBy(old)
		if old.Described() && old.Software != e.Software {
			st.software[origin.Origin{Service: old.Service, Software: old.Software}] = e.LastSeen
		}
	}
	st.endpoints[e.ID] = e
	return !known || old.State != e.State || old.Born != e.Born
}

// updateDocument puts a newer document into force. If it cannot be decoded, the error is returned and the old one stays
// in force.
func (st *fleetState) updateDocument(d configuration.Document) (bool, error) {
	if d.Version <= st.document.Version {
		return false, nil
	}
	table, err := st.cfg.Decode(d)
	if err != nil {
		return false, err
	}
	st.document, st.table = d, table
	return true, nil
}

// updateEvacuations replaces the evacuations in force. The endpoints of a restored domain count as cold for the
// cold time of their service, as they may have been restarted meanwhile.
func (st *fleetState) updateEvacuations(now time.Time, e configuration.Evacuations) {
	for _, domain := range st.evacuations.Domains {
		if !slices.Contains(e.Domains, domain) {
			st.restoredAt[domain] = now
		}
	}
	st.evacuations = e
}

// endpointTTL is the age of its last heartbeat above which an endpoint that the control daemons no longer list is
// removed.
const endpointTTL = 2 * time.Minute

// fullRefreshPeriod is the interval at which a full view is built even without a relevant update, because cold times
// end.
const fullRefreshPeriod = 500 * time.Millisecond

// refresh returns the view after an update. Most updates carry capacities alone and leave the other tables unchanged.
func (st *fleetState) refresh(now time.Time, u *wiregen.FleetUpdate, before *view) *view {
	changed := len(u.GetEndpoints()) > 0 || len(u.GetGateways()) > 0 || !slices.Equal(before.evacuated, st.evacuations.Domains) || before.table != st.table
	if changed || now.Sub(st.fullViewAt) > fullRefreshPeriod {
		st.fullViewAt = now
		return st.view(now)
	}
	v := *before
	v.capacities = maps.Clone(st.capacities)
	return &v
}

// view builds a full view of the state at a time, and removes expired endpoints.
func (st *fleetState) view(now time.Time) *view {
	v := &view{
		table: st.table, endpoints: map[string][]fleet.Endpoint{}, evacuated: st.evacuations.Domains, software: newSoftwareVersions(), capacities: maps.Clone(st.capacities),
	}
	for id, e := range st.endpoints {
		if now.Sub(e.LastSeen) > endpointTTL {
			delete(st.endpoints, id)
			continue
		}
		if !e.Described() {
			continue
		}
		region := st.cfg.Regions[e.FailureDomain]
		serves := e.State == fleet.Ready && !slices.Contains(st.evacuations.Domains, e.FailureDomain)
		v.software.add(e, region, serves)
		st.software[origin.Origin{Service: e.Service, Software: e.Software}] = now
		switch {
		case region != st.cfg.Region:
		case serves:
			v.endpoints[e.Service] = append(v.endpoints[e.Service], st.withRestoreColdTime(e))
		case e.State != fleet.Gone:
			v.unready = append(v.unready, e)
		}
	}
	for o, knownAt := range st.software {
		if now.Sub(knownAt) > softwareMemory {
			delete(st.software, o)
			continue
		}
		v.software.remember(o)
	}
	for _, all := range v.endpoints {
		slices.SortFunc(all, func(x, y fleet.Endpoint) int { return strings.Compare(x.ID, y.ID) })
	}
	for _, g := range st.gateways {
		v.gateways = append(v.gateways, g)
	}
	slices.SortFunc(v.gateways, func(x, y fleet.Gateway) int { return strings.Compare(x.Name, y.Name) })
	return v
}

// withRestoreColdTime returns an endpoint, which counts as cold for the cold time of its service after its failure
// domain was restored.
func (st *fleetState) withRestoreColdTime(e fleet.Endpoint) fleet.Endpoint {
	restored, ok := st.restoredAt[e.FailureDomain]
	if !ok || st.table == nil {
		return e
	}
	s := st.table.Service(e.Service)
	if s == nil {
		return e
	}
	if until := restored.Add(s.ColdTime); until.After(e.ColdUntil) {
		e.ColdUntil = until
	}
	return e
}
