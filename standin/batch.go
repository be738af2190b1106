package standin

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// batch is the slots and the KV tokens of an engine; requests that wait for them are served by priority, then in the
// order of arrival. A request that does not fit holds up those behind it.
type batch struct {
	mu      sync.Mutex
	slots   int
	running []*waiter
	waiting waiters
	arrived int64
	// waitingTokens is the number of prompt tokens that wait.
	waitingTokens int
	pool          pool
	meter         meter
}

// waiter is one request that waits for a slot and its reservation; admitted is closed when it has them.
type waiter struct {
	priority int
	arrival  int64
	tokens   int
	index    int
	admitted chan struct{}
	// held is what the request holds of the pool while it runs, and used what it uses of it.
	held int
	used int
	gone bool
}

// newBatch returns an empty batch; zero KV tokens are unbounded.
func newBatch(slots, kvTokens int) *batch {
	return &batch{slots: slots, pool: pool{capacity: kvTokens}, meter: meter{at: time.Now()}}
}

// acquire waits for a slot and the reservation; it returns nil if ctx ends first.
func (b *batch) acquire(ctx context.Context, priority, tokens, reserve int) *waiter {
	w := b.enter(priority, tokens, reserve)
	if !b.wait(ctx, w) {
		return nil
	}
	return w
}

// wait waits until a request that has entered runs; it reports false, and the request has left, if ctx ends first.
func (b *batch) wait(ctx context.Context, w *waiter) bool {
	b.mu.Lock()
	admitted := w.admitted
	b.mu.Unlock()
	select {
	case <-admitted:
		return true
	case <-ctx.Done():
		b.leave(w)
		return false
	}
}

// enter lets a request wait that has a prompt of that many tokens and reserves that many more.
func (b *batch) enter(priority, tokens, reserve int) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived++
	w := &waiter{priority: priority, arrival: b.arrived, tokens: tokens, used: tokens, held: b.pool.bounded(tokens + reserve)}
	b.queue(w)
	b.admit()
	return w
}

func (b *batch) queue(w *waiter) {
	w.admitted = make(chan struct{})
	heap.Push(&b.waiting, w)
	b.waitingTokens += w.tokens
}

// leave takes a request out, whether it waits or runs; one that runs gives back what it held.
func (b *batch) leave(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case w.gone:
		return
	case w.index < 0:
		b.stop(w)
	default:
		heap.Remove(&b.waiting, w.index)
		b.waitingTokens -= w.tokens
	}
	w.gone = true
	b.admit()
}

// grow counts one more token of a running request. If the pool overflows, the last requests by priority and arrival
// are put back; it reports false if that befell this request, now or before.
func (b *batch) grow(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		return false
	}
	b.pass()
	w.used++
	b.pool.used++
	if w.used > w.held {
		w.held++
		b.pool.held++
	}
	for b.pool.over() {
		b.preempt(b.last())
	}
	if w.index >= 0 {
		w.used--
		return false
	}
	b.meter.use.MostTokens = max(b.meter.use.MostTokens, int64(b.pool.used))
	return true
}

// last returns the running request that is put back first.
func (b *batch) last() *waiter {
	last := b.running[0]
	for _, w := range b.running[1:] {
		if last.before(w) {
			last = w
		}
	}
	return last
}

// preempt puts a running request back; it starts again with room to grow, and reads its prompt and answer again.
func (b *batch) preempt(w *waiter) {
	b.stop(w)
	b.meter.use.Preempted++
	w.held = b.pool.bounded(max(w.held, w.used+growTokens))
	w.tokens = w.used
	b.queue(w)
}

// stop takes a request out of those that run.
func (b *batch) stop(w *waiter) {
	b.pass()
	for i := range b.running {
		if b.running[i] == w {
			b.running = append(b.running[:i], b.running[i+1:]...)
			break
		}
	}
	b.pool.held -= w.held
	b.pool.used -= w.used
}

// admit starts the first requests of the queue while they fit.
func (b *batch) admit() {
	for len(b.running) < b.slots && b.waiting.Len() > 0 && b.pool.fits(b.waiting[0].held) {
		b.pass()
		w, _ := heap.Pop(&b.waiting).(*waiter)
		b.waitingTokens -= w.tokens
		b.running = append(b.running, w)
		b.pool.held += w.held
		b.pool.used += w.used
		b.meter.use.MostTokens = max(b.meter.use.MostTokens, int64(b.pool.used))
		close(w.admitted)
	}
}

// pass adds the time until now to the use.
func (b *batch) pass() {
	b.meter.pass(time.Now(), float64(len(b.running))/float64(max(b.slots, 1)), b.pool.share(b.pool.held))
}

// load returns the numbers of requests that run and wait, and the prompt tokens that wait.
func (b *batch) load() (running, queued, queuedTokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), b.waiting.Len(), b.waitingTokens
}

// fill returns the share of the KV tokens that running requests use.
func (b *batch) fill() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool.share(b.pool.used)
}

// use returns the use since the start.
func (b *batch) use() Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pass()
	return b.meter.use
}

// before reports whether a request is served before another.
func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.arrival < other.arrival
}

// waiters is a heap of requests by priority and arrival.
type waiters []*waiter

var _ heap.Interface = (*waiters)(nil)

// Len returns the number of requests.
func (q waiters) Len() int { return len(q) }

// Less reports whether one request is served before another.
func (q waiters) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap exchanges two requests.
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push adds a *waiter.
func (q *waiters) Push(x any) {
	w, _ := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop removes the last *waiter.
func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}
