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

// place returns the target of the next attempt. It waits if the region has no free capacity but the request can still
// be met; a refusal is a *problem.Problem.
func (s *scheduler) place(ctx context.Context, j *job) (*placement, error) {
	p, w, err := s.tryPlace(j)
	if err != nil || p != nil {
		return p, err
	}
	t := time.NewTicker(recheckPeriod)
	defer t.Stop()
	for {
		select {
		case p := <-w.Value.placed:
			return p, nil
		case <-ctx.Done():
			return nil, s.abandon(w, ctx.Err())
		case <-t.C:
			if p, err := s.recheck(w); err != nil || p != nil {
				return p, err
			}
		}
	}
}

// tryPlace starts the request, forwards it, refuses it or adds it to its queue.
func (s *scheduler) tryPlace(j *job) (*placement, *admission.Waiting[*waiter], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.refresh(now)
	q := s.queueFor(j)
	j.query.Ahead = s.queriesAhead(now, q, j)
	defer func() { j.query.Ahead = nil }()
	d, hasEndpoint := s.choose(now, j)
	if p := s.startNow(now, j, q, d, hasEndpoint); p != nil {
		return p, nil, nil
	}
	w, err := s.waitOrRefuse(now, j, q, d, hasEndpoint)
	return nil, w, err
}

// startNow starts the request in the local region or forwards it to another one; it returns nil if it does neither.
func (s *scheduler) startNow(now time.Time, j *job, q *modelQueue, d routing.Decision, hasEndpoint bool) *placement {
	if p := s.tryForward(now, j, q, d, hasEndpoint); p != nil {
		return p
	}
	if !s.mayStart(now, j, q, d, hasEndpoint) {
		return nil
	}
	s.explain(j, d, "started")
	return s.start(now, j, d)
}

// mayStart reports whether the request may start at the chosen endpoint now.
func (s *scheduler) mayStart(now time.Time, j *job, q *modelQueue, d routing.Decision, hasEndpoint bool) bool {
	free := hasEndpoint && d.HasCapacity && q.queue.Ahead(j.class.Priority) == 0
	return free && (!j.class.Deferrable || s.hasHeadroom(now, j))
}

// waiting is what follows for a request that cannot start now.
type waiting int

const (
	// waitForCapacity: the request waits in its queue.
	waitForCapacity waiting = iota
	// waitForDiscovery: the request waits until an endpoint is known.
	waitForDiscovery
	// refuseUnknown: no endpoint is known.
	refuseUnknown
	// refuseLate: the request cannot be met within its patience.
	refuseLate
)

// decideWaiting returns what follows for a request that cannot start now, with the endpoint and the estimate behind it. If no other
// endpoint is known, the endpoints that have failed the request may be tried again.
func (s *scheduler) decideWaiting(now time.Time, j *job, q *modelQueue, d routing.Decision, hasEndpoint bool) (waiting, routing.Decision, admission.Verdict) {
	if !hasEndpoint {
		d, hasEndpoint = s.chooseFailed(now, j)
	}
	switch {
	case !hasEndpoint && s.awaitingDiscovery(now, j):
		return waitForDiscovery, d, admission.Verdict{Queue: true}
	case !hasEndpoint:
		return refuseUnknown, d, admission.Verdict{RetryAfter: retryAfterNoCapacity}
	}
	v := admission.Decide(now, j.request.Deadline, s.estimate(now, j, q, d))
	if !v.Queue && !j.answerStarted() {
		return refuseLate, d, v
	}
	return waitForCapacity, d, v
}

// waitOrRefuse enqueues a request that cannot start now, or refuses it.
func (s *scheduler) waitOrRefuse(now time.Time, j *job, q *modelQueue, d routing.Decision, hasEndpoint bool) (*admission.Waiting[*waiter], error) {
	next, d, v := s.decideWaiting(now, j, q, d, hasEndpoint)
	switch next {
	case refuseUnknown:
		return nil, s.refuseNoEndpoint(now, j)
	case refuseLate:
		return nil, s.refusePatienceExceeded(j, q, v)
	case waitForCapacity:
		s.explain(j, d, "queued")
	case waitForDiscovery:
	}
	return s.enqueue(now, j, q, v), nil
}

// awaitingDiscovery reports whether the request may wait because its endpoints may not be known yet: the instance has
// just started, or knew an endpoint until a moment ago, as during a rolling restart of the endpoints. That the instance
// has just started is no reason for a request from another region to wait, no request waits for more than half of its
// patience, and an answer in progress does not wait if only other software versions are known.
func (s *scheduler) awaitingDiscovery(now time.Time, j *job) bool {
	if s.versionGone(now, j) || j.request.Deadline.Sub(now) < j.class.Patience/2 {
		return false
	}
	if now.Sub(s.unboundQueue(j).endpointSeenAt) < discoveryTime {
		return true
	}
	return now.Sub(s.startedAt) < discoveryTime && !j.request.Forwarded(s.self.Region)
}

// choose returns the best endpoint of the local region for the request, with or without free capacity, and reports
// false if none is known or the request may not run in the region.
func (s *scheduler) choose(now time.Time, j *job) (routing.Decision, bool) {
	if !residency.Allows(j.inventory, j.request.Subject(), s.self.Region) {
		return routing.Decision{}, false
	}
	d, ok := s.chooser.Choose(now, &j.query)
	if ok {
		s.unboundQueue(j).endpointSeenAt = now
	}
	return d, ok
}

// chooseFailed chooses among the endpoints that have failed the request, if there are any.
func (s *scheduler) chooseFailed(now time.Time, j *job) (routing.Decision, bool) {
	if len(j.query.Exclude) == 0 {
		return routing.Decision{}, false
	}
	j.query.Exclude = nil
	return s.choose(now, j)
}

// hasHeadroom reports whether the region has more free capacity than the headroom that must stay free.
func (s *scheduler) hasHeadroom(now time.Time, j *job) bool {
	c := s.chooser.Capacity(now, j.query.Service, j.query.Model)
	return c.Outstanding < c.Slots*(1-j.inventory.Rules().Headroom)
}

// estimate returns the expected wait and prefill times of a request that waits, and the decode time of an answer of its
// quantileTokens.
func (s *scheduler) estimate(now time.Time, j *job, q *modelQueue, d routing.Decision) admission.Estimate {
	c := s.chooser.Capacity(now, j.query.Service, j.query.Model)
	wait := d.Terms.Wait
	if rate := q.rate.PerSecond(c.TokensPerSecond); rate > 0 {
		wait += float64(q.queue.Ahead(j.class.Priority)) / rate
	}
	decode := d.Terms.Decode
	if j.query.ExpectedTokens > 0 {
		decode *= float64(j.quantileTokens) / float64(j.query.ExpectedTokens)
	}
	return admission.Estimate{Wait: seconds(wait), Prefill: seconds(d.Terms.Prefill), Decode: seconds(decode)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// enqueue adds the request to its queue.
func (s *scheduler) enqueue(now time.Time, j *job, q *modelQueue, v admission.Verdict) *admission.Waiting[*waiter] {
	if q.queue.Len() == 0 {
		q.rate.Begin(now)
		q.waitingSince = now
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
	s.queues.push(q, w)
	s.counts.Queued++
	return w
}

// recheck checks a waiting request again: it is refused once it cannot be met, and forwarded if the region has no
// endpoint for it any more. If it cannot be forwarded, it waits as long as endpoints may still be discovered, and is
// then refused.
func (s *scheduler) recheck(w *admission.Waiting[*waiter]) (*placement, error) {
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
	q := s.queueFor(j)
	if now.After(w.LatestStart) {
		s.queues.remove(now, q, w, false)
		return nil, s.refusePatienceExceeded(j, q, admission.Verdict{RetryAfter: retryAfterNoCapacity})
	}
	if _, hasEndpoint := s.choose(now, j); hasEndpoint {
		return nil, nil
	}
	p := s.tryForward(now, j, q, routing.Decision{}, false)
	if p == nil {
		if _, hasEndpoint := s.chooseFailed(now, j); hasEndpoint || s.awaitingDiscovery(now, j) {
			return nil, nil
		}
	}
	s.queues.remove(now, q, w, false)
	if p != nil {
		return p, nil
	}
	return nil, s.refuseNoEndpoint(now, j)
}

// abandon removes a waiting request whose caller has gone; a placement that it has received in the meantime is
// released.
func (s *scheduler) abandon(w *admission.Waiting[*waiter], cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.queues.remove(now, s.queueFor(w.Value.job), w, false) {
		p := <-w.Value.placed
		s.chooser.Done(now, p.ticket, false)
		s.startWaiting(now, p.models())
	}
	return cause
}
