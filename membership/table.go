package membership

import (
	"slices"
	"strings"
	"time"
)

// record is an endpoint with the expiry time of its lease.
type record struct {
	endpoint Endpoint
	expires  time.Time
	// fullSequence is the sequence of the last full announcement.
	fullSequence int64
}

// tombstoneRetention is how long the table keeps the last sequence of an endpoint whose lease has expired, so that a
// late message does not revive it.
const tombstoneRetention = 10 * time.Minute

// leavingGrace is added to the lease of a leaving endpoint, so that an entry that missed the leaving announcement
// cannot reintroduce the endpoint.
const leavingGrace = 5 * time.Second

// maxTombstones is the maximum number of endpoints without a lease that the table keeps.
const maxTombstones = 20000

// Table holds the endpoints of one region; it is not safe for concurrent use.
type Table struct {
	records    map[string]record
	tombstones map[string]record
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[string]record{}, tombstones: map[string]record{}}
}

// Announce applies an announcement with its lease and reports whether it was newer than the known state.
//
// An endpoint whose lease has expired is listed again only after a newer announcement.
func (t *Table) Announce(now time.Time, e Endpoint, lease time.Duration) bool {
	old, ok := t.records[e.Name]
	if !ok {
		old, ok = t.tombstones[e.Name]
	}
	if ok && !e.newer(old.endpoint) {
		return false
	}
	delete(t.tombstones, e.Name)
	if e.Leaving {
		lease += leavingGrace
	}
	t.records[e.Name] = record{endpoint: e, expires: now.Add(lease), fullSequence: e.Sequence}
	return true
}

// Renewal is an announcement that renews the lease and changes nothing except, optionally, the load and cache events.
type Renewal struct {
	Name        string
	Incarnation int64
	Sequence    int64
	// FullSequence is the sequence of the full announcement that is renewed.
	FullSequence int64
	// Load is nil if it has not changed.
	Load        *Load
	CacheEvents []CacheEvent
	// CacheSequence is 0 if there are no cache events.
	CacheSequence int64
}

// Renew renews a lease and reports whether the table holds the full announcement that is renewed, under a valid lease
// and not leaving. A renewal that is not newer than the known state changes nothing.
func (t *Table) Renew(now time.Time, r Renewal, lease time.Duration) bool {
	known, ok := t.records[r.Name]
	e := known.endpoint
	if !ok || !now.Before(known.expires) || e.Incarnation != r.Incarnation || known.fullSequence != r.FullSequence || e.Leaving {
		return false
	}
	if r.Sequence <= e.Sequence {
		return true
	}
	e.Sequence = r.Sequence
	e.Load.At = now
	if r.Load != nil {
		e.Load = *r.Load
	}
	e.CacheSequence = max(r.CacheSequence, e.CacheSequence+int64(len(e.CacheEvents)))
	e.CacheEvents = r.CacheEvents
	t.records[r.Name] = record{endpoint: e, expires: now.Add(lease), fullSequence: known.fullSequence}
	return true
}

// Expire removes the endpoints whose lease has expired and returns them ordered by name.
func (t *Table) Expire(now time.Time) []Endpoint {
	var expired []Endpoint
	for name, r := range t.records {
		if now.Before(r.expires) {
			continue
		}
		delete(t.records, name)
		expired = append(expired, r.endpoint)
		t.addTombstone(now, r.endpoint)
	}
	t.pruneTombstones(now)
	slices.SortFunc(expired, byName)
	return expired
}

// addTombstone records the incarnation and sequence of an endpoint's last announcement.
func (t *Table) addTombstone(now time.Time, e Endpoint) {
	t.tombstones[e.Name] = record{
		endpoint: Endpoint{Name: e.Name, Incarnation: e.Incarnation, Sequence: e.Sequence},
		expires:  now.Add(tombstoneRetention),
	}
}

// pruneTombstones deletes expired tombstones, and arbitrary others while there are more than maxTombstones.
func (t *Table) pruneTombstones(now time.Time) {
	for name, r := range t.tombstones {
		if !now.Before(r.expires) || len(t.tombstones) > maxTombstones {
			delete(t.tombstones, name)
		}
	}
}

// Endpoints returns the endpoints with a valid lease, including leaving ones, ordered by name.
func (t *Table) Endpoints(now time.Time) []Endpoint {
	endpoints := make([]Endpoint, 0, len(t.records))
	for _, r := range t.records {
		if now.Before(r.expires) {
			endpoints = append(endpoints, r.endpoint)
		}
	}
	slices.SortFunc(endpoints, byName)
	return endpoints
}

// Lease returns the remaining time of an endpoint's lease, or zero if it has none.
func (t *Table) Lease(now time.Time, name string) time.Duration {
	return max(t.records[name].expires.Sub(now), 0)
}

func byName(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) }
