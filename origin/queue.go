package origin

// Queue holds records that wait to be sent. If it is full, the oldest ones are dropped.
type Queue struct {
	records []queued
	// first is the index of the oldest record, once the queue is full.
	first, maxRecords int
}

type queued struct {
	key    Key
	origin Origin
}

// NewQueue returns an empty queue for at most maxRecords records, which must be positive.
func NewQueue(maxRecords int) *Queue { return &Queue{maxRecords: maxRecords} }

// Push appends a record, and reports whether the oldest one was dropped for it.
func (q *Queue) Push(key Key, o Origin) (dropped bool) {
	if len(q.records) < q.maxRecords {
		q.records = append(q.records, queued{key: key, origin: o})
		return false
	}
	q.records[q.first] = queued{key: key, origin: o}
	q.first = (q.first + 1) % q.maxRecords
	return true
}

// Take removes all records and returns them by origin.
func (q *Queue) Take() []Batch {
	b := newBatchBuilder()
	for i := range q.records {
		r := q.records[(q.first+i)%len(q.records)]
		b.add(r.key, r.origin)
	}
	clear(q.records)
	q.records, q.first = q.records[:0], 0
	return b.batches
}

// Len returns the number of records.
func (q *Queue) Len() int { return len(q.records) }
