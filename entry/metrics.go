package entry

import (
	"context"
	"sync"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/membership"
	"arbutusreel/stream"
)

// dispatchVar is the metric of the dispatcher's counters.
const dispatchVar = "dispatch"

// requestBytesVar is the metric of the memory reserved for requests in progress, in bytes.
const requestBytesVar = "requestBytes"

// answeredCode is the code under which answered requests are counted.
const answeredCode = "answered"

// timing records when a request began, when it was first sent to an engine, and when the first piece arrived.
type timing struct {
	mu    sync.Mutex
	began time.Time
	sent  time.Time
	first time.Time
}

// timingKey is the context key of the timing.
type timingKey struct{}

func withTiming(ctx context.Context, t *timing) context.Context {
	return context.WithValue(ctx, timingKey{}, t)
}

// addedLatency returns the latency that the entry has added to the first token: the time until the request was sent,
// and the time since the first piece arrived. It returns false if either has not happened.
func (t *timing) addedLatency(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent.IsZero() || t.first.IsZero() {
		return 0, false
	}
	return t.sent.Sub(t.began) + now.Sub(t.first), true
}

func (t *timing) record(target *time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target.IsZero() {
		*target = time.Now()
	}
}

// timedModelCaller records when a request is first sent to an engine.
type timedModelCaller struct {
	next dispatch.ModelCaller
}

var _ dispatch.ModelCaller = timedModelCaller{}

// Generate records the time and passes the request on.
func (m timedModelCaller) Generate(ctx context.Context, e membership.Endpoint, r dispatch.Request, attempt dispatch.Attempt, sink stream.Sink) (stream.End, error) {
	if t, ok := ctx.Value(timingKey{}).(*timing); ok {
		t.record(&t.sent)
	}
	return m.next.Generate(ctx, e, r, attempt, sink)
}

// RefusesConnections passes the question on.
func (m timedModelCaller) RefusesConnections(ctx context.Context, e membership.Endpoint) bool {
	return m.next.RefusesConnections(ctx, e)
}

// Connects passes the question on.
func (m timedModelCaller) Connects(ctx context.Context, e membership.Endpoint) bool {
	return m.next.Connects(ctx, e)
}
