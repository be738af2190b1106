package capacity

import "time"

const (
	// Learned values move by this share towards each observation.
	speedGain = 0.05
	// factorGain is the same for an endpoint's own factor, which must follow a slowdown within seconds.
	factorGain = 0.15
	// initialTokenTime is the time to read one prompt token before any was observed; current engines read about 100
	// tokens a millisecond and decode between chunks.
	initialTokenTime = 14 * time.Microsecond
	// initialBaseTime is the time to a first piece without any queue before one was observed.
	initialBaseTime = 60 * time.Millisecond
	// initialPace is the time to make one token of an answer before any was observed: a step of a half full batch, with some
	// prompts to read in between.
	initialPace = 8 * time.Millisecond
	// ordinaryFactor is the factor up to which an endpoint counts as like the others: single times vary that much.
	ordinaryFactor = 1.5
	leastFactor    = 0.5
	greatestFactor = 8.0
	// leastTokensLearned is the number of unread tokens below which an observation tells of the base alone.
	leastTokensLearned = 4000
)

// Speed is what was learned of a service's endpoints: an immutable value.
type Speed struct {
	// Base is the time to the first piece at an idle endpoint, and Token that of one more unread prompt token.
	Base  time.Duration
	Token time.Duration
	// Pace is the time for which a request holds its slot for each token that is expected of its answer.
	Pace time.Duration
	// Whole is the time for which a usual request holds its slot, and seen says that it was learned from one.
	Whole time.Duration
	seen  bool
	// Overtaking is what more urgent requests take of the endpoints' time now.
	Overtaking Overtaking
}

// NewSpeed returns the speed that is assumed before anything was observed.
func NewSpeed() Speed {
	return Speed{Base: initialBaseTime, Token: initialTokenTime, Pace: initialPace, Whole: initialBaseTime}
}

// toward returns a learned value after an observation.
func toward(from, to time.Duration) time.Duration {
	return from + time.Duration(speedGain*float64(to-from))
}

// WithFirst returns the speed after a first piece came, with the unread tokens that were before and in the request.
func (s Speed) WithFirst(unread int64, took time.Duration) Speed {
	if unread < leastTokensLearned {
		expected := s.Token * time.Duration(unread)
		s.Base = max(toward(s.Base, took-expected), time.Millisecond)
		return s
	}
	s.Token = max(toward(s.Token, (took-s.Base)/time.Duration(unread)), time.Microsecond)
	return s
}

// Hold returns for how long a request will hold its slot that makes an endpoint read so many tokens.
func (s Speed) Hold(w Work, unread int64) time.Duration {
	if w.OutputTokens == 0 {
		return s.Whole
	}
	return s.Token*time.Duration(unread) + s.Pace*time.Duration(w.OutputTokens)
}

// WithSent returns the speed after a request was sent whose answer's length is expected.
func (s Speed) WithSent(w Work, unread int64) Speed {
	if w.OutputTokens > 0 {
		return s.withUsual(s.Hold(w, unread))
	}
	return s
}

// WithWhole returns the speed after a whole answer, whose request held its slot for a time.
func (s Speed) WithWhole(w Work, unread int64, held time.Duration) Speed {
	if w.OutputTokens == 0 {
		return s.withUsual(held)
	}
	made := max(held-s.Token*time.Duration(unread), 0) / time.Duration(w.OutputTokens)
	s.Pace = max(toward(s.Pace, made), time.Millisecond)
	return s
}

// withUsual returns the speed after one more time of a slot was seen.
func (s Speed) withUsual(held time.Duration) Speed {
	if !s.seen {
		s.Whole = held
	}
	s.Whole, s.seen = toward(s.Whole, held), true
	return s
}

// WithOvertaking returns the speed with what more urgent requests take now.
func (s Speed) WithOvertaking(o Overtaking) Speed {
	s.Overtaking = o
	return s
}

// Held returns for how long a request held its slot that took so long in all, with the first piece after first and
// unread tokens of its own: what the first piece took beyond their reading was spent waiting.
func (s Speed) Held(took, first time.Duration, unread int64) time.Duration {
	waited := first - s.Base - s.Token*time.Duration(unread)
	return took - max(waited, 0)
}

// Health is what was learned of one endpoint: an immutable value.
type Health struct {
	// Factor is the ratio of observed to expected times.
	Factor float64
	// Failures is the recent share of requests that failed.
	Failures float64
}

// NewHealth returns the health of an endpoint of which nothing is known.
func NewHealth() Health { return Health{Factor: 1} }

// Slowdown returns how many times slower than the others the endpoint is, at least one.
func (h Health) Slowdown() float64 { return max(1, h.Factor/ordinaryFactor) }

// WithFirst returns the health after a first piece was observed.
func (h Health) WithFirst(expected, took time.Duration) Health {
	ratio := min(max(float64(took)/float64(max(expected, time.Millisecond)), leastFactor), greatestFactor)
	h.Factor += factorGain * (ratio - h.Factor)
	return h
}

// WithOutcome returns the health after a request ended.
func (h Health) WithOutcome(failed bool) Health {
	observed := 0.0
	if failed {
		observed = 1
	}
	h.Failures += factorGain * (observed - h.Failures)
	return h
}
