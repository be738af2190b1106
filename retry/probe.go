package retry

import "time"

// Probe is a request that was let through a half open breaker; the zero value is a request that is no probe.
type Probe struct {
	number uint64
}

// probes are the probes of one breaker; at most one is under way, and one that does not end holds it for probeTimeout.
type probes struct {
	last  uint64
	live  bool
	until time.Time
}

func (p *probes) underWay(now time.Time) bool { return p.live && now.Before(p.until) }

// Allows reports whether a request may be sent to the key: a closed breaker lets all through, a half open one a probe
// while none is under way.
func (s *Breakers[K]) Allows(now time.Time, k K) bool {
	switch s.State(now, k) {
	case Closed:
		return true
	case HalfOpen:
		return !s.breakers[k].probes.underWay(now)
	case Open:
		return false
	}
	return false
}

// Begin counts a request that is sent to the key; it is a probe if the breaker is half open.
func (s *Breakers[K]) Begin(now time.Time, k K) Probe {
	if s.State(now, k) != HalfOpen {
		return Probe{}
	}
	s.probes++
	p := &s.breakers[k].probes
	p.last = s.probes
	p.live, p.until = true, now.Add(probeTimeout)
	return Probe{number: p.last}
}

// Answered says that the answer of a request has begun, which closes the breaker that it probes.
func (s *Breakers[K]) Answered(now time.Time, k K, p Probe) {
	b := s.breakers[k]
	if b != nil && p.number > 0 && p.number == b.probes.last && s.State(now, k) == HalfOpen {
		s.Succeeded(now, k)
	}
}

// End counts the end of a request; a late end of a former probe has no effect.
func (s *Breakers[K]) End(k K, p Probe) {
	b := s.breakers[k]
	if b != nil && p.number > 0 && p.number == b.probes.last {
		b.probes.live = false
	}
}
