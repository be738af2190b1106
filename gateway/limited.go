package gateway

import (
	"slices"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/limits"
	"arbutusreel/wiregen"
)

const (
	// limitFrame is the unit of time by which the turns of an endpoint's limit are dealt out.
	limitFrame = time.Second
	// keptTurns is the number of unused turns that all gateways together may keep for later frames, for at most
	// maxKeptFrames. With few turns a gateway may have no request in the one frame that it gets.
	keptTurns     = 3.0
	maxKeptFrames = 10
	// minLimitPerSecond is the rate at which requests are sent to an endpoint whose limit is lower: the end of a limit shows
	// in answers only.
	minLimitPerSecond = 0.1
	// maxLimitPerSecond bounds what is kept of a limit; no endpoint serves as many.
	maxLimitPerSecond = 1e6
	// maxLimitWait bounds the Retry-After of refused requests.
	maxLimitWait = time.Minute
	// limitDelay is subtracted from the time of what another gateway learned: a report takes no longer, so that what an
	// endpoint said last is not replaced by what it said before.
	limitDelay = 250 * time.Millisecond
	// endedLimitTime is how long whole reports contain a limit that has ended.
	endedLimitTime = 5 * time.Second
)

// endpointLimit is what an endpoint last said about the requests that it takes from all gateways together.
type endpointLimit struct {
	// at is when an answer said so; zero if none ever named a limit.
	at        time.Time
	named     bool
	perSecond float64
	// sent holds the frames in which requests were sent while unused turns of them might be kept.
	sent []int64
	// invalid is the last text that should have named a limit.
	invalid string
	// keepsNone reports that unused turns are not kept for later frames.
	keepsNone bool
}

// update replaces what is known by what was said at a time, and reports whether it was later and whether it changed.
func (l *endpointLimit) update(at time.Time, named bool, perSecond float64) (later, changed bool) {
	if !at.After(l.at) {
		return false, false
	}
	if !(perSecond > 0) {
		perSecond = 0
	}
	perSecond = min(perSecond, maxLimitPerSecond)
	changed = l.named != named || named && l.perSecond != perSecond
	l.at, l.named, l.perSecond = at, named, perSecond
	return true, changed
}

// frameOf returns the number of the frame at a time of day, which is the same at all gateways but for the differences of
// their clocks.
func frameOf(now time.Time) int64 { return now.UnixNano() / int64(limitFrame) }

// turns returns this gateway's turns of an endpoint's limit.
func (l *endpointLimit) turns(e *fleet.Endpoint, rank, holders int) limits.Turns {
	return limits.Turns{
		PerFrame: max(l.perSecond, minLimitPerSecond) * limitFrame.Seconds(), Holders: holders, Position: (rank + int(e.Born%int64(holders))) % holders,
	}
}

// mayTake reports whether the limit allows this gateway a request now. A gateway that has just started waits until the
// others have learned of it.
func (p *placer) mayTake(now time.Time, e *fleet.Endpoint, l *endpointLimit, rank, holders int) bool {
	if !l.named {
		return true
	}
	if p.reach.stranded || now.Sub(p.firstDecisionAt) < coldHoldoffTime {
		return false
	}
	frame := frameOf(now)
	first := l.firstFrame(frame)
	turns, granted := l.turns(e, rank, holders), 0
	for f := first; f <= frame; f++ {
		granted += turns.In(f)
	}
	used := 0
	for _, f := range l.sent {
		if f >= first {
			used++
		}
	}
	return used < granted
}

// firstFrame returns the earliest frame whose unused turns may be used in a frame.
func (l *endpointLimit) firstFrame(frame int64) int64 {
	if l.keepsNone {
		return frame
	}
	return frame - int64(min(keptTurns/max(l.perSecond, minLimitPerSecond), maxKeptFrames))
}

// take counts a request that is about to be sent.
func (l *endpointLimit) take(now time.Time) {
	if !l.named {
		return
	}
	frame := frameOf(now)
	first := l.firstFrame(frame)
	l.sent = append(slices.DeleteFunc(l.sent, func(f int64) bool { return f < first }), frame)
}

// returns spreads the return of the callers that a gateway refused for the limits of a service's endpoints.
type returns struct {
	// last is when the last one of them may return.
	last time.Time
}

// next returns the time after which the next caller may return, when a gateway's share of the rate has served those that
// were refused before. They may come back to any gateway, so that this one's own turns don't matter.
func (r *returns) next(now time.Time, perSecond float64, holders int) time.Duration {
	interval := min(time.Duration(float64(holders)/max(perSecond, minLimitPerSecond)*float64(time.Second)), maxLimitWait)
	return min(laterOf(r.last, now).Add(interval).Sub(now), maxLimitWait)
}

// add counts a refused caller that returns after the given time.
func (r *returns) add(now time.Time, after time.Duration) { r.last = now.Add(after) }

// returnsOf returns the callers that were refused for the limits of a service's endpoints.
func (p *placer) returnsOf(service string) *returns {
	r := p.returns[service]
	if r == nil {
		r = &returns{}
		p.returns[service] = r
	}
	return r
}

// limitedWait returns the time after which the next caller may return that is refused for the limits of a service's
// endpoints.
func (p *placer) limitedWait(now time.Time, service string, held withheld) time.Duration {
	return p.returnsOf(service).next(now, held.perSecond, max(len(p.shareHolders), 1))
}

// withheld describes the endpoints that get no request now although they are ready.
type withheld struct {
	// pauseEnd is the earliest end of the pauses that endpoints asked for; zero if none did.
	pauseEnd time.Time
	// limited is the number of endpoints whose limit leaves this gateway no request now, and perSecond the sum of their
	// limits.
	limited   int
	perSecond float64
	// brittle is the number of brittle endpoints for which this gateway has no grant left.
	brittle int
	// full is the number of endpoints without engines whose free slots are left to other requests.
	full int
}

func (w *withheld) addPause(end time.Time) {
	if w.pauseEnd.IsZero() || end.Before(w.pauseEnd) {
		w.pauseEnd = end
	}
}

func (w *withheld) addLimited(perSecond float64) {
	w.limited++
	w.perSecond += max(perSecond, minLimitPerSecond)
}

// recordLimit records what an answer said about the endpoint's limit, and reports whether that is new. An invalid limit
// changes nothing.
func (p *placer) recordLimit(now time.Time, s *endpointState, id string, l Limit) (changed bool) {
	if l.Invalid != "" {
		changed, s.limit.invalid = s.limit.invalid != l.Invalid, l.Invalid
		return changed
	}
	if !l.Named && s.limit.at.IsZero() {
		return false
	}
	if _, changed = s.limit.update(now, l.Named, l.PerSecond); changed {
		p.changedLimits[id] = true
		signal(p.loadsChanged)
	}
	return changed
}

// reportLimits adds the limits that changed since the last report to a report, or if whole is set, all known ones.
func (p *placer) reportLimits(now time.Time, m *wiregen.OutstandingReport, whole bool) {
	add := func(id string) {
		s := p.states[id]
		if s == nil {
			return
		}
		if reported := s.limit.encode(now, id, s.born); reported != nil {
			m.Limits = append(m.Limits, reported)
		}
		if reported := s.brittle.rejections.encode(now, id, s.born); reported != nil {
			m.Brittle = append(m.Brittle, reported)
		}
	}
	if whole {
		for id := range p.states {
			add(id)
		}
	} else {
		for id := range p.changedLimits {
			add(id)
		}
	}
	clear(p.changedLimits)
}

// encode returns the message for the limit of an incarnation of an endpoint, or nil if none was named, or it ended long ago.
func (l *endpointLimit) encode(now time.Time, id string, born int64) *wiregen.EndpointLimit {
	if l.at.IsZero() || !l.named && now.Sub(l.at) > endedLimitTime {
		return nil
	}
	return &wiregen.EndpointLimit{Endpoint: id, Born: born, Named: l.named, PerSecond: l.perSecond, AgeMillis: now.Sub(l.at).Milliseconds()}
}

// updateLimits stores the limits that another gateway reported.
func (p *placer) updateLimits(now time.Time, m *wiregen.OutstandingReport) {
	update := func(reported []*wiregen.EndpointLimit, update func(s *endpointState, at time.Time, l *wiregen.EndpointLimit) (later bool)) {
		for _, l := range reported {
			s := p.state(&fleet.Endpoint{ID: l.GetEndpoint(), Born: l.GetBorn()})
			at := now.Add(-time.Duration(l.GetAgeMillis())*time.Millisecond - limitDelay)
			if s.born == l.GetBorn() && update(s, at, l) {
				p.reportedEmpty = false
			}
		}
	}
	update(m.GetLimits(), func(s *endpointState, at time.Time, l *wiregen.EndpointLimit) bool {
		later, _ := s.limit.update(at, l.GetNamed(), l.GetPerSecond())
		return later
	})
	update(m.GetBrittle(), func(s *endpointState, at time.Time, l *wiregen.EndpointLimit) bool {
		later, _ := s.brittle.update(at, l.GetNamed(), l.GetPerSecond())
		return later
	})
}

// forgetLimits removes the limits of endpoints that are no longer listed.
func (p *placer) forgetLimits(v *view) {
	for id, s := range p.states {
		if (!s.limit.at.IsZero() || !s.brittle.rejections.at.IsZero()) && !v.lists(id) {
			s.limit, s.brittle = endpointLimit{}, brittleness{}
		}
	}
}

// limitedEndpoints returns the number of endpoints that have named a limit.
func (p *placer) limitedEndpoints() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.states {
		if s.limit.named {
			n++
		}
	}
	return n
}
