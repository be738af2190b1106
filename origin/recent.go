package origin

import "time"

// Recent holds the latest records of one gateway in order, so that each of its readers can send them at its own pace,
// and send them again after a failure. Records are numbered from 0.
type Recent struct {
	period     time.Duration
	maxRecords int
	records    []recentRecord
	// first is the number of the oldest record.
	first int
}

type recentRecord struct {
	at     time.Time
	key    Key
	origin Origin
}

// NewRecent returns an empty collection that keeps records for the period, and at most maxRecords of them.
func NewRecent(period time.Duration, maxRecords int) *Recent {
	return &Recent{period: period, maxRecords: maxRecords}
}

// Add appends a record, and drops those that are too old or too many.
func (r *Recent) Add(now time.Time, key Key, o Origin) {
	r.records = append(r.records, recentRecord{at: now, key: key, origin: o})
	r.expire(now)
}

func (r *Recent) expire(now time.Time) {
	n := max(len(r.records)-r.maxRecords, 0)
	for n < len(r.records) && now.Sub(r.records[n].at) > r.period {
		n++
	}
	clear(r.records[:n])
	r.records, r.first = r.records[n:], r.first+n
}

// Since returns the records from the number position on, the position that follows the last one, and the number of
// records from position on that are no longer kept.
func (r *Recent) Since(now time.Time, position int) (batches []Batch, next, missed int) {
	r.expire(now)
	missed = max(r.first-position, 0)
	b := newBatchBuilder()
	for _, record := range r.records[min(max(position-r.first, 0), len(r.records)):] {
		b.add(record.key, record.origin)
	}
	return b.batches, r.first + len(r.records), missed
}

// First returns the number of the oldest record.
func (r *Recent) First(now time.Time) int {
	r.expire(now)
	return r.first
}
