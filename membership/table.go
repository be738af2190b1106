package membership

import (
	"slices"
	"strings"
	"time"
)

// record is an endpoint with the end of its lease.
type record struct {
	endpoint Endpoint
	expires  time.Time
	// whole is the sequence of the last whole announcement.
	whole int64
}

// tombstoneTime is how long the table knows an endpoint whose lease has ended, so that a late message does not revive it.
const tombstoneTime = 10 * time.Minute

// leavingGrace is how much longer a leaving endpoint is listed, so that an entry that missed this cannot bring it back.
const leavingGrace = 5 * time.Second

// maxTombstones is the most endpoints without a lease that the table knows.
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

// Announce takes an announcement with its lease and reports whether it was newer than what was known.
//
// An endpoint whose lease has ended comes back only by a newer announcement.
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
	t.records[e.Name] = record{endpoint: e, expires: now.Add(lease), whole: e.Sequence}
	return true
}

// Renewal is an announcement that says nothing new but, at the most, a load and cache events.
type Renewal struct {
	Name        string
	Incarnation int64
	Sequence    int64
	// Whole is the sequence of the whole announcement that is renewed.
	Whole int64
	// Load is nil if it has not changed.
	Load        *Load
	CacheEvents []CacheEvent
	// CacheSequence is 0 if there are no cache events.
	CacheSequence int64
}

// Renew renews a lease and reports whether the table holds the whole announcement that is renewed; one that is not newer than
// what is known changes nothing.
func (t *Table) Renew(now time.Time, r Renewal, lease time.Duration) bool {
	known, ok := t.records[r.Name]
	e := known.endpoint
	if !ok || !now.Before(known.expires) || e.Incarnation != r.Incarnation || known.whole != r.Whole || e.Leaving {
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
	t.records[r.Name] = record{endpoint: e, expires: now.Add(lease), whole: known.whole}
	return true
}

// Expire forgets the endpoints whose lease has ended and returns them in the order of their names.
func (t *Table) Expire(now time.Time) []Endpoint {
	var expired []Endpoint
	for name, r := range t.records {
		if now.Before(r.expires) {
			continue
		}
		delete(t.records, name)
		expired = append(expired, r.endpoint)
		t.bury(now, r.endpoint)
	}
	t.forget(now)
	slices.SortFunc(expired, byName)
	return expired
}

// bury remembers which announcement of an endpoint was the last.
func (t *Table) bury(now time.Time, e Endpoint) {
	t.tombstones[e.Name] = record{
		endpoint: Endpoint{Name: e.Name, Incarnation: e.Incarnation, Sequence: e.Sequence},
		expires:  now.Add(tombstoneTime),
	}
}

// forget drops the tombstones whose time is over, and others if there are too many.
func (t *Table) forget(now time.Time) {
	for name, r := range t.tombstones {
		if !now.Before(r.expires) || len(t.tombstones) > maxTombstones {
			delete(t.tombstones, name)
		}
	}
}

// Endpoints returns the endpoints under lease, leaving ones included, in the order of their names.
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

// Lease returns what is left of an endpoint's lease, or zero if it has none.
func (t *Table) Lease(now time.Time, name string) time.Duration {
	return max(t.records[name].expires.Sub(now), 0)
}

func byName(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) }
