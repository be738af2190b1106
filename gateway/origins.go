package gateway

import (
	"expvar"
	"sync"
	"time"

	"arbutusreel/metrics"
	"arbutusreel/origin"
	"arbutusreel/wiregen"
)

const (
	// originRetention is how long a caller may take up a broken stream again. Records are kept for at most twice that.
	originRetention = 30 * time.Second
	// maxOrigins bounds the records of a gateway, which knows those of all gateways of the system.
	maxOrigins = 1 << 18
	// maxWaitingOrigins bounds the records that wait to be sent over the links of one kind.
	maxWaitingOrigins = 4096
	// recentOriginPeriod is how long a gateway can send its own records again to one that takes the place of another. A
	// gateway that died silently is replaced after a lease of 3 s.
	recentOriginPeriod = 5 * time.Second
	maxRecentOrigins   = 4096
)

// origins holds what is known about the origins of streams, and what is to be sent to other gateways. It is safe for
// concurrent use.
type origins struct {
	// changed receives a value when records wait to be sent to gateways of the region.
	changed chan struct{}
	// dropped counts the records that were not sent over links of one kind or to one region because too many waited.
	dropped expvar.Int
	// lookups counts the questions to other gateways by result.
	lookups expvar.Map

	mu sync.Mutex
	// table holds this gateway's own records and those that arrived over links; asked holds those that it asked others
	// for, so that they are still passed on when they arrive.
	table, asked *origin.Table
	// waiting holds the records to be sent over the links of each kind.
	waiting map[wiregen.ReportLink]*origin.Queue
	// recent holds this gateway's own records.
	recent *origin.Recent
	// served holds the streams that this gateway's endpoints began lately, by endpoint, and observed the view that they were last
	// compared with.
	served   map[string][]servedStream
	observed *view
}

// newOrigins returns an empty collection and adds its counters to a metrics set.
func newOrigins(set *metrics.Set) *origins {
	o := &origins{
		changed: make(chan struct{}, 1), table: origin.NewTable(originRetention, maxOrigins),
		asked:  origin.NewTable(originRetention, maxOrigins),
		served: map[string][]servedStream{},
		recent: origin.NewRecent(recentOriginPeriod, maxRecentOrigins), waiting: map[wiregen.ReportLink]*origin.Queue{
			wiregen.ReportLink_row:    origin.NewQueue(maxWaitingOrigins),
			wiregen.ReportLink_column: origin.NewQueue(maxWaitingOrigins),
			wiregen.ReportLink_domain: origin.NewQueue(maxWaitingOrigins),
		},
	}
	set.Publish("originsDropped", &o.dropped)
	set.Publish("originLookups", &o.lookups)
	set.Publish("origins", expvar.Func(func() any { return o.count() }))
	return o
}

func (o *origins) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Len() + o.asked.Len()
}

// record adds the origin of a stream that this gateway began to write to a caller, to be sent to other gateways.
func (o *origins) record(now time.Time, requestID string, began origin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := origin.NewKey(requestID)
	if o.table.Add(now, key, began) {
		o.recent.Add(now, key, began)
		o.relay(key, began, wiregen.ReportLink_row, wiregen.ReportLink_column, wiregen.ReportLink_domain)
	}
}

// relay queues a record for the links of some kinds.
func (o *origins) relay(key origin.Key, began origin.Origin, links ...wiregen.ReportLink) {
	for _, link := range links {
		if o.waiting[link].Push(key, began) {
			o.dropped.Add(1)
		}
	}
	signal(o.changed)
}

// find returns the origin of a stream if this gateway has a record of it.
func (o *origins) find(now time.Time, key origin.Key) (origin.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if began, ok := o.table.Find(now, key); ok {
		return began, true
	}
	return o.asked.Find(now, key)
}

// add adds records that this gateway asked another one for.
func (o *origins) add(now time.Time, batches ...origin.Batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range batches {
		for _, key := range b.Keys {
			o.asked.Add(now, key, b.Origin)
		}
	}
}

// receive adds records that arrived over a link, and queues those that are new for the links along which they are passed
// on.
func (o *origins) receive(now time.Time, link wiregen.ReportLink, batches []origin.Batch) {
	if len(batches) == 0 {
		return
	}
	onward := onwardLinks(link)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range batches {
		for _, key := range b.Keys {
			if o.store(now, key, b.Origin) && len(onward) > 0 {
				o.relay(key, b.Origin, onward...)
			}
		}
	}
}

// onwardLinks returns the links along which records are passed on that arrived over a link.
func onwardLinks(link wiregen.ReportLink) []wiregen.ReportLink {
	switch link {
	case wiregen.ReportLink_region:
		return []wiregen.ReportLink{wiregen.ReportLink_row, wiregen.ReportLink_column, wiregen.ReportLink_domain}
	case wiregen.ReportLink_domain:
		return []wiregen.ReportLink{wiregen.ReportLink_row, wiregen.ReportLink_column}
	case wiregen.ReportLink_row:
		return []wiregen.ReportLink{wiregen.ReportLink_column}
	default:
		return nil
	}
}

// takeInto moves the waiting records into the messages for the links, and adds the messages that are missing.
func (o *origins) takeInto(messages map[wiregen.ReportLink]*wiregen.OutstandingReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for link, queue := range o.waiting {
		if queue.Len() == 0 {
			continue
		}
		if messages[link] == nil {
			messages[link] = &wiregen.OutstandingReport{Link: link}
		}
		messages[link].Origins = encodeOrigins(queue.Take())
	}
}

// ownRecords returns this gateway's own records from a position on, or all that are kept if it is negative, and the next
// position.
func (o *origins) ownRecords(now time.Time, position int) ([]origin.Batch, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if position < 0 {
		position = o.recent.First(now)
	}
	batches, next, missed := o.recent.Since(now, position)
	o.dropped.Add(int64(missed))
	return batches, next
}

// all returns all records, those that were asked for last; a record may occur twice.
func (o *origins) all(now time.Time) []origin.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append(o.table.Batches(now), o.asked.Batches(now)...)
}

func encodeOrigins(batches []origin.Batch) []*wiregen.OriginBatch {
	encoded := make([]*wiregen.OriginBatch, 0, len(batches))
	for _, b := range batches {
		m := &wiregen.OriginBatch{Service: b.Service, Software: b.Software, Keys: make([]uint64, len(b.Keys))}
		for i, key := range b.Keys {
			m.Keys[i] = uint64(key)
		}
		encoded = append(encoded, m)
	}
	return encoded
}

func decodeOrigins(batches []*wiregen.OriginBatch) []origin.Batch {
	decoded := make([]origin.Batch, 0, len(batches))
	for _, m := range batches {
		b := origin.Batch{Origin: origin.Origin{Service: m.GetService(), Software: m.GetSoftware()}, Keys: make([]origin.Key, len(m.GetKeys()))}
		for i, key := range m.GetKeys() {
			b.Keys[i] = origin.Key(key)
		}
		decoded = append(decoded, b)
	}
	return decoded
}
