package admission

import (
	"slices"
	"time"
)

// Waiting is a request that waits for capacity.
type Waiting[T any] struct {
	Team string
	// Priority is the priority of the class; lower goes first.
	Priority int
	// Weight is the share of the team against others, above zero.
	Weight float64
	// Tokens is the work of the request.
	Tokens int
	// Deferrable tells that the request gives way while capacity is short.
	Deferrable bool
	// Since is when the request came, and LatestStart when its answer can begin at the latest.
	Since       time.Time
	LatestStart time.Time
	Value       T

	start  float64
	queued bool
}

// work returns the request's work by the team's weight.
func (w *Waiting[T]) work() float64 { return float64(w.Tokens) / w.Weight }

// Before reports whether the request goes before another, which may wait in another queue of the same shares.
func (w *Waiting[T]) Before(now time.Time, other *Waiting[T]) bool {
	return before(w, w.urgent(now), other, other.urgent(now))
}

// GoesBefore reports whether the request goes before a new one of the priority.
func (w *Waiting[T]) GoesBefore(now time.Time, priority int) bool {
	return w.Priority <= priority || w.urgent(now)
}

// urgent reports whether the request must start soon to be met.
func (w *Waiting[T]) urgent(now time.Time) bool {
	patience := w.LatestStart.Sub(w.Since)
	return !now.Before(w.LatestStart.Add(-time.Duration(float64(patience) * urgentShare)))
}

// flowKey names the requests of one team and priority.
type flowKey struct {
	priority int
	team     string
}

type flow[T any] struct {
	waiting []*Waiting[T]
}

// Queue holds waiting requests; within a priority it is fair over teams by their weights.
type Queue[T any] struct {
	flows  map[flowKey]*flow[T]
	keys   []flowKey
	shares *Shares
	tokens map[int]int
	length int
}

// NewQueue returns an empty queue with shares of its own.
func NewQueue[T any]() *Queue[T] { return NewSharedQueue[T](NewShares()) }

// NewSharedQueue returns an empty queue, whose teams share with those of the other queues of the shares.
func NewSharedQueue[T any](s *Shares) *Queue[T] {
	return &Queue[T]{flows: map[flowKey]*flow[T]{}, shares: s, tokens: map[int]int{}}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Ahead returns the tokens of the requests that go before a new one of the priority.
func (q *Queue[T]) Ahead(priority int) int {
	n := 0
	for p, tokens := range q.tokens {
		if p <= priority {
			n += tokens
		}
	}
	return n
}

// Push appends a request to those of its team.
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
	w.start = q.shares.start(k, w.work())
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

// Next returns the request that starts next, which stays in the queue; ok is false if none may start. Deferrable
// requests may start only if there is capacity to spare or they are urgent.
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

// before reports whether a request goes before another: urgent ones by their latest start, the others by priority
// and then by their start tag.
func before[T any](w *Waiting[T], urgent bool, other *Waiting[T], otherUrgent bool) bool {
	switch {
	case urgent != otherUrgent:
		return urgent
	case urgent:
		return w.LatestStart.Before(other.LatestStart)
	case w.Priority != other.Priority:
		return w.Priority < other.Priority
	}
	return w.start < other.start
}

// Remove takes a request out, as it starts or has gone; it reports false if the request does not wait.
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
		q.shares.started(w.Priority, w.start)
	} else {
		q.retag(k, f, i, w)
	}
	empty := len(f.waiting) == 0
	if empty {
		q.close(k)
	}
	q.shares.leave(k, empty)
	return true
}

// retag gives the work of a request that has gone back to the later ones of its team.
func (q *Queue[T]) retag(k flowKey, f *flow[T], i int, gone *Waiting[T]) {
	for _, w := range f.waiting[i:] {
		w.start = max(w.start-gone.work(), gone.start)
	}
	q.shares.giveBack(k, gone.work(), gone.start)
}

// close takes an empty flow out of turn.
func (q *Queue[T]) close(k flowKey) {
	i := slices.Index(q.keys, k)
	q.keys = slices.Delete(q.keys, i, i+1)
	delete(q.flows, k)
	if q.tokens[k.priority] == 0 {
		delete(q.tokens, k.priority)
	}
}
