package retry

import "time"

// Probe identifies a request that was let through a half-open breaker; the zero value is a request that is no probe.
type Probe struct {
	number uint64
}

// probeSlot holds the probe in flight of one breaker, at most one at a time; an unfinished probe occupies it for
// probeTimeout.
type probeSlot struct {
	number    uint64
	held      bool
	expiresAt time.Time
}

func (p *probeSlot) inFlight(now time.Time) bool { return p.held && now.Before(p.expiresAt) }

// Allows reports whether a request may be sent to the key: a closed breaker lets all requests through, a half-open one
// a probe while none is in flight.
func (s *Breakers[K]) Allows(now time.Time, k K) bool {
	switch s.State(now, k) {
	case Closed:
		return true
	case HalfOpen:
		return !s.breakers[k].probe.inFlight(now)
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
	s.probeCount++
	p := &s.breakers[k].probe
	p.number = s.probeCount
	p.held, p.expiresAt = true, now.Add(probeTimeout)
	return Probe{number: p.number}
}

// Answered records that the answer of a request has begun, which closes the breaker if the request is its current
// probe.
func (s *Breakers[K]) Answered(now time.Time, k K, p Probe) {
	b := s.breakers[k]
	if b != nil && p.number > 0 && p.number == b.probe.number && s.State(now, k) == HalfOpen {
		s.Succeeded(now, k)
	}
}

// End records the end of a request; the late end of an earlier probe has no effect.
func (s *Breakers[K]) End(k K, p Probe) {
	b := s.breakers[k]
	if b != nil && p.number > 0 && p.number == b.probe.number {
		b.probe.held = false
	}
}
