package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// forgetAfter is the silence after which an endpoint is dropped: heartbeats come every second or two, may be seconds
	// late, and are missing for as long as a partition lasts.
	forgetAfter = 60 * time.Second
	// goneRetention is how long an endpoint that left is remembered against its own late heartbeats.
	goneRetention = 60 * time.Second
)

type record struct {
	endpoint Endpoint
	// change is the number of the change that made the record what it is.
	change int64
}

// Endpoints is a table of endpoints by id.
type Endpoints struct {
	records map[string]*record
	change  int64
}

// NewEndpoints returns an empty table.
func NewEndpoints() *Endpoints { return &Endpoints{records: map[string]*record{}} }

// Announce takes what was heard of an endpoint and reports whether it was new. A sign of life that says nothing else
// new renews the record without being a change.
func (t *Endpoints) Announce(e Endpoint) bool {
	old := t.records[e.ID]
	if old != nil && !e.supersedes(old.endpoint) {
		return false
	}
	if owner := t.owner(e); owner != nil && !t.yield(owner, e) {
		return false
	}
	if old != nil && sameWord(old.endpoint, e) {
		old.endpoint = e
		return true
	}
	t.put(e)
	return true
}

// owner returns another endpoint that is not gone at the same address, or nil.
func (t *Endpoints) owner(e Endpoint) *record {
	for _, r := range t.records {
		if r.endpoint.Address == e.Address && r.endpoint.ID != e.ID && r.endpoint.State != Gone && e.State != Gone {
			return r
		}
	}
	return nil
}

// yield marks the owner of an address as gone if e was born later; without births the later word counts.
func (t *Endpoints) yield(owner *record, e Endpoint) bool {
	if e.Born < owner.endpoint.Born {
		return false
	}
	gone := owner.endpoint
	gone.State = Gone
	t.put(gone)
	return true
}

// coldTolerance is the difference in the end of the cold time below which two heartbeats say the same of it.
const coldTolerance = 250 * time.Millisecond

func sameWord(a, b Endpoint) bool {
	drift := a.ColdUntil.Sub(b.ColdUntil).Abs()
	sameCold := a.ColdUntil.IsZero() == b.ColdUntil.IsZero() && drift < coldTolerance
	a.Sequence, a.Heard, a.ColdUntil = b.Sequence, b.Heard, b.ColdUntil
	a.GoneAt, b.GoneAt = a.GoneAt.Truncate(time.Second), b.GoneAt.Truncate(time.Second)
	return sameCold && a == b
}

func (t *Endpoints) put(e Endpoint) {
	t.change++
	t.records[e.ID] = &record{endpoint: e, change: t.change}
}

// Depart marks an incarnation as gone and reports whether it was known; a born of zero means the one that is known.
func (t *Endpoints) Depart(now time.Time, id string, born int64) bool {
	r := t.records[id]
	if r == nil || r.endpoint.State == Gone || born != 0 && born < r.endpoint.Born {
		return false
	}
	gone := r.endpoint
	gone.State = Gone
	gone.Heard = now
	t.put(gone)
	return true
}

// Get returns the record of an endpoint.
func (t *Endpoints) Get(id string) (Endpoint, bool) {
	r := t.records[id]
	if r == nil {
		return Endpoint{}, false
	}
	return r.endpoint, true
}

// Expire forgets endpoints that have been silent, or gone, for a long time.
func (t *Endpoints) Expire(now time.Time) {
	for id, r := range t.records {
		limit := forgetAfter
		if r.endpoint.State == Gone {
			limit = goneRetention
		}
		if now.Sub(r.endpoint.Heard) > limit {
			delete(t.records, id)
		}
	}
}

// Since returns the records that changed after a change, in the order of their ids, and the number of the last change.
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

// Heard returns the records that were renewed after a time, in the order of their ids.
func (t *Endpoints) Heard(after time.Time) []Endpoint {
	var heard []Endpoint
	for _, r := range t.records {
		if r.endpoint.Heard.After(after) {
			heard = append(heard, r.endpoint)
		}
	}
	slices.SortFunc(heard, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return heard
}

// Gateways is a table of the gateways that are in touch.
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

// NewGateways returns an empty table in which a gateway stays for a lease after its last sign of life.
func NewGateways(lease time.Duration) *Gateways {
	return &Gateways{lease: lease, records: map[string]*gatewayRecord{}}
}

// Announce takes a sign of life; one of an earlier incarnation, or heard earlier than the last one, is dropped.
func (t *Gateways) Announce(g Gateway) {
	old := t.records[g.Name]
	if old != nil && (g.Born < old.gateway.Born || g.Born == old.gateway.Born && g.Heard.Before(old.gateway.Heard)) {
		return
	}
	if old != nil && !old.gone && old.gateway.sameWord(g) {
		old.gateway.Heard = g.Heard
		return
	}
	t.change++
	t.records[g.Name] = &gatewayRecord{gateway: g, change: t.change}
}

// Leave marks a gateway as gone at once if it is still the same incarnation.
func (t *Gateways) Leave(name string, born int64) {
	r := t.records[name]
	if r == nil || r.gone || r.gateway.Born != born {
		return
	}
	t.change++
	r.gone, r.change = true, t.change
}

// Expire marks gateways whose lease has ended as gone.
func (t *Gateways) Expire(now time.Time) {
	for name, r := range t.records {
		if !r.gone && now.Sub(r.gateway.Heard) > t.lease {
			t.Leave(name, r.gateway.Born)
		}
		if r.gone && now.Sub(r.gateway.Heard) > goneRetention {
			delete(t.records, name)
		}
	}
}

// Live returns the gateways that are in touch, in the order of their names.
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

// GatewayChange is a change of the table: a gateway that is in touch, or gone.
type GatewayChange struct {
	Gateway Gateway
	Gone    bool
}

// Since returns the changes after a change, and the number of the last change.
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

// Heard returns the gateways in touch that were renewed after a time.
func (t *Gateways) Heard(after time.Time) []Gateway {
	return slices.DeleteFunc(t.Live(), func(g Gateway) bool { return !g.Heard.After(after) })
}
