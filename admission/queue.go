package admission

import (
	"slices"
	"time"
)

// Waiting is a request that waits for capacity.
type Waiting[T any] struct {
	Team string
	// Priority is the priority of the class; lower values start first.
	Priority int
	// Weight is the team's weight relative to other teams, above zero.
	Weight float64
	// Tokens is the work of the request, in tokens.
	Tokens int
	// Deferrable requests yield to others while capacity is short.
	Deferrable bool
	// Since is the arrival time, and LatestStart the latest time at which the answer can begin.
	Since       time.Time
	LatestStart time.Time
	Value       T

	// startTag is the virtual time at which the request may start by start-time fair queueing.
	startTag float64
	queued   bool
}

// normalizedWork returns the request's work divided by the team's weight.
func (w *Waiting[T]) normalizedWork() float64 { return float64(w.Tokens) / w.Weight }

// Before reports whether the request precedes another one, which may wait in another queue with the same Shares.
func (w *Waiting[T]) Before(now time.Time, other *Waiting[T]) bool {
	return before(w, w.urgent(now), other, other.urgent(now))
}

// GoesBefore reports whether the request precedes a new one of the priority.
func (w *Waiting[T]) GoesBefore(now time.Time, priority int) bool {
	return w.Priority <= priority || w.urgent(now)
}

// urgent reports whether the request must start soon to meet its latest start.
func (w *Waiting[T]) urgent(now time.Time) bool {
	patience := w.LatestStart.Sub(w.Since)
	return !now.Before(w.LatestStart.Add(-time.Duration(float64(patience) * urgentFraction)))
}

// flowKey identifies the requests of one team and priority.
type flowKey struct {
	priority int
	team     string
}

// flow holds the waiting requests of one team and priority in the order of their arrival.
type flow[T any] struct {
	waiting []*Waiting[T]
}

// Queue holds waiting requests; within a priority it is fair across teams by their weights.
type Queue[T any] struct {
	flows map[flowKey]*flow[T]
	// keys are the keys of flows, in the order of compareFlows.
	keys   []flowKey
	shares *Shares
	// tokens is the number of waiting tokens of each priority.
	tokens map[int]int
	length int
}

// NewQueue returns an empty queue with its own Shares.
func NewQueue[T any]() *Queue[T] { return NewSharedQueue[T](NewShares()) }

// NewSharedQueue returns an empty queue whose teams share capacity with those of all queues that use s.
func NewSharedQueue[T any](s *Shares) *Queue[T] {
	return &Queue[T]{flows: map[flowKey]*flow[T]{}, shares: s, tokens: map[int]int{}}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Ahead returns the number of waiting tokens that precede a new request of the priority.
func (q *Queue[T]) Ahead(priority int) int {
	n := 0
	for p, tokens := range q.tokens {
		if p <= priority {
			n += tokens
		}
	}
	return n
}

// Push appends a request to the flow of its team.
func (q *Queue[T]) Push(w *Waiting[T]) {
	k := flowKey{priority: w.Priority, team: w.Team}
	f := q.flows[k]
	if f == nil {
		f = &flow[T]{}
		q.flows[k] = f
	}
	if len(f.waiting) == 0 {
		q.keys = append(q.keys, k)
		slices.SortFunc(q.keys, compareFlows)
	}
	w.startTag = q.shares.assignStartTag(k, w.normalizedWork())
	f.waiting = append(f.waiting, w)
	w.queued = true
	q.tokens[w.Priority] += w.Tokens
	q.length++
}

func compareFlows(a, b flowKey) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	if a.team < b.team {
		return -1
	}
	return 1
}

// Next returns the request to start next without removing it; ok is false if none may start. Deferrable requests may
// start only if there is spare capacity or they are urgent.
func (q *Queue[T]) Next(now time.Time, spare bool) (next *Waiting[T], ok bool) {
	urgent := false
	for _, k := range q.keys {
		w := q.flows[k].waiting[0]
		u := w.urgent(now)
		if w.Deferrable && !spare && !u {
			continue
		}
		if next == nil || before(w, u, next, urgent) {
			next, urgent = w, u
		}
	}
	return next, next != nil
}

// before reports whether a request precedes another: urgent ones in the order of their latest start, the others by
// priority and then by their start tag.
func before[T any](w *Waiting[T], urgent bool, other *Waiting[T], otherUrgent bool) bool {
	switch {
	case urgent != otherUrgent:
		return urgent
	case urgent:
		return w.LatestStart.Before(other.LatestStart)
	case w.Priority != other.Priority:
		return w.Priority < other.Priority
	}
	return w.startTag < other.startTag
}

// Remove removes a request that starts or that leaves without starting; it reports false if the request does not wait.
func (q *Queue[T]) Remove(w *Waiting[T], starts bool) bool {
	if !w.queued {
		return false
	}
	w.queued = false
	k := flowKey{priority: w.Priority, team: w.Team}
	f := q.flows[k]
	i := slices.Index(f.waiting, w)
	f.waiting = slices.Delete(f.waiting, i, i+1)
	q.tokens[w.Priority] -= w.Tokens
	q.length--
	if starts {
		q.shares.advanceVirtualTime(w.Priority, w.startTag)
	} else {
		q.retag(k, f, i, w)
	}
	flowEmpty := len(f.waiting) == 0
	if flowEmpty {
		q.removeFlow(k)
	}
	q.shares.dequeue(k, flowEmpty)
	return true
}

// retag credits the work of a request that leaves without starting to the later ones of its team.
func (q *Queue[T]) retag(k flowKey, f *flow[T], i int, removed *Waiting[T]) {
	for _, w := range f.waiting[i:] {
		w.startTag = max(w.startTag-removed.normalizedWork(), removed.startTag)
	}
	q.shares.refundWork(k, removed.normalizedWork(), removed.startTag)
}

// removeFlow removes an empty flow from the queue.
func (q *Queue[T]) removeFlow(k flowKey) {
	i := slices.Index(q.keys, k)
	q.keys = slices.Delete(q.keys, i, i+1)
	delete(q.flows, k)
	if q.tokens[k.priority] == 0 {
		delete(q.tokens, k.priority)
	}
}
