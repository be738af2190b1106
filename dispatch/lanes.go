package dispatch

import (
	"slices"
	"time"

	"arbutusreel/admission"
	"arbutusreel/residency"
	"arbutusreel/routing"
)

// laneKey names the requests that wait for the same endpoints.
type laneKey struct {
	service string
	model   string
}

// lane is the requests that wait for the endpoints of a service and model.
type lane struct {
	key   laneKey
	queue *admission.Queue[*waiter]
	rate  admission.Rate
	audit admission.Audit
	// since is when the queue was last empty.
	since time.Time
	// used is when an endpoint was last known for a request.
	used time.Time
	// head is the request that starts next, as of headAt; it is nil if none may start.
	head   *admission.Waiting[*waiter]
	headAt time.Time
	// blocked is the last round of starts in which the head found no room.
	blocked uint64
}

// short reports whether requests have waited for long enough to say that capacity is short.
func (l *lane) short(now time.Time) bool {
	return l.queue.Len() > 0 && now.Sub(l.since) >= minShortage
}

// lanes are the lanes of all services and models; those of one service share their endpoints.
type lanes struct {
	all map[laneKey]*lane
	// waiting are the lanes in which requests wait.
	waiting []*lane
	shares  map[string]*admission.Shares
	rounds  uint64
}

func newLanes() *lanes {
	return &lanes{all: map[laneKey]*lane{}, shares: map[string]*admission.Shares{}}
}

func (s *lanes) get(k laneKey) *lane {
	l := s.all[k]
	if l != nil {
		return l
	}
	shares := s.shares[k.service]
	if shares == nil {
		shares = admission.NewShares()
		s.shares[k.service] = shares
	}
	l = &lane{key: k, queue: admission.NewSharedQueue[*waiter](shares)}
	s.all[k] = l
	return l
}

// push lets a request wait.
func (s *lanes) push(l *lane, w *admission.Waiting[*waiter]) {
	if l.queue.Len() == 0 {
		s.waiting = append(s.waiting, l)
	}
	l.queue.Push(w)
	l.headAt = time.Time{}
}

// remove takes a request out of its queue, as it starts or has gone.
func (s *lanes) remove(now time.Time, l *lane, w *admission.Waiting[*waiter], starts bool) bool {
	if !l.queue.Remove(w, starts) {
		return false
	}
	l.headAt = time.Time{}
	if l.queue.Len() == 0 {
		l.rate.End(now)
		s.waiting = slices.DeleteFunc(s.waiting, func(other *lane) bool { return other == l })
	}
	return true
}

func (s *scheduler) lane(j *job) *lane {
	return s.lanes.get(laneKey{service: j.query.Service, model: j.query.Model})
}

// head returns the request of a lane that starts next, or nil. It is looked for again if the queue has changed, or after
// the period of refreshes, as requests become urgent and capacity to spare comes with time.
func (s *scheduler) head(now time.Time, l *lane) *admission.Waiting[*waiter] {
	if !l.headAt.IsZero() && now.Sub(l.headAt) < refreshPeriod {
		return l.head
	}
	w, ok := l.queue.Next(now, true)
	if ok && w.Deferrable && !s.spare(now, w.Value.job) {
		w, ok = l.queue.Next(now, false)
	}
	l.head, l.headAt = nil, now
	if ok {
		l.head = w
	}
	return l.head
}

// first returns the lane whose head goes before those of all lanes that are not blocked in the round, or nil.
func (s *scheduler) first(now time.Time, round uint64) *lane {
	var first *lane
	for _, l := range s.lanes.waiting {
		if l.blocked == round || s.head(now, l) == nil {
			continue
		}
		if first == nil || l.head.Before(now, first.head) {
			first = l
		}
	}
	return first
}

// pump starts waiting requests for which there is room, in the order of all lanes: one that finds no room keeps those
// behind it from the endpoints that could serve it. Only lanes of the models may start if models is not nil.
func (s *scheduler) pump(now time.Time, models []string) {
	if len(s.lanes.waiting) == 0 {
		return
	}
	s.lanes.rounds++
	round := s.lanes.rounds
	var behind []*routing.Query
	for l := s.first(now, round); l != nil; l = s.first(now, round) {
		may := models == nil || slices.Contains(models, l.key.model)
		if may && s.startHead(now, l, behind) {
			continue
		}
		l.blocked = round
		behind = s.appendBehind(behind, l.head.Value.job)
	}
}

// before returns the waiting requests of other lanes that go before a new one.
func (s *scheduler) before(now time.Time, own *lane, j *job) []*routing.Query {
	var behind []*routing.Query
	for _, l := range s.lanes.waiting {
		if l != own && s.head(now, l) != nil && l.head.GoesBefore(now, j.class.Priority) {
			behind = s.appendBehind(behind, l.head.Value.job)
		}
	}
	return behind
}

// appendBehind appends a waiting request, unless it may not run in the own region.
func (s *scheduler) appendBehind(behind []*routing.Query, first *job) []*routing.Query {
	if !residency.Allows(first.inventory, first.request.Subject(), s.self.Region) {
		return behind
	}
	return append(behind, &first.query)
}

// startHead starts the next request of a lane, and reports false if there is no room for it.
func (s *scheduler) startHead(now time.Time, l *lane, behind []*routing.Query) bool {
	w := l.head
	j := w.Value.job
	j.query.Behind = behind
	d, ok := s.choose(now, j)
	j.query.Behind = nil
	if !ok || !d.Room {
		return false
	}
	s.lanes.remove(now, l, w, true)
	l.rate.Started(now, w.Tokens)
	l.audit.Started(now, w.Tokens)
	s.explain(j, d, "startedFromQueue")
	w.Value.placed <- s.start(now, j, d)
	return true
}
