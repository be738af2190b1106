package standin

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// batch schedules the slots and KV tokens of an engine. Queued requests are admitted by priority, then in order of
// arrival; a request that does not fit blocks those behind it.
type batch struct {
	mu       sync.Mutex
	slots    int
	running  []*batchRequest
	waiting  requestQueue
	arrivals int64
	// waitingTokens is the number of tokens to prefill in the queue.
	waitingTokens int
	pool          kvPool
	meter         meter
}

// batchRequest is one request that is queued or running; admitted is closed when it has a slot and its reservation.
type batchRequest struct {
	priority      int
	arrival       int64
	prefillTokens int
	index         int
	admitted      chan struct{}
	// held is the number of KV tokens that the request holds while it runs, and used the number that it uses.
	held    int
	used    int
	removed bool
}

// newBatch returns an empty batch; zero kvTokens is unbounded.
func newBatch(slots, kvTokens int) *batch {
	return &batch{slots: slots, pool: kvPool{capacity: kvTokens}, meter: meter{lastUpdate: time.Now()}}
}

// acquire submits a request and waits until it is admitted; it returns nil if ctx ends first.
func (b *batch) acquire(ctx context.Context, priority, tokens, reserve int) *batchRequest {
	w := b.submit(priority, tokens, reserve)
	if !b.wait(ctx, w) {
		return nil
	}
	return w
}

// wait blocks until a submitted request is admitted. If ctx ends first, it removes the request and reports false.
func (b *batch) wait(ctx context.Context, w *batchRequest) bool {
	b.mu.Lock()
	admitted := w.admitted
	b.mu.Unlock()
	select {
	case <-admitted:
		return true
	case <-ctx.Done():
		b.remove(w)
		return false
	}
}

// submit queues a request with the given number of prompt tokens, which reserves the given number of tokens for its
// answer, and admits it at once if it fits.
func (b *batch) submit(priority, tokens, reserve int) *batchRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals++
	w := &batchRequest{
		priority:      priority,
		arrival:       b.arrivals,
		prefillTokens: tokens,
		used:          tokens,
		held:          b.pool.clamp(tokens + reserve),
	}
	b.enqueue(w)
	b.admit()
	return w
}

func (b *batch) enqueue(w *batchRequest) {
	w.admitted = make(chan struct{})
	heap.Push(&b.waiting, w)
	b.waitingTokens += w.prefillTokens
}

// remove takes a request out of the queue or the running batch; a running one releases what it holds.
func (b *batch) remove(w *batchRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case w.removed:
		return
	case w.index < 0:
		b.release(w)
	default:
		heap.Remove(&b.waiting, w.index)
		b.waitingTokens -= w.prefillTokens
	}
	w.removed = true
	b.admit()
}

// grow allocates one more KV token to a running request. If the pool overflows, the requests last in priority and
// arrival are preempted; grow reports false if this request is, or already was, preempted.
func (b *batch) grow(w *batchRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		return false
	}
	b.accumulateUse()
	w.used++
	b.pool.used++
	if w.used > w.held {
		w.held++
		b.pool.held++
	}
	for b.pool.exceeded() {
		b.preempt(b.preemptionVictim())
	}
	if w.index >= 0 {
		w.used--
		return false
	}
	b.meter.use.MostTokens = max(b.meter.use.MostTokens, int64(b.pool.used))
	return true
}

// preemptionVictim returns the running request that is last in priority and arrival.
func (b *batch) preemptionVictim() *batchRequest {
	victim := b.running[0]
	for _, w := range b.running[1:] {
		if victim.before(w) {
			victim = w
		}
	}
	return victim
}

// preempt puts a running request back into the queue. It is readmitted with readmitHeadroomTokens to grow, and prefills
// its prompt and the tokens generated so far again.
func (b *batch) preempt(w *batchRequest) {
	b.release(w)
	b.meter.use.Preempted++
	w.held = b.pool.clamp(max(w.held, w.used+readmitHeadroomTokens))
	w.prefillTokens = w.used
	b.enqueue(w)
}

// release removes a request from the running ones and frees the KV tokens that it holds.
func (b *batch) release(w *batchRequest) {
	b.accumulateUse()
	for i := range b.running {
		if b.running[i] == w {
			b.running = append(b.running[:i], b.running[i+1:]...)
			break
		}
	}
	b.pool.held -= w.held
	b.pool.used -= w.used
}

// admit starts requests from the head of the queue while they fit.
func (b *batch) admit() {
	for len(b.running) < b.slots && b.waiting.Len() > 0 && b.pool.fits(b.waiting[0].held) {
		b.accumulateUse()
		w, _ := heap.Pop(&b.waiting).(*batchRequest)
		b.waitingTokens -= w.prefillTokens
		b.running = append(b.running, w)
		b.pool.held += w.held
		b.pool.used += w.used
		b.meter.use.MostTokens = max(b.meter.use.MostTokens, int64(b.pool.used))
		close(w.admitted)
	}
}

// accumulateUse adds the time until now to the utilization.
func (b *batch) accumulateUse() {
	b.meter.accumulate(time.Now(), float64(len(b.running))/float64(max(b.slots, 1)), b.pool.fraction(b.pool.held))
}

// load returns the numbers of running and queued requests, and the number of queued tokens.
func (b *batch) load() (running, queued, queuedTokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), b.waiting.Len(), b.waitingTokens
}

// kvUtilization returns the fraction of the KV tokens that running requests use.
func (b *batch) kvUtilization() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool.fraction(b.pool.used)
}

// use returns the utilization since the start.
func (b *batch) use() Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accumulateUse()
	return b.meter.use
}

// before reports whether w is scheduled before other.
func (w *batchRequest) before(other *batchRequest) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.arrival < other.arrival
}

// requestQueue is a heap of requests by priority and arrival.
type requestQueue []*batchRequest

var _ heap.Interface = (*requestQueue)(nil)

// Len returns the number of requests.
func (q requestQueue) Len() int { return len(q) }

// Less reports whether request i is scheduled before request j.
func (q requestQueue) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap exchanges two requests.
func (q requestQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push appends a *batchRequest.
func (q *requestQueue) Push(x any) {
	w, _ := x.(*batchRequest)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop removes and returns the last *batchRequest.
func (q *requestQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}
