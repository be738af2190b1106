package origin

import "time"

// Table holds records for at least the retention and at most twice that, unless there are too many of them.
type Table struct {
	retention time.Duration
	// generationSize is the number of records at which a generation is full.
	generationSize int
	// current takes new records; previous holds those of the generation before.
	current, previous *generation
	// began is when the current generation began.
	began time.Time
}

// generation holds the records of a period. Each record refers to its origin by number.
type generation struct {
	records map[Key]uint32
	origins []Origin
	numbers map[Origin]uint32
}

func newGeneration() *generation {
	return &generation{records: map[Key]uint32{}, numbers: map[Origin]uint32{}}
}

func (g *generation) add(key Key, o Origin) {
	n, ok := g.numbers[o]
	if !ok {
		n = uint32(len(g.origins))
		g.origins, g.numbers[o] = append(g.origins, o), n
	}
	g.records[key] = n
}

func (g *generation) find(key Key) (Origin, bool) {
	n, ok := g.records[key]
	if !ok {
		return Origin{}, false
	}
	return g.origins[n], true
}

// NewTable returns an empty table that holds at most maxRecords records, which must be at least two. If there are more
// within the retention, the newest ones are kept, at least half of maxRecords.
func NewTable(retention time.Duration, maxRecords int) *Table {
	return &Table{retention: retention, generationSize: maxRecords / 2, current: newGeneration(), previous: newGeneration()}
}

// rotate drops the generations that have expired.
func (t *Table) rotate(now time.Time) {
	switch age := now.Sub(t.began); {
	case age >= 2*t.retention:
		t.current, t.previous, t.began = newGeneration(), newGeneration(), now
	case age >= t.retention:
		t.current, t.previous, t.began = newGeneration(), t.current, t.began.Add(t.retention)
	}
}

// Add adds a record and reports whether the key was new. A known key keeps its origin and its age.
func (t *Table) Add(now time.Time, key Key, o Origin) (added bool) {
	if _, known := t.Find(now, key); known {
		return false
	}
	if len(t.current.records) >= t.generationSize {
		t.current, t.previous, t.began = newGeneration(), t.current, now
	}
	t.current.add(key, o)
	return true
}

// Replace sets the origin of a key, known or not, and reports whether that changes it.
func (t *Table) Replace(now time.Time, key Key, o Origin) (changed bool) {
	if old, known := t.Find(now, key); known && old == o {
		return false
	}
	if len(t.current.records) >= t.generationSize {
		t.current, t.previous, t.began = newGeneration(), t.current, now
	}
	t.current.add(key, o)
	return true
}

// Find returns the origin of a key, and whether it is known.
func (t *Table) Find(now time.Time, key Key) (Origin, bool) {
	t.rotate(now)
	if o, ok := t.current.find(key); ok {
		return o, true
	}
	return t.previous.find(key)
}

// Batches returns all records, those of the newer generation first.
func (t *Table) Batches(now time.Time) []Batch {
	t.rotate(now)
	var all []Batch
	for _, g := range []*generation{t.current, t.previous} {
		batches := make([]Batch, len(g.origins))
		for i, o := range g.origins {
			batches[i].Origin = o
		}
		for key, n := range g.records {
			batches[n].Keys = append(batches[n].Keys, key)
		}
		all = append(all, batches...)
	}
	return all
}

// Len returns the number of records, some of which may have expired since the last call with a time.
func (t *Table) Len() int { return len(t.current.records) + len(t.previous.records) }
