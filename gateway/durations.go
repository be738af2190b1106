package gateway

import (
	"sync"
	"time"

	"arbutusreel/admission"
	"arbutusreel/routes"
)

// durations holds how long the requests of each service and kind of route took. It is safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	byKind map[durationKey]admission.Durations
}

type durationKey struct {
	service string
	kind    routes.Kind
}

func newDurations() *durations { return &durations{byKind: map[durationKey]admission.Durations{}} }

// record adds a request that ended at now.
func (d *durations) record(now time.Time, service string, kind routes.Kind, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := durationKey{service: service, kind: kind}
	d.byKind[key] = d.byKind[key].With(now, took)
}

// endsIn reports whether a request that begins now is expected to end within a time, and whether any like it is known.
func (d *durations) endsIn(now time.Time, service string, kind routes.Kind, left time.Duration) (ends, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byKind[durationKey{service: service, kind: kind}].EndsIn(now, left)
}
