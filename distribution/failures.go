package distribution

import "time"

// avoidPeriod is the time for which a failed source is ordered after all others.
const avoidPeriod = time.Minute

// Failures records the sources that failed recently; it is not safe for concurrent use.
type Failures struct {
	avoidUntil map[string]time.Time
}

// NewFailures returns a record without failures.
func NewFailures() *Failures { return &Failures{avoidUntil: map[string]time.Time{}} }

// Failed records that a source stopped answering, refused or had no contact with a leader.
func (f *Failures) Failed(now time.Time, source string) { f.avoidUntil[source] = now.Add(avoidPeriod) }

// Order returns the sources in the given order, except that those that failed within avoidPeriod come last.
func (f *Failures) Order(now time.Time, sources []string) []string {
	var ordered, avoided []string
	for _, source := range sources {
		if now.Before(f.avoidUntil[source]) {
			avoided = append(avoided, source)
			continue
		}
		delete(f.avoidUntil, source)
		ordered = append(ordered, source)
	}
	return append(ordered, avoided...)
}
