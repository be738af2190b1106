package gateway

import (
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/retry"
	"arbutusreel/wiregen"
)

// flight is a request that was sent to an endpoint and has not ended.
type flight struct {
	placer   *placer
	endpoint fleet.Endpoint
	service  string
	load     capacity.Outstanding
	work     capacity.Work
	// queued is the work that has to be read before the first piece, this request's included.
	queued int64
	// unread is the part of it that is this request's own.
	unread int64
	// full says that the request had to wait for a slot or for memory, of which no speed can be learned.
	full bool
	// overtaken is the share of the endpoint's time that more urgent requests took when it was sent.
	overtaken float64
	sent      time.Time
	// firstAt is when the first piece came; zero before.
	firstAt time.Time
	probe   retry.Probe
}

// begin counts a request as sent.
func (p *placer) begin(now time.Time, service string, w capacity.Work, at place) *flight {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(&at.endpoint)
	s.own = s.own.Plus(at.load)
	s.cold.Add(now)
	s.recent = s.recent.With(now, at.unread)
	p.demands[service] = p.demands[service].With(now, at.rank, w, at.unread, p.speed(service))
	p.speeds[service] = p.speed(service).WithSent(w, at.unread)
	if at.unread < w.PromptTokens || len(w.Parts) > 0 {
		s.remember(now, w)
	}
	p.changed[at.endpoint.ID] = true
	return &flight{
		placer: p, endpoint: at.endpoint, service: service, load: at.load, work: w, queued: at.backlog.PromptTokens.Before(at.rank) + at.unread,
		unread: at.unread, full: at.full, overtaken: at.overtaken, sent: now, probe: p.breakers.Begin(now, at.endpoint.ID),
	}
}

func (s *endpointState) remember(now time.Time, w capacity.Work) {
	if len(s.parts) > maxParts {
		for id, used := range s.parts {
			if now.Sub(used) > partMemory {
				delete(s.parts, id)
			}
		}
	}
	for _, part := range w.Shared() {
		s.parts[part.ID] = now
	}
}

// first notes the first piece of the answer.
func (f *flight) first(now time.Time) {
	p := f.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if !f.firstAt.IsZero() {
		return
	}
	f.firstAt = now
	s := p.state(&f.endpoint)
	s.answered(f.sent)
	took := now.Sub(f.sent)
	if !f.full {
		speed := p.speed(f.service)
		queued := int64(float64(f.queued) / (1 - f.overtaken))
		s.health = s.health.WithFirst(speed.Base+speed.Token*time.Duration(queued), took)
		p.speeds[f.service] = speed.WithFirst(queued, took)
	}
	s.own = s.own.WithBegun(f.load)
	p.changed[f.endpoint.ID] = true
	p.breakers.Answered(now, f.endpoint.ID, f.probe)
}

// answered notes that the endpoint answered a request that was sent at a time, and so was warm enough.
func (s *endpointState) answered(sent time.Time) {
	if sent.After(s.failedAt) {
		s.failedAt = time.Time{}
	}
}

// ending tells how a request ended at an endpoint.
type ending int

const (
	// succeeded: the answer was whole.
	succeeded ending = iota
	// rejected: the endpoint did not run it.
	rejected
	// failed: the endpoint's answer was a failure, broken, or did not come.
	failed
	// unreached: no connection was made.
	unreached
	// abandoned: the caller left, or time ran out at no fault of the endpoint.
	abandoned
	// ended: the endpoint's own failure answer, which speaks against it only if others fail less often.
	ended
)

// end counts the request as ended; it is called once.
func (f *flight) end(now time.Time, how ending) {
	p := f.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(&f.endpoint)
	s.own.Requests--
	s.own.HeldTokens -= f.load.HeldTokens
	if f.firstAt.IsZero() {
		s.own = s.own.WithBegun(f.load)
	}
	p.changed[f.endpoint.ID] = true
	if how == succeeded || how == failed || how == ended {
		s.outcomes = s.outcomes.With(now, how != succeeded)
	}
	switch how {
	case succeeded:
		speed := p.speed(f.service)
		p.speeds[f.service] = speed.WithWhole(f.work, f.unread, speed.Held(now.Sub(f.sent), f.firstAt.Sub(f.sent), f.unread))
		s.health = s.health.WithOutcome(false)
		p.breakers.Succeeded(now, f.endpoint.ID)
	case failed:
		s.health = s.health.WithOutcome(true)
		p.breakers.Failed(now, f.endpoint.ID)
	case unreached:
		s.failedAt = now
		s.health = s.health.WithOutcome(true)
		p.breakers.Unreached(now, f.endpoint.ID)
		clear(s.parts)
	case rejected:
		s.health = s.health.WithOutcome(true)
	default:
	}
	p.breakers.End(f.endpoint.ID, f.probe)
}

// tellCold notes that an endpoint said in an answer that it is cold.
func (p *placer) tellCold(now time.Time, e fleet.Endpoint, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.state(&e); d > 0 {
		s.coldUntil = now.Add(d)
	}
}

// gatewayEnded notes how a request to another gateway ended, and reports whether its region is left for a while.
func (p *placer) gatewayEnded(now time.Time, at place, ok bool) (left bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok {
		p.gateways.Answered(now, at.gateway.Name, at.probe)
		p.gateways.Succeeded(now, at.gateway.Name)
		p.regions.Answered(now, at.region, at.regionProbe)
		p.regions.Succeeded(now, at.region)
	} else {
		p.gateways.Unreached(now, at.gateway.Name)
		left = p.regions.Failed(now, at.region) == retry.Open
	}
	p.gateways.End(at.gateway.Name, at.probe)
	p.regions.End(at.region, at.regionProbe)
	return left
}

// firstTry counts a caller's request for a service.
func (p *placer) firstTry(now time.Time, v *view, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(v, service).First(now)
}

// repeat reports whether the common budget allows one more arrival at a service's endpoints, and counts it.
func (p *placer) repeat(now time.Time, v *view, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(v, service).Take(now)
}

// budget returns this gateway's part of the common retry budget of a service. The reserve is divided by the largest
// number of gateways ever seen, as those that cannot be seen now may still use theirs.
func (p *placer) budget(v *view, service string) *retry.Allowance {
	a := p.budgets[service]
	if a == nil {
		a = retry.NewAllowance(p.cfg.RetryWindow, p.cfg.RetryRatio*budgetShare)
		p.budgets[service] = a
	}
	p.mostPeers = max(p.mostPeers, len(v.gateways), 1)
	a.SetReserve(p.cfg.RetryReserve * budgetShare / float64(p.mostPeers))
	return a
}

// outstandingChanges returns the loads that changed since the last call, or all of them. Changes that are told with all
// of them are told again, so that a report that waited while a stream was opened is soon replaced.
func (p *placer) outstandingChanges(now time.Time, all bool) []*wiregen.EndpointOutstanding {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []*wiregen.EndpointOutstanding
	for id, s := range p.states {
		if !all && !p.changed[id] || all && s.own == (capacity.Outstanding{}) {
			continue
		}
		change := &wiregen.EndpointOutstanding{
			Endpoint: id, Requests: int32(s.own.Requests), Waiting: s.own.Waiting[:],
			PromptTokens: s.own.PromptTokens[:], HeldTokens: s.own.HeldTokens, RecentTokens: s.recent.Tokens(now),
		}
		if o := s.outcomes.Now(now); o.Failed > leastToldFailures {
			change.RecentEnded, change.RecentFailed = o.Ended, o.Failed
		}
		changes = append(changes, change)
	}
	if !all {
		clear(p.changed)
	}
	return changes
}

// leastToldFailures is the count of recent failures below which they are not told.
const leastToldFailures = 0.1

// peerTold takes what another gateway has outstanding; whole replaces all that it told before.
func (p *placer) peerTold(now time.Time, m *wiregen.OutstandingReport, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[m.GetGateway()]
	if peer == nil || whole || peer.born != m.GetBorn() {
		peer = &peerLoad{born: m.GetBorn(), loads: map[string]capacity.Outstanding{}, recent: map[string]capacity.Recent{}, outcomes: map[string]capacity.Outcomes{}}
		p.peers[m.GetGateway()] = peer
		clear(p.sums)
	}
	peer.heard = now
	for _, o := range m.GetOutstanding() {
		delete(p.sums, o.GetEndpoint())
		peer.recent[o.GetEndpoint()] = capacity.NewRecent(now, o.GetRecentTokens())
		peer.outcomes[o.GetEndpoint()] = capacity.Outcomes{Ended: o.GetRecentEnded(), Failed: o.GetRecentFailed(), At: now}
		load := capacity.Outstanding{Requests: int(o.GetRequests()), HeldTokens: o.GetHeldTokens()}
		copy(load.Waiting[:], o.GetWaiting())
		copy(load.PromptTokens[:], o.GetPromptTokens())
		peer.loads[o.GetEndpoint()] = load
	}
}

// peerGone forgets what another gateway had outstanding.
func (p *placer) peerGone(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, name)
	clear(p.sums)
}
