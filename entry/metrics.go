package entry

import (
	"context"
	"sync"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/membership"
	"arbutusreel/stream"
)

// dispatchVar is the name of the dispatcher's counts in the metrics.
const dispatchVar = "dispatch"

// requestBytesVar is the name of the memory of requests in progress in the metrics.
const requestBytesVar = "requestBytes"

// answeredCode is what an answered request counts as in the metrics.
const answeredCode = "answered"

// timing is when a request began, was first sent to an engine, and got its first piece back.
type timing struct {
	mu    sync.Mutex
	began time.Time
	sent  time.Time
	first time.Time
}

// timingKey is the key of the timing in a request's context.
type timingKey struct{}

func withTiming(ctx context.Context, t *timing) context.Context {
	return context.WithValue(ctx, timingKey{}, t)
}

// added returns the time that the entry added to the first token by now: before it was sent on, and after it came back.
func (t *timing) added(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent.IsZero() || t.first.IsZero() {
		return 0, false
	}
	return t.sent.Sub(t.began) + now.Sub(t.first), true
}

func (t *timing) note(target *time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target.IsZero() {
		*target = time.Now()
	}
}

// timedModels notes when a request is sent to an engine.
type timedModels struct {
	models dispatch.ModelCaller
}

var _ dispatch.ModelCaller = timedModels{}

// Generate notes the time and passes the request on.
func (m timedModels) Generate(ctx context.Context, e membership.Endpoint, r dispatch.Request, attempt dispatch.Attempt, sink stream.Sink) (stream.End, error) {
	if t, ok := ctx.Value(timingKey{}).(*timing); ok {
		t.note(&t.sent)
	}
	return m.models.Generate(ctx, e, r, attempt, sink)
}
