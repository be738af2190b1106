package retry

import (
	"math/rand/v2"
	"time"
)

// State is the state of a circuit breaker.
type State int

// States of a breaker.
const (
	// Closed lets all requests through.
	Closed State = iota
	// Open lets no request through.
	Open
	// HalfOpen lets one probe through at a time.
	HalfOpen
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Open:
		return "open"
	case HalfOpen:
		return "halfOpen"
	default:
		return "closed"
	}
}

// breaker is the circuit breaker of one key.
type breaker struct {
	state     State
	failures  int
	trips     int
	openUntil time.Time
	probe     probeSlot
}

// Breakers holds one circuit breaker for each key that has failed.
type Breakers[K comparable] struct {
	rng      *rand.Rand
	breakers map[K]*breaker
	// probeCount is the number of probes of all keys so far; each probe is numbered by it.
	probeCount uint64
}

// NewBreakers returns breakers that are all closed.
func NewBreakers[K comparable](source rand.Source) *Breakers[K] {
	return &Breakers[K]{rng: rand.New(source), breakers: map[K]*breaker{}}
}

// State returns the state of a key's breaker; an open one becomes half open when its open time has passed.
func (s *Breakers[K]) State(now time.Time, k K) State {
	b := s.breakers[k]
	if b == nil {
		return Closed
	}
	if b.state == Open && !now.Before(b.openUntil) {
		b.state = HalfOpen
	}
	return b.state
}

// Failed counts a failure and returns the state after it. A breaker opens after three failures in a row, or when a
// probe fails; its open time doubles each time, with jitter.
func (s *Breakers[K]) Failed(now time.Time, k K) State { return s.fail(now, k, 1) }

// Unreached counts a failed connection attempt, which opens the breaker at once, and returns the state after it.
func (s *Breakers[K]) Unreached(now time.Time, k K) State { return s.fail(now, k, tripFailures) }

func (s *Breakers[K]) fail(now time.Time, k K, failures int) State {
	state := s.State(now, k)
	b := s.breakers[k]
	if b == nil {
		b = &breaker{}
		s.breakers[k] = b
	}
	b.failures += failures
	if state == HalfOpen || state == Closed && b.failures >= tripFailures {
		b.state = Open
		b.openUntil = now.Add(s.openTime(b.trips))
		b.trips++
	}
	return b.state
}

// Succeeded counts a success, which closes the breaker unless it is open, and returns the state after it.
func (s *Breakers[K]) Succeeded(now time.Time, k K) State {
	state := s.State(now, k)
	if state != Open {
		delete(s.breakers, k)
		return Closed
	}
	return state
}

// Forget removes the breaker of a key that no longer exists.
func (s *Breakers[K]) Forget(k K) { delete(s.breakers, k) }

// Keys calls f with each key whose breaker has counted failures, and with its state.
func (s *Breakers[K]) Keys(now time.Time, f func(K, State)) {
	for k := range s.breakers {
		f(k, s.State(now, k))
	}
}

func (s *Breakers[K]) openTime(trips int) time.Duration {
	d := min(firstOpenTime<<min(trips, 10), maxOpenTime)
	return d + time.Duration(s.rng.Float64()*openTimeJitter*float64(d))
}
