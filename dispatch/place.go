package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"arbutusreel/admission"
	"arbutusreel/problem"
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
	if p := s.sendAway(now, j, l, d, local); p != nil {
		return p, nil, nil
	}
	if local && d.Room && l.queue.Ahead(j.class.Priority) == 0 && (!j.class.Deferrable || s.spare(now, j)) {
		s.explain(j, d, "started")
		return s.start(now, j, d), nil, nil
	}
	if !local && len(j.query.Exclude) > 0 {
		j.query.Exclude = nil
		d, local = s.choose(now, j)
	}
	if !local && s.learning(now, j, l) {
		return nil, s.enqueue(now, j, l, admission.Verdict{Queue: true}), nil
	}
	if !local {
		return nil, nil, s.refuseNoCapacity(j)
	}
	v := admission.Decide(now, j.request.Deadline, s.estimate(now, j, l, d))
	if !v.Queue && !j.begun() {
		return nil, nil, s.refuseLate(j, l, v)
	}
	s.explain(j, d, "queued")
	return nil, s.enqueue(now, j, l, v), nil
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

// sendAway sends the request to another region if its own lacks capacity: it has no endpoint for the request, cannot
// meet it, or has let requests wait for a time and the other region is expected to be better. A small share of the
// requests may leave for a better region before that.
func (s *scheduler) sendAway(now time.Time, j *job, l *lane, d routing.Decision, local bool) *placement {
	if local && j.class.Deferrable {
		return nil
	}
	reason, least := s.reasonAway(now, j, l, d, local)
	if reason == "" {
		return nil
	}
	routes := slices.DeleteFunc(j.routes(s.self.Region), func(r routing.Route) bool {
		return !s.regionBreakers.Allows(now, r.Region)
	})
	away, ok := s.regions.Choose(now, &j.query, j.bytes(), routes, least)
	if !ok {
		return nil
	}
	s.counts.SentAway++
	if reason == awayPreferred {
		s.preferred--
	}
	s.explainAway(j, away, least, reason)
	return &placement{
		region: away.Region,
		away:   s.regions.Start(now, away, &j.query, j.bytes()),
		probe:  s.regionBreakers.Begin(now, away.Region),
		terms:  away.Terms,
		prompt: j.request.PromptTokens,
	}
}

// Reasons to send a request away.
const (
	awayNoEndpoint = "noEndpoint"
	awayNotMet     = "cannotBeMet"
	awayShort      = "capacityShort"
	awayPreferred  = "better"
)

// reasonAway returns why the request may leave, or nothing, and what another region must be better than.
func (s *scheduler) reasonAway(now time.Time, j *job, l *lane, d routing.Decision, local bool) (string, *routing.Terms) {
	if !local {
		return awayNoEndpoint, nil
	}
	terms := d.Terms
	if !d.Room {
		e := s.estimate(now, j, l, d)
		if !now.Add(e.Total()).Before(j.request.Deadline) {
			return awayNotMet, nil
		}
		terms.Wait = e.Wait.Seconds()
		terms.Score = j.query.Objective.Score(terms)
		if l.short(now) {
			return awayShort, &terms
		}
	}
	if d.Informed && s.preferred >= 1 {
		return awayPreferred, &terms
	}
	return "", nil
}

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

func (s *scheduler) refuseNoCapacity(j *job) error {
	s.counts.Refused++
	s.explainRefusal(j, problem.NoCapacity, admission.Verdict{RetryAfter: retryAfterNoCapacity})
	return problem.New(problem.NoCapacity, http.StatusServiceUnavailable, "no endpoint of service %q is known for model %q", j.request.Service, j.request.Model).WithRetryAfter(retryAfterNoCapacity)
}

// refuseLate refuses a request that cannot be met within its patience.
func (s *scheduler) refuseLate(j *job, l *lane, v admission.Verdict) error {
	s.counts.Refused++
	l.audit.Refused(l.queue.Ahead(j.class.Priority), max(j.query.ExpectedTokens, 1), j.latestStart(v.Estimate))
	s.explainRefusal(j, problem.PatienceExceeded, v)
	return problem.New(problem.PatienceExceeded, http.StatusServiceUnavailable, "class %q cannot be served within its patience now", j.request.Class).WithRetryAfter(v.RetryAfter)
}
