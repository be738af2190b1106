package distribution

import "time"

// avoidPeriod is the time for which a source that failed is tried after all others.
const avoidPeriod = time.Minute

// Failures remembers the sources that failed; it is not safe for concurrent use.
type Failures struct {
	until map[string]time.Time
}

// NewFailures returns an empty memory.
func NewFailures() *Failures { return &Failures{until: map[string]time.Time{}} }

// Failed notes that a source fell silent, refused or had no word of a leader.
func (f *Failures) Failed(now time.Time, source string) { f.until[source] = now.Add(avoidPeriod) }

// Order returns the sources with those that failed lately at the end, and otherwise in their order.
func (f *Failures) Order(now time.Time, sources []string) []string {
	var ordered, avoided []string
	for _, source := range sources {
		if now.Before(f.until[source]) {
			avoided = append(avoided, source)
			continue
		}
		delete(f.until, source)
		ordered = append(ordered, source)
	}
	return append(ordered, avoided...)
}
