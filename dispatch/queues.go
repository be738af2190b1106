package dispatch

import (
	"slices"
	"time"

	"arbutusreel/admission"
	"arbutusreel/origin"
	"arbutusreel/residency"
	"arbutusreel/routing"
)

// queueKey identifies the requests that wait for the same endpoints.
type queueKey struct {
	service string
	model   string
	// began is the origin of the answers that the requests resume; it is not known for requests that any endpoint of the
	// model may serve.
	began origin.Origin
}

// modelQueue holds the requests that wait for the endpoints of a service and model.
type modelQueue struct {
	key   queueKey
	queue *admission.Queue[*waiter]
	rate  admission.StartRate
	audit admission.RefusalAudit
	// waitingSince is when the queue was last empty.
	waitingSince time.Time
	// endpointSeenAt is when an endpoint was last known for a request; the queue of the requests that any endpoint may
	// serve holds it for all queues of the model.
	endpointSeenAt time.Time
	// head is the request that starts next, as of headAt; it is nil if none may start.
	head   *admission.Waiting[*waiter]
	headAt time.Time
	// blockedRound is the last round of starts in which there was no capacity for the head.
	blockedRound uint64
}

// capacityShort reports whether requests have waited long enough to conclude that capacity is short.
func (q *modelQueue) capacityShort(now time.Time) bool {
	return q.queue.Len() > 0 && now.Sub(q.waitingSince) >= minShortageTime
}

// modelQueues holds the queues of all services and models; those of one service share their endpoints.
type modelQueues struct {
	all map[queueKey]*modelQueue
	// nonEmpty are the queues in which requests wait.
	nonEmpty []*modelQueue
	// shares holds the state of the fair sharing between teams by service.
	shares map[string]*admission.Shares
	// round is the number of the latest round of starts.
	round uint64
}

func newModelQueues() *modelQueues {
	return &modelQueues{all: map[queueKey]*modelQueue{}, shares: map[string]*admission.Shares{}}
}

func (s *modelQueues) get(k queueKey) *modelQueue {
	q := s.all[k]
	if q != nil {
		return q
	}
	shares := s.shares[k.service]
	if shares == nil {
		shares = admission.NewShares()
		s.shares[k.service] = shares
	}
	q = &modelQueue{key: k, queue: admission.NewSharedQueue[*waiter](shares)}
	s.all[k] = q
	return q
}

// push adds a request to a queue.
func (s *modelQueues) push(q *modelQueue, w *admission.Waiting[*waiter]) {
	if q.queue.Len() == 0 {
		s.nonEmpty = append(s.nonEmpty, q)
	}
	q.queue.Push(w)
	q.headAt = time.Time{}
}

// remove takes a request out of its queue and reports whether it was there; starts is false if the request leaves the
// queue without starting at a local endpoint.
func (s *modelQueues) remove(now time.Time, q *modelQueue, w *admission.Waiting[*waiter], starts bool) bool {
	if !q.queue.Remove(w, starts) {
		return false
	}
	q.headAt = time.Time{}
	if q.queue.Len() == 0 {
		q.rate.End(now)
		s.nonEmpty = slices.DeleteFunc(s.nonEmpty, func(other *modelQueue) bool { return other == q })
	}
	return true
}

func (s *scheduler) queueFor(j *job) *modelQueue {
	return s.queues.get(queueKey{service: j.query.Service, model: j.query.Model, began: j.query.Began})
}

// unboundQueue returns the queue for requests of the same model that any endpoint may serve.
func (s *scheduler) unboundQueue(j *job) *modelQueue {
	return s.queues.get(queueKey{service: j.query.Service, model: j.query.Model})
}

// head returns the request of a queue that starts next, or nil. The result is kept until the queue changes or
// refreshPeriod has passed, because requests become urgent and capacity beyond the headroom appears over time.
func (s *scheduler) head(now time.Time, q *modelQueue) *admission.Waiting[*waiter] {
	if !q.headAt.IsZero() && now.Sub(q.headAt) < refreshPeriod {
		return q.head
	}
	w, ok := q.queue.Next(now, true)
	if ok && w.Deferrable && !s.hasHeadroom(now, w.Value.job) {
		w, ok = q.queue.Next(now, false)
	}
	q.head, q.headAt = nil, now
	if ok {
		q.head = w
	}
	return q.head
}

// firstQueue returns the queue whose head precedes those of all other queues that are not blocked in the round, or
// nil.
func (s *scheduler) firstQueue(now time.Time, round uint64) *modelQueue {
	var first *modelQueue
	for _, q := range s.queues.nonEmpty {
		if q.blockedRound == round || s.head(now, q) == nil {
			continue
		}
		if first == nil || q.head.Before(now, first.head) {
			first = q
		}
	}
	return first
}

// startWaiting starts the waiting requests for which there is capacity, in order across all queues: a request that must
// wait for capacity keeps later requests from the endpoints that could serve it. If models is not nil, only requests
// for these models may start.
func (s *scheduler) startWaiting(now time.Time, models []string) {
	if len(s.queues.nonEmpty) == 0 {
		return
	}
	s.queues.round++
	round := s.queues.round
	var ahead []*routing.Query
	for q := s.firstQueue(now, round); q != nil; q = s.firstQueue(now, round) {
		eligible := models == nil || slices.Contains(models, q.key.model)
		if eligible && s.startHead(now, q, ahead) {
			continue
		}
		q.blockedRound = round
		ahead = s.appendQuery(ahead, q.head.Value.job)
	}
}

// queriesAhead returns the queries of the heads of all queues but own that precede a new request.
func (s *scheduler) queriesAhead(now time.Time, own *modelQueue, j *job) []*routing.Query {
	var ahead []*routing.Query
	for _, q := range s.queues.nonEmpty {
		if q != own && s.head(now, q) != nil && q.head.GoesBefore(now, j.class.Priority) {
			ahead = s.appendQuery(ahead, q.head.Value.job)
		}
	}
	return ahead
}

// appendQuery appends the query of a waiting request, unless the request may not run in the local region.
func (s *scheduler) appendQuery(ahead []*routing.Query, other *job) []*routing.Query {
	if !residency.Allows(other.inventory, other.request.Subject(), s.self.Region) {
		return ahead
	}
	return append(ahead, &other.query)
}

// startHead starts the next request of a queue, and reports false if there is no capacity for it.
func (s *scheduler) startHead(now time.Time, q *modelQueue, ahead []*routing.Query) bool {
	w := q.head
	j := w.Value.job
	j.query.Ahead = ahead
	d, ok := s.choose(now, j)
	j.query.Ahead = nil
	if !ok || !d.HasCapacity {
		return false
	}
	s.queues.remove(now, q, w, true)
	q.rate.Started(now, w.Tokens)
	q.audit.Started(now, w.Tokens)
	s.explain(j, d, "startedFromQueue")
	w.Value.placed <- s.start(now, j, d)
	return true
}
