package retry

import (
	"math/rand/v2"
	"time"
)

// State is the state of a breaker.
type State int

// States of a breaker.
const (
	// Closed lets work through.
	Closed State = iota
	// Open lets nothing through.
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

// breaker is the state of one endpoint.
type breaker struct {
	state    State
	failures int
	trips    int
	until    time.Time
	probes   probes
}

// Breakers holds one breaker for each key that has failed.
type Breakers[K comparable] struct {
	rng      *rand.Rand
	breakers map[K]*breaker
	// probes numbers the probes of all keys.
	probes uint64
}

// NewBreakers returns breakers that are all closed.
func NewBreakers[K comparable](source rand.Source) *Breakers[K] {
	return &Breakers[K]{rng: rand.New(source), breakers: map[K]*breaker{}}
}

// State returns the state of a key's breaker; an open one turns half open when its time is over.
func (s *Breakers[K]) State(now time.Time, k K) State {
	b := s.breakers[k]
	if b == nil {
		return Closed
	}
	if b.state == Open && !now.Before(b.until) {
		b.state = HalfOpen
	}
	return b.state
}

// Failed counts a failure and returns the state after it. A breaker opens after three failures in a row, or when a
// probe fails; it stays open twice as long each time, with jitter.
func (s *Breakers[K]) Failed(now time.Time, k K) State { return s.fail(now, k, 1) }

// Unreached counts a failed connection, which opens the breaker at once, and returns the state after it.
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
		b.until = now.Add(s.openTime(b.trips))
		b.trips++
	}
	return b.state
}

// Succeeded counts a success, which closes the breaker unless it is open.
func (s *Breakers[K]) Succeeded(now time.Time, k K) State {
	state := s.State(now, k)
	if state != Open {
		delete(s.breakers, k)
		return Closed
	}
	return state
}

// Forget drops the breaker of a key that is gone.
func (s *Breakers[K]) Forget(k K) { delete(s.breakers, k) }

// Keys calls f with each key whose breaker has failures, and its state.
func (s *Breakers[K]) Keys(now time.Time, f func(K, State)) {
	for k := range s.breakers {
		f(k, s.State(now, k))
	}
}

func (s *Breakers[K]) openTime(trips int) time.Duration {
	d := min(firstOpenTime<<min(trips, 10), maxOpenTime)
	return d + time.Duration(s.rng.Float64()*openTimeJitter*float64(d))
}
