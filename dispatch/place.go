package dispatch

import (
	"context"
	"time"

	"arbutusreel/admission"
	"arbutusreel/residency"
	"arbutusreel/routing"
)

// waiter is a job that waits for an endpoint; placed receives its placement once.
type waiter struct {
	job    *job
	placed chan *placement
}

// place returns where the next attempt goes. It waits if the region has no room but the request can be met; a refusal
// is a *problem.Problem.
func (s *scheduler) place(ctx context.Context, j *job) (*placement, error) {
	p, w, err := s.tryPlace(j)
	if err != nil || p != nil {
		return p, err
	}
	t := time.NewTicker(waitPeriod)
	defer t.Stop()
	for {
		select {
		case p := <-w.Value.placed:
			return p, nil
		case <-ctx.Done():
			return nil, s.abandon(w, ctx.Err())
		case <-t.C:
			if p, err := s.reconsider(w); err != nil || p != nil {
				return p, err
			}
		}
	}
}

// tryPlace starts the request, sends it away, refuses it or lets it wait.
func (s *scheduler) tryPlace(j *job) (*placement, *admission.Waiting[*waiter], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.refresh(now)
	l := s.lane(j)
	j.query.Behind = s.before(now, l, j)
	defer func() { j.query.Behind = nil }()
	d, local := s.choose(now, j)
	if p := s.startNow(now, j, l, d, local); p != nil {
		return p, nil, nil
	}
	w, err := s.waitOrRefuse(now, j, l, d, local)
	return nil, w, err
}

// startNow starts the request in the own region or sends it away, or returns nil.
func (s *scheduler) startNow(now time.Time, j *job, l *lane, d routing.Decision, local bool) *placement {
	if p := s.sendAway(now, j, l, d, local); p != nil {
		return p
	}
	free := local && d.Room && l.queue.Ahead(j.class.Priority) == 0
	if !free || j.class.Deferrable && !s.spare(now, j) {
		return nil
	}
	s.explain(j, d, "started")
	return s.start(now, j, d)
}

// waitOrRefuse lets a request wait that cannot start now, or refuses it. If no other endpoint is known, one that has
// failed the request may take it again.
func (s *scheduler) waitOrRefuse(now time.Time, j *job, l *lane, d routing.Decision, local bool) (*admission.Waiting[*waiter], error) {
	if !local && len(j.query.Exclude) > 0 {
		j.query.Exclude = nil
		d, local = s.choose(now, j)
	}
	if !local && s.learning(now, j, l) {
		return s.enqueue(now, j, l, admission.Verdict{Queue: true}), nil
	}
	if !local {
		return nil, s.refuseNoCapacity(j)
	}
	v := admission.Decide(now, j.request.Deadline, s.estimate(now, j, l, d))
	if !v.Queue && !j.begun() {
		return nil, s.refuseLate(j, l, v)
	}
	s.explain(j, d, "queued")
	return s.enqueue(now, j, l, v), nil
}

// learning reports whether the request may wait because the instance may not have heard of its endpoints yet: it has
// just started, or had one until a moment ago, as when endpoints are restarted in turn. A request from another region
// does not wait for an instance that has just started, and none waits for more than half of its patience.
func (s *scheduler) learning(now time.Time, j *job, l *lane) bool {
	if j.request.Deadline.Sub(now) < j.class.Patience/2 {
		return false
	}
	if now.Sub(l.used) < learningTime {
		return true
	}
	return now.Sub(s.born) < learningTime && !j.request.Forwarded(s.self.Region)
}

// choose returns the best endpoint of the own region that may run the request.
func (s *scheduler) choose(now time.Time, j *job) (routing.Decision, bool) {
	if !residency.Allows(j.inventory, j.request.Subject(), s.self.Region) {
		return routing.Decision{}, false
	}
	d, ok := s.chooser.Choose(now, &j.query)
	if ok {
		s.lane(j).used = now
	}
	return d, ok
}

// spare reports whether the region has more room than the share that is kept free.
func (s *scheduler) spare(now time.Time, j *job) bool {
	c := s.chooser.Capacity(now, j.query.Service, j.query.Model)
	return c.Outstanding < c.Slots*(1-j.inventory.Rules().Headroom)
}

// estimate returns how long a request that waits is expected to take.
func (s *scheduler) estimate(now time.Time, j *job, l *lane, d routing.Decision) admission.Estimate {
	c := s.chooser.Capacity(now, j.query.Service, j.query.Model)
	wait := d.Terms.Wait
	if rate := l.rate.PerSecond(c.TokensPerSecond); rate > 0 {
		wait += float64(l.queue.Ahead(j.class.Priority)) / rate
	}
	decode := d.Terms.Decode
	if j.query.ExpectedTokens > 0 {
		decode *= float64(j.likely) / float64(j.query.ExpectedTokens)
	}
	return admission.Estimate{Wait: seconds(wait), Prefill: seconds(d.Terms.Prefill), Decode: seconds(decode)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// enqueue lets the request wait.
func (s *scheduler) enqueue(now time.Time, j *job, l *lane, v admission.Verdict) *admission.Waiting[*waiter] {
	if l.queue.Len() == 0 {
		l.rate.Begin(now)
		l.since = now
	}
	weight := j.team.Weight
	if weight <= 0 {
		weight = 1
	}
	w := &admission.Waiting[*waiter]{
		Team:        j.request.Team,
		Priority:    j.class.Priority,
		Weight:      weight,
		Tokens:      max(j.query.ExpectedTokens, 1),
		Deferrable:  j.class.Deferrable,
		Since:       now,
		LatestStart: j.latestStart(v.Estimate),
		Value:       &waiter{job: j, placed: make(chan *placement, 1)},
	}
	s.lanes.push(l, w)
	s.counts.Queued++
	return w
}

// reconsider looks at a waiting request again: it is refused once it cannot be met, and sent away if the region has no
// endpoint for it any more. If it cannot be sent away, it waits for a moment longer and is then refused.
func (s *scheduler) reconsider(w *admission.Waiting[*waiter]) (*placement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.refresh(now)
	select {
	case p := <-w.Value.placed:
		return p, nil
	default:
	}
	j := w.Value.job
	l := s.lane(j)
	if now.After(w.LatestStart) {
		s.lanes.remove(now, l, w, false)
		return nil, s.refuseLate(j, l, admission.Verdict{RetryAfter: retryAfterNoCapacity})
	}
	if _, local := s.choose(now, j); local {
		return nil, nil
	}
	p := s.sendAway(now, j, l, routing.Decision{}, false)
	if p == nil && s.learning(now, j, l) {
		return nil, nil
	}
	s.lanes.remove(now, l, w, false)
	if p != nil {
		return p, nil
	}
	return nil, s.refuseNoCapacity(j)
}

// abandon takes a request out whose caller has gone; a placement that it got by now is given back.
func (s *scheduler) abandon(w *admission.Waiting[*waiter], cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.lanes.remove(now, s.lane(w.Value.job), w, false) {
		p := <-w.Value.placed
		s.chooser.Done(now, p.ticket, false)
		s.pump(now, p.models())
	}
	return cause
}
