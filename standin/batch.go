package standin

import (
	"container/heap"
	"context"
	"sync"
)

// batch is the slots of an engine; requests that wait for one are served by priority, then in the order of arrival.
type batch struct {
	mu      sync.Mutex
	free    int
	running int
	waiting waiters
	arrived int64
	// waitingTokens is the number of prompt tokens that wait.
	waitingTokens int
}

// waiter is one request that waits for a slot; admitted is closed when it has one.
type waiter struct {
	priority int
	arrival  int64
	tokens   int
	index    int
	admitted chan struct{}
}

func newBatch(slots int) *batch { return &batch{free: slots} }

// acquire waits for a slot; it reports false if ctx ends first.
func (b *batch) acquire(ctx context.Context, priority, tokens int) bool {
	w := b.enter(priority, tokens)
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
		return b.leave(w)
	}
}

func (b *batch) enter(priority, tokens int) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived++
	w := &waiter{priority: priority, arrival: b.arrived, tokens: tokens, admitted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.waitingTokens += tokens
	b.admit()
	return w
}

// leave takes a request out of the queue; a request that has a slot by now gives it back.
func (b *batch) leave(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		b.free++
		b.running--
		b.admit()
		return false
	}
	heap.Remove(&b.waiting, w.index)
	b.waitingTokens -= w.tokens
	return false
}

// release gives a slot back.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free++
	b.running--
	b.admit()
}

// admit gives free slots to the first requests of the queue.
func (b *batch) admit() {
	for b.free > 0 && b.waiting.Len() > 0 {
		w, _ := heap.Pop(&b.waiting).(*waiter)
		b.waitingTokens -= w.tokens
		b.free--
		b.running++
		close(w.admitted)
	}
}

// load returns the numbers of requests that run and wait, and the prompt tokens that wait.
func (b *batch) load() (running, queued, queuedTokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.waiting.Len(), b.waitingTokens
}

// waiters is a heap of requests by priority and arrival.
type waiters []*waiter

var _ heap.Interface = (*waiters)(nil)

// Len returns the number of requests.
func (q waiters) Len() int { return len(q) }

// Less reports whether one request is served before another.
func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

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
