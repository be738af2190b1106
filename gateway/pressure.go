package gateway

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arbutusreel/clock"
	"arbutusreel/metrics"
	"arbutusreel/pressure"
	"arbutusreel/problem"
)

const (
	// pressurePeriod is the interval at which answers in progress are counted.
	pressurePeriod = 250 * time.Millisecond
	// callerWriteBuffer is the send buffer of a caller's socket, of which the kernel allocates twice as much. Without a
	// bound, it grows to megabytes for a caller that reads slowly.
	callerWriteBuffer = 24 << 10
	// unreadAnswerTime is how long after the deadline of a request its caller may take to read the answer.
	unreadAnswerTime = 5 * time.Second
	// fullRetryAfter is the least retry delay given to the caller of a large request that is refused for memory.
	fullRetryAfter = 500 * time.Millisecond
)

// answers holds the answers in progress and the memory for them and for bodies.
type answers struct {
	mu     sync.Mutex
	budget *pressure.Budget
	open   map[*answerWriter]bool
	paused atomic.Int64
	ended  atomic.Int64
}

func newAnswers(memoryBytes int64, m *metrics.Set) *answers {
	a := &answers{budget: pressure.NewBudget(memoryBytes), open: map[*answerWriter]bool{}}
	m.Publish("heldBytes", expvar.Func(func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.budget.Held()
	}))
	m.Publish("streamsPaused", expvar.Func(func() any { return a.paused.Load() }))
	m.Publish("streamsEnded", expvar.Func(func() any { return a.ended.Load() }))
	return a
}

// States of the answer to a request.
const (
	// answerAwaited: the answer may begin.
	answerAwaited int32 = iota
	// answerBegun: a part of the answer may have been written, so that no other answer is possible.
	answerBegun
	// answerGivenUp: the attempts of the request were ended before its answer began.
	answerGivenUp
)

// answerWriter writes an answer to a caller and records since when a write has waited for the caller.
type answerWriter struct {
	http.ResponseWriter

	answers *answers
	// writingNanos is the Unix time at which the present write began; zero between writes.
	writingNanos atomic.Int64
	// state is answerAwaited, answerBegun or answerGivenUp.
	state atomic.Int32
	// ended is set if the answer was ended because the caller did not read it.
	ended atomic.Bool
	// held is what the request's body and its buffered answer hold.
	held int64
}

// writer returns a writer for the answer to a request; close must be called at its end.
func (a *answers) writer(w http.ResponseWriter) *answerWriter {
	aw := &answerWriter{ResponseWriter: w, answers: a}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[aw] = true
	return aw
}

// close removes the answer and what it held.
func (w *answerWriter) close() {
	w.answers.mu.Lock()
	defer w.answers.mu.Unlock()
	delete(w.answers.open, w)
	w.answers.budget.Release(w.held)
}

// anyAwaited reports whether there is a request whose answer has not begun.
func (a *answers) anyAwaited() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.open {
		if w.state.Load() != answerBegun {
			return true
		}
	}
	return false
}

// takeBody counts the body of the request, or returns false if there is no memory for it.
func (w *answerWriter) takeBody(n int64) bool {
	w.answers.mu.Lock()
	defer w.answers.mu.Unlock()
	if !w.answers.budget.TakeBody(n) {
		return false
	}
	w.held += n
	return true
}

// hold counts bytes that are held for the request; a negative number is released.
func (w *answerWriter) hold(n int64) {
	w.answers.mu.Lock()
	defer w.answers.mu.Unlock()
	w.answers.budget.Hold(n)
	w.held += n
}

// growBuffer counts n further bytes of a buffer that holds some already in the memory budget, or returns false if the buffer
// becomes large and the budget is used up.
func (w *answerWriter) growBuffer(held, n int64) bool {
	w.answers.mu.Lock()
	defer w.answers.mu.Unlock()
	if !w.answers.budget.Grow(held, n) {
		return false
	}
	w.held += n
	return true
}

// Unwrap returns the writer of the HTTP server.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// begin marks the answer as begun. It reports false if it was given up before.
func (w *answerWriter) begin() bool {
	return w.state.CompareAndSwap(answerAwaited, answerBegun) || w.state.Load() == answerBegun
}

// giveUp marks the answer as given up. It reports false if it has begun.
func (w *answerWriter) giveUp() bool { return w.state.CompareAndSwap(answerAwaited, answerGivenUp) }

// WriteHeader begins the answer. An answer that needs nothing more of an attempt may also be written after it was given up.
func (w *answerWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer, and records while it waits for the caller.
func (w *answerWriter) Write(b []byte) (int, error) {
	w.writingNanos.Store(time.Now().UnixNano())
	defer w.writingNanos.Store(0)
	return w.ResponseWriter.Write(b)
}

// FlushError sends what was written to the caller.
func (w *answerWriter) FlushError() error {
	w.writingNanos.Store(time.Now().UnixNano())
	defer w.writingNanos.Store(0)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// abort ends the answer so that it does not look complete; it does not return. The connection is closed without the end mark, or
// reset under HTTP/1.0, where a body without length ends with its connection.
func (w *answerWriter) abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// relieve counts the answers and ends those that the budget has no room for, without the end mark.
func (a *answers) relieve(now time.Time) (ended int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	writers := make([]*answerWriter, 0, len(a.open))
	states := make([]pressure.Answer, 0, len(a.open))
	for w := range a.open {
		var unread time.Duration
		if since := w.writingNanos.Load(); since != 0 {
			unread = max(now.Sub(time.Unix(0, since)), 1)
		}
		writers, states = append(writers, w), append(states, pressure.Answer{Unread: unread})
	}
	r := a.budget.Relieve(states)
	a.paused.Store(int64(r.Paused))
	for _, i := range r.End {
		w := writers[i]
		w.ended.Store(true)
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Unix(1, 0))
	}
	a.ended.Add(int64(len(r.End)))
	return len(r.End)
}

// relievePressure keeps what callers leave unread within the budget until ctx ends.
func (g *Gateway) relievePressure(ctx context.Context) {
	for clock.Sleep(ctx, pressurePeriod) {
		if n := g.answers.relieve(time.Now()); n > 0 {
			g.log.Warn().Int("answers", n).Int64("paused", g.answers.paused.Load()).Msg("answers of slow callers ended for memory")
		}
	}
}

// boundUnread bounds how long a caller may leave its answer unread.
func (j *job) boundUnread() {
	_ = http.NewResponseController(j.w).SetWriteDeadline(j.deadline.Add(unreadAnswerTime))
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// limitSocketBuffers bounds what the kernel holds for a caller that does not read.
func limitSocketBuffers(ctx context.Context, c net.Conn) context.Context {
	buffered, ok := c.(writeBuffered)
	if !ok {
		return ctx
	}
	_ = buffered.SetWriteBuffer(callerWriteBuffer)
	return context.WithValue(ctx, connKey{}, buffered)
}

// writeBuffered is a connection whose send buffer can be sized.
type writeBuffered interface {
	SetWriteBuffer(bytes int) error
}

// growSocketBuffer has the kernel take the rest of a buffered answer, which it goes on sending when the process has ended.
func growSocketBuffer(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(writeBuffered); ok {
		_ = c.SetWriteBuffer(maxBufferedBytes)
	}
}

// instanceFull is the answer to a large request for which there is no memory.
func (j *job) instanceFull() *problem.Problem {
	after := fullRetryAfter + time.Duration(j.g.placer.draw()*float64(fullRetryAfter))
	return problem.New(problem.InstanceFull, http.StatusServiceUnavailable, "the gateway has no memory for the body").WithRetryAfter(after)
}
