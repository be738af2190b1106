package gateway

import (
	"slices"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/origin"
	"arbutusreel/wiregen"
)

const (
	// bornTolerance bounds the difference between the clocks of this gateway and of an endpoint, by which the start of an incarnation
	// is compared with the beginning of a stream.
	bornTolerance = time.Second
	// maxServedStreams bounds the streams of one endpoint that are compared with its later incarnations.
	maxServedStreams = 1024
)

// servedStream is a stream that an endpoint began while this gateway knew the given incarnation and version of it.
type servedStream struct {
	key      origin.Key
	born     int64
	software string
	at       time.Time
}

// recordServed records that an endpoint has begun a stream. The endpoint may have restarted with another software version without
// this gateway knowing it yet.
func (o *origins) recordServed(now time.Time, requestID string, e fleet.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := o.served[e.ID]
	expired := 0
	for expired < len(kept) && (now.Sub(kept[expired].at) > originRetention || len(kept)-expired >= maxServedStreams) {
		expired++
	}
	o.served[e.ID] = append(kept[expired:], servedStream{key: origin.NewKey(requestID), born: e.Born, software: e.Software, at: now})
}

// observe compares the streams begun lately with the incarnations in a view. Where a later incarnation with another version may have
// begun a stream, the record is replaced by the zero origin at all gateways, so that the stream is not resumed.
func (o *origins) observe(now time.Time, v *view) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v == o.observed {
		return
	}
	o.observed = v
	for _, endpoints := range v.endpoints {
		for _, e := range endpoints {
			if served := o.served[e.ID]; len(served) > 0 && e.Born > served[0].born {
				o.served[e.ID] = o.correct(now, e, served)
			}
		}
	}
	for id, served := range o.served {
		if len(served) == 0 || now.Sub(served[len(served)-1].at) > originRetention {
			delete(o.served, id)
		}
	}
}

// correct replaces the records of streams that an incarnation may have begun instead of an earlier one, and returns the streams that
// began after this gateway knew the incarnation. o.mu is locked.
func (o *origins) correct(now time.Time, e fleet.Endpoint, served []servedStream) []servedStream {
	for _, s := range served {
		if e.Born > s.born && e.Software != s.software && s.at.Add(bornTolerance).UnixMilli() >= e.Born && o.table.Replace(now, s.key, origin.Origin{}) {
			o.recent.Add(now, s.key, origin.Origin{})
			o.relay(s.key, origin.Origin{}, wiregen.ReportLink_row, wiregen.ReportLink_column, wiregen.ReportLink_domain)
		}
	}
	return slices.DeleteFunc(slices.Clone(served), func(s servedStream) bool { return s.born < e.Born })
}

// store adds a record that arrived over a link and reports whether it is new. The zero origin replaces a known one. o.mu is locked.
func (o *origins) store(now time.Time, key origin.Key, of origin.Origin) bool {
	if of == (origin.Origin{}) {
		return o.table.Replace(now, key, of)
	}
	return o.table.Add(now, key, of)
}
