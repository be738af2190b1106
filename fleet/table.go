package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// expireAfter is the silence after which the record of an endpoint is dropped. It is far above the heartbeat interval
	// of one or two seconds, as heartbeats may be seconds late and are lost for the duration of a partition.
	expireAfter = 60 * time.Second
	// goneRetention is how long a record in state Gone is kept, so that late heartbeats cannot restore it.
	goneRetention = 60 * time.Second
	// ownerSilence is the silence of an endpoint from which on its address may be that of an endpoint of another service or
	// failure domain: a heartbeat interval and the time until other control daemons report an unchanged endpoint again.
	ownerSilence = 4 * time.Second
	// restartTime is the time after its last report within which a gateway that was stopping or starting is expected back.
	// While a region has no other gateways, its callers may be named none.
	restartTime = 4 * time.Second
)

type record struct {
	endpoint Endpoint
	// change is the number of the last change of the record.
	change int64
}

// Endpoints is a table of endpoints by id, with numbered changes.
type Endpoints struct {
	records map[string]*record
	change  int64
}

// NewEndpoints returns an empty table.
func NewEndpoints() *Endpoints { return &Endpoints{records: map[string]*record{}} }

// Announce stores a heartbeat and reports whether it was accepted. It rejects an outdated heartbeat, and one for an
// address at which an endpoint that started later, or a running one of another service or failure domain, is known. A
// heartbeat without new state renews the record and does not count as a change.
func (t *Endpoints) Announce(e Endpoint) bool {
	old := t.records[e.ID]
	if old != nil && !e.supersedes(old.endpoint) {
		return false
	}
	if owner := t.addressOwner(e); owner != nil && !t.supersedeOwner(owner, e) {
		return false
	}
	if old != nil {
		e = e.DescribedBy(old.endpoint)
		if sameState(old.endpoint, e) {
			old.endpoint = e
			return true
		}
	}
	t.put(e)
	return true
}

// addressOwner returns the record of another endpoint at the address of e, or nil; endpoints that are gone own no
// address.
func (t *Endpoints) addressOwner(e Endpoint) *record {
	for _, r := range t.records {
		if r.endpoint.Address == e.Address && r.endpoint.ID != e.ID && r.endpoint.State != Gone && e.State != Gone {
			return r
		}
	}
	return nil
}

// supersedeOwner marks the owner of an address as gone and returns true, unless e started before the owner, or is of another
// service or failure domain and the owner has been silent for less than ownerSilence. Between equal starts, such as two
// unknown ones, the heartbeat that arrives later wins.
func (t *Endpoints) supersedeOwner(owner *record, e Endpoint) bool {
	if e.Born < owner.endpoint.Born {
		return false
	}
	elsewhere := e.Service != owner.endpoint.Service || e.FailureDomain != owner.endpoint.FailureDomain
	if elsewhere && e.LastSeen.Sub(owner.endpoint.LastSeen) < ownerSilence {
		return false
	}
	gone := owner.endpoint
	gone.State = Gone
	t.put(gone)
	return true
}

// coldTolerance is the difference in ColdUntil below which two heartbeats count as equal.
const coldTolerance = 250 * time.Millisecond

// sameState reports whether two records are equal apart from Sequence, LastSeen, fractions of a second of TerminatesAt,
// and a difference in ColdUntil below coldTolerance.
func sameState(a, b Endpoint) bool {
	drift := a.ColdUntil.Sub(b.ColdUntil).Abs()
	sameCold := a.ColdUntil.IsZero() == b.ColdUntil.IsZero() && drift < coldTolerance
	a.Sequence, a.LastSeen, a.ColdUntil = b.Sequence, b.LastSeen, b.ColdUntil
	a.TerminatesAt, b.TerminatesAt = a.TerminatesAt.Truncate(time.Second), b.TerminatesAt.Truncate(time.Second)
	return sameCold && a == b
}

func (t *Endpoints) put(e Endpoint) {
	t.change++
	t.records[e.ID] = &record{endpoint: e, change: t.change}
}

// Leave marks an endpoint as gone that left at a time, and reports whether its record changed. An incarnation later than born is
// not marked; a born of zero applies to the known one, unless it was seen later. The record of an unknown endpoint holds only its
// name: gateways may know it, and heartbeats of that incarnation were sent before it left.
func (t *Endpoints) Leave(at time.Time, id string, born int64) bool {
	gone := Endpoint{ID: id, Born: born}
	if r := t.records[id]; r != nil {
		if gone = r.endpoint.left(at, born); gone.State != Gone || r.endpoint.State == Gone && gone.Born == r.endpoint.Born {
			return false
		}
	}
	gone.State, gone.LastSeen = Gone, at
	t.put(gone)
	return true
}

// Get returns the record of an endpoint, and whether there is one.
func (t *Endpoints) Get(id string) (Endpoint, bool) {
	r := t.records[id]
	if r == nil {
		return Endpoint{}, false
	}
	return r.endpoint, true
}

// Expire drops endpoints that have been silent for more than expireAfter, or gone for more than goneRetention.
func (t *Endpoints) Expire(now time.Time) {
	for id, r := range t.records {
		limit := expireAfter
		if r.endpoint.State == Gone {
			limit = goneRetention
		}
		if now.Sub(r.endpoint.LastSeen) > limit {
			delete(t.records, id)
		}
	}
}

// Since returns the records that changed after the given change, ordered by id, and the number of the last change.
func (t *Endpoints) Since(change int64) ([]Endpoint, int64) {
	var changed []Endpoint
	for _, r := range t.records {
		if r.change > change {
			changed = append(changed, r.endpoint)
		}
	}
	slices.SortFunc(changed, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return changed, t.change
}

// SeenAfter returns the records that were renewed after a time, ordered by id.
func (t *Endpoints) SeenAfter(after time.Time) []Endpoint {
	var renewed []Endpoint
	for _, r := range t.records {
		if r.endpoint.LastSeen.After(after) {
			renewed = append(renewed, r.endpoint)
		}
	}
	slices.SortFunc(renewed, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return renewed
}

// Gateways is a table of gateways by name, with leases and numbered changes.
type Gateways struct {
	lease   time.Duration
	records map[string]*gatewayRecord
	change  int64
}

type gatewayRecord struct {
	gateway Gateway
	gone    bool
	change  int64
}

// NewGateways returns an empty table in which a gateway is live until a lease has passed since its last report.
func NewGateways(lease time.Duration) *Gateways {
	return &Gateways{lease: lease, records: map[string]*gatewayRecord{}}
}

// Announce stores a report, renews the lease, and returns whether the report was not known yet; a report of an earlier
// incarnation, an earlier report of the same one, and the same report from an earlier time are dropped.
func (t *Gateways) Announce(g Gateway) bool {
	old := t.records[g.Name]
	if old != nil && !g.supersedes(old.gateway) {
		return false
	}
	later := old == nil || g.Born != old.gateway.Born || g.Sequence != old.gateway.Sequence
	if old != nil && !old.gone && old.gateway.sameState(g) {
		old.gateway.Sequence, old.gateway.LastSeen, old.gateway.InFlight = g.Sequence, g.LastSeen, g.InFlight
		return later
	}
	t.change++
	t.records[g.Name] = &gatewayRecord{gateway: g, change: t.change}
	return later
}

// Leave marks a gateway as gone if its record is of the same incarnation.
func (t *Gateways) Leave(name string, born int64) {
	r := t.records[name]
	if r == nil || r.gone || r.gateway.Born != born {
		return
	}
	t.change++
	r.gone, r.change = true, t.change
}

// Expire marks gateways whose lease has ended as gone, and drops gone ones goneRetention after their last report.
func (t *Gateways) Expire(now time.Time) {
	for name, r := range t.records {
		if !r.gone && now.Sub(r.gateway.LastSeen) > t.lease {
			t.Leave(name, r.gateway.Born)
		}
		if r.gone && now.Sub(r.gateway.LastSeen) > goneRetention {
			delete(t.records, name)
		}
	}
}

// Live returns the gateways that are not gone, ordered by name.
func (t *Gateways) Live() []Gateway {
	var live []Gateway
	for _, r := range t.records {
		if !r.gone {
			live = append(live, r.gateway)
		}
	}
	slices.SortFunc(live, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Restarting returns the gateways that reported last that they were stopping or starting and have been silent since, for at
// most restartTime, ordered by name. They take no requests, but are not lost.
func (t *Gateways) Restarting(now time.Time) []Gateway {
	var restarting []Gateway
	for _, r := range t.records {
		if r.gone && !r.gateway.Ready && now.Sub(r.gateway.LastSeen) <= restartTime {
			g := r.gateway
			g.Lingering, g.Closing = false, false
			restarting = append(restarting, g)
		}
	}
	slices.SortFunc(restarting, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	return restarting
}

// GatewayChange is the state of a gateway after a change, which is live unless Gone is set.
type GatewayChange struct {
	Gateway Gateway
	Gone    bool
}

// Since returns the gateways that changed after the given change, ordered by name, and the number of the last change.
func (t *Gateways) Since(change int64) ([]GatewayChange, int64) {
	var changed []GatewayChange
	for _, r := range t.records {
		if r.change > change {
			changed = append(changed, GatewayChange{Gateway: r.gateway, Gone: r.gone})
		}
	}
	slices.SortFunc(changed, func(a, b GatewayChange) int { return strings.Compare(a.Gateway.Name, b.Gateway.Name) })
	return changed, t.change
}

// SeenAfter returns the live gateways that were renewed after a time, ordered by name.
func (t *Gateways) SeenAfter(after time.Time) []Gateway {
	return slices.DeleteFunc(t.Live(), func(g Gateway) bool { return !g.LastSeen.After(after) })
}
