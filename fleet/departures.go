package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Departure is an incarnation of an endpoint that has announced that it is leaving.
type Departure struct {
	ID   string
	Born int64
}

// Check returns *EndpointError for a departure that names no endpoint. Departures from outside must be checked.
func (d Departure) Check() error {
	if !validID(d.ID) {
		return &EndpointError{Field: "id", Value: d.ID}
	}
	return nil
}

// Departures holds the latest incarnation of each endpoint that has announced in an answer that it is leaving. Such an
// announcement is final: a heartbeat of the same incarnation that says otherwise was sent before it. Use NewDepartures
// to create it.
type Departures struct {
	records map[string]departureRecord
}

type departureRecord struct {
	born int64
	// seenAt is the time of the last announcement.
	seenAt time.Time
}

// NewDepartures returns an empty set.
func NewDepartures() *Departures { return &Departures{records: map[string]departureRecord{}} }

// Add records an announcement and reports whether it was new. An announcement of an earlier incarnation than the
// recorded one is ignored.
func (d *Departures) Add(now time.Time, e Departure) bool {
	old, known := d.records[e.ID]
	if known && e.Born < old.born {
		return false
	}
	d.records[e.ID] = departureRecord{born: e.Born, seenAt: now}
	return !known || e.Born > old.born
}

// Contains reports whether an incarnation is leaving or an incarnation that started after it is, in which case the
// former has ended.
func (d *Departures) Contains(id string, born int64) bool {
	r, known := d.records[id]
	return known && born <= r.born
}

// All returns the recorded departures, ordered by ID.
func (d *Departures) All() []Departure {
	all := make([]Departure, 0, len(d.records))
	for id, r := range d.records {
		all = append(all, Departure{ID: id, Born: r.born})
	}
	slices.SortFunc(all, func(a, b Departure) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Expire drops the records of the endpoints for which listed returns false, once goneRetention has passed since their
// last announcement.
func (d *Departures) Expire(now time.Time, listed func(id string) bool) {
	for id, r := range d.records {
		if now.Sub(r.seenAt) > goneRetention && !listed(id) {
			delete(d.records, id)
		}
	}
}

// Clone returns a copy of the set.
func (d *Departures) Clone() *Departures { return &Departures{records: maps.Clone(d.records)} }
