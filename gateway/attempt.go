package gateway

import (
	"cmp"
	"sync/atomic"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/retry"
)

// attempt is a request that was sent to an endpoint and has not ended.
type attempt struct {
	placer   *placer
	endpoint fleet.Endpoint
	service  string
	load     capacity.Outstanding
	work     capacity.Work
	// holding is the memory that the request holds at the endpoint, and generated the tokens of the answer so far.
	holding   capacity.Holding
	generated int64
	// queuedTokens is the number of prompt tokens to prefill before the first piece, this request's included.
	queuedTokens int64
	// uncachedTokens is the part of queuedTokens that belongs to this request.
	uncachedTokens int64
	// full reports whether the request had to wait for a slot or for memory, so that its time says nothing about the
	// speed.
	full bool
	// preemptedShare is the share of the endpoint's time that requests of higher priority took when this one was sent.
	preemptedShare float64
	sent           time.Time
	// firstAt is the time of the first piece; zero before.
	firstAt time.Time
	probe   retry.Probe
	// grantFrame is the frame in which a brittle endpoint's free slot was granted; zero if none was.
	grantFrame int64
	// endpointReceivedNanos is when a piece of an answer last arrived from the endpoint.
	endpointReceivedNanos *atomic.Int64
	// waitFactor is the endpoint's constant pace as it was counted in the expected time to the first piece.
	waitFactor float64
	// intervals measures the time between the events of a stream.
	intervals eventIntervals
}

// begin records a request as sent.
func (p *placer) begin(now time.Time, service string, w capacity.Work, d decision) *attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(&d.endpoint)
	s.outstanding = s.outstanding.Plus(d.addedLoad)
	holding := p.hold(now, s, d, w)
	s.coldWindow.Add(now)
	s.recent = s.recent.With(now, d.uncachedTokens)
	p.demands[service] = p.demands[service].With(now, d.rank, w, d.uncachedTokens, p.speed(service))
	p.speeds[service] = p.speed(service).WithSent(w, d.uncachedTokens)
	switch {
	case p.retains(service):
		p.recordUse(now, s, &d.endpoint, w)
		p.countPrompt(service, w, d)
	case d.uncachedTokens < w.PromptTokens || len(w.Parts) > 0:
		s.recordParts(now, w)
	}
	p.markChanged(d.endpoint.ID)
	return &attempt{
		placer: p, endpoint: d.endpoint, service: service, load: d.addedLoad, work: w, holding: holding, queuedTokens: d.backlog.PromptTokens.Before(d.rank) + d.uncachedTokens,
		uncachedTokens: d.uncachedTokens, full: d.full, preemptedShare: d.preemptedShare, sent: now, probe: p.endpointBreakers.Begin(now, d.endpoint.ID),
		grantFrame: d.grantFrame, endpointReceivedNanos: s.receivedNanos, waitFactor: cmp.Or(d.waitFactor, 1),
	}
}

// recordParts records the shared parts of a prompt as cached, and removes expired ones if there are too many.
func (s *endpointState) recordParts(now time.Time, w capacity.Work) {
	if len(s.cachedParts) > maxCachedParts {
		for id, used := range s.cachedParts {
			if now.Sub(used) > cachedPartTTL {
				delete(s.cachedParts, id)
			}
		}
	}
	for _, part := range w.Shared() {
		s.cachedParts[part.ID] = now
	}
}

// recordFirst records the arrival of the answer's first piece.
func (a *attempt) recordFirst(now time.Time) {
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if !a.firstAt.IsZero() {
		return
	}
	a.firstAt = now
	a.recordReceived(now)
	s := p.state(&a.endpoint)
	took := now.Sub(a.sent)
	latest := s.born == a.endpoint.Born
	if latest {
		s.recordAnswer(a.sent)
	}
	if !a.full && latest {
		speed := p.speed(a.service)
		queued := int64(float64(a.queuedTokens) / (1 - a.preemptedShare))
		expected := speed.Base + speed.PrefillTokenTime*time.Duration(queued)
		// The expected time of the decision held the constant pace of the machine, so that s.pace holds the rest.
		usual := time.Duration(float64(took) / a.waitFactor)
		s.pace = s.pace.With(now, expected, usual)
		a.countFirst(speed, usual)
		p.speeds[a.service] = speed.WithFirst(queued, usual)
	}
	s.outstanding = s.outstanding.WithBegun(a.load)
	p.markChanged(a.endpoint.ID)
	p.endpointBreakers.Answered(now, a.endpoint.ID, a.probe)
}

// recordAnswer records an answer to a request that was sent at the given time. A connection failure before that time no
// longer counts, as the endpoint was warm enough to answer.
func (s *endpointState) recordAnswer(sent time.Time) {
	if sent.After(s.connectFailedAt) {
		s.connectFailedAt = time.Time{}
	}
}

// ending is how a request ended at an endpoint.
type ending int

const (
	// succeeded: the answer was complete.
	succeeded ending = iota
	// rejected: the endpoint did not run the request.
	rejected
	// failed: there was no answer, or it was invalid or broke off.
	failed
	// unreached: connections were refused.
	unreached
	// unanswered: there was no answer to the attempt to connect. The endpoint may be silent for a moment, or out of reach.
	unanswered
	// abandoned: the caller disconnected, or time ran out through no fault of the endpoint.
	abandoned
	// errorAnswer: the endpoint answered with an error of its own, which counts against it only if others fail less
	// often.
	errorAnswer
)

// end records the end of the request; it must be called exactly once.
func (a *attempt) end(now time.Time, how ending) {
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(&a.endpoint)
	s.outstanding.Requests--
	s.release(a.holding)
	if a.firstAt.IsZero() {
		s.outstanding = s.outstanding.WithBegun(a.load)
	}
	p.markChanged(a.endpoint.ID)
	how = p.recordReach(a, how)
	if s.born != a.endpoint.Born {
		// The outcome says nothing about the incarnation that has started since.
		p.endpointBreakers.End(a.endpoint.ID, a.probe)
		return
	}
	s.brittle.end(now, a.grantFrame, how)
	if how == succeeded || how == failed || how == errorAnswer {
		s.outcomes = s.outcomes.With(now, how != succeeded)
	}
	switch how {
	case succeeded:
		speed := p.speed(a.service)
		p.speeds[a.service] = speed.WithCompleted(a.work, a.uncachedTokens, speed.Held(now.Sub(a.sent), a.firstAt.Sub(a.sent), a.uncachedTokens))
		s.failures = s.failures.With(now, false)
		p.endpointBreakers.Succeeded(now, a.endpoint.ID)
	case failed:
		s.failures = s.failures.With(now, true)
		p.endpointBreakers.Failed(now, a.endpoint.ID)
	case unanswered:
		s.unansweredAt = now
		p.endpointBreakers.Unreached(now, a.endpoint.ID)
	case unreached:
		s.connectFailedAt = now
		s.failures = s.failures.With(now, true)
		p.endpointBreakers.Unreached(now, a.endpoint.ID)
		clear(s.cachedParts)
		p.holders.Forget(a.endpoint.ID)
	case rejected:
		s.failures = s.failures.With(now, true)
	default:
	}
	p.endpointBreakers.End(a.endpoint.ID, a.probe)
}

// verdictChanges holds which announcements in an answer differ from earlier ones.
type verdictChanges struct {
	departs, limit, brittle bool
}

// recordVerdict records what an endpoint announced about itself in an answer, and returns what of that is new.
func (p *placer) recordVerdict(now time.Time, e fleet.Endpoint, v Verdict) (news verdictChanges) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.Leaving {
		departure := fleet.Departure{ID: e.ID, Born: e.Born}
		if news.departs = p.departures.Add(now, departure); news.departs {
			p.newDepartures = append(p.newDepartures, departure)
			signal(p.loadsChanged)
		}
	}
	s := p.state(&e)
	if s.born != e.Born {
		return news
	}
	s.recordPlainLoad(now, v)
	news.limit = p.recordLimit(now, s, e.ID, v.Limit)
	news.brittle = p.recordBrittle(now, s, e.ID, v.Brittle)
	p.recordReportedPace(now, s, e.ID, v.Load)
	if v.Load.Pace > 0 {
		p.reportPace[e.Service] = true
	}
	if v.ColdFor > 0 {
		s.coldUntil = now.Add(v.ColdFor)
	}
	if v.PauseFor > 0 {
		s.pausedUntil = laterOf(s.pausedUntil, now.Add(v.PauseFor))
	}
	return news
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordForward records whether a request to another gateway got through, and reports whether this opened the breaker
// of its region.
func (p *placer) recordForward(now time.Time, d decision, ok bool) (regionOpened bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok {
		p.gatewayBreakers.Answered(now, d.gateway.Name, d.probe)
		p.gatewayBreakers.Succeeded(now, d.gateway.Name)
	} else {
		p.gatewayBreakers.Unreached(now, d.gateway.Name)
	}
	p.gatewayBreakers.End(d.gateway.Name, d.probe)
	if d.handed {
		return false
	}
	if ok {
		p.regionBreakers.Answered(now, d.region, d.regionProbe)
		p.regionBreakers.Succeeded(now, d.region)
	} else {
		regionOpened = p.regionBreakers.Failed(now, d.region) == retry.Open
	}
	p.regionBreakers.End(d.region, d.regionProbe)
	return regionOpened
}

// recordFirstTry counts a caller's request for a service towards the retry budget.
func (p *placer) recordFirstTry(now time.Time, v *view, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget(v, service).First(now)
}

// moveFirstTry removes a first attempt from the retry budget of this gateway. The gateway that the request is forwarded to counts it, as it
// makes the retries.
func (p *placer) moveFirstTry(now time.Time, v *view, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget(v, service).MoveFirst(now)
}

// takeRetry reports whether the common budget allows one more retry at a service's endpoints, and counts it.
func (p *placer) takeRetry(now time.Time, v *view, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget(v, service).Take(now)
}

// returnRetry returns a retry to the common budget that was taken at a time and reached no endpoint.
func (p *placer) returnRetry(now time.Time, v *view, service string, takenAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget(v, service).Return(now, takenAt)
}

// retryBudget returns this gateway's part of the common retry budget of a service. The reserve is divided by the
// largest number of gateways ever seen, as those that are not visible now may still use their part.
func (p *placer) retryBudget(v *view, service string) *retry.Allowance {
	a := p.retryBudgets[service]
	if a == nil {
		a = retry.NewAllowance(p.cfg.RetryWindow, p.cfg.RetryRatio*retryBudgetShare)
		p.retryBudgets[service] = a
	}
	p.maxGateways = max(p.maxGateways, len(v.gateways), 1)
	a.SetReserve(p.cfg.RetryReserve * retryBudgetShare / float64(p.maxGateways))
	return a
}
