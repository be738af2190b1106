package capacity

import "time"

const (
	// speedGain is the smoothing factor of learned times.
	speedGain = 0.05
	// initialPrefillTokenTime is the prefill time per token before the first observation; current engines prefill about
	// 100 tokens per millisecond and decode between chunks.
	initialPrefillTokenTime = 14 * time.Microsecond
	// initialBaseTime is the time to the first chunk without a queue before the first observation.
	initialBaseTime = 60 * time.Millisecond
	// initialOutputTokenTime is the time per output token before the first observation: a step of a half full batch,
	// with some prefill in between.
	initialOutputTokenTime = 8 * time.Millisecond
	// maxNormalFactor is the factor up to which an endpoint counts as no slower than the others, as single observations
	// vary by up to this factor.
	maxNormalFactor = 1.5
	// minFactor and maxFactor bound the ratio of observed to expected time of a single observation.
	minFactor = 0.5
	maxFactor = 8.0
	// minPrefillTokensLearned is the number of uncached tokens below which an observation updates only the base time.
	minPrefillTokensLearned = 4000
)

// Speed holds the learned service times of a service's endpoints. It is an immutable value.
type Speed struct {
	// Base is the time to the first chunk at an idle endpoint, and PrefillTokenTime the additional time
	// per uncached prompt token.
	Base             time.Duration
	PrefillTokenTime time.Duration
	// OutputTokenTime is the time that a request holds its slot per expected output token.
	OutputTokenTime time.Duration
	// SlotTime is the average time that a request holds its slot; slotTimeLearned is true once it has been observed.
	SlotTime        time.Duration
	slotTimeLearned bool
	// Overtaking is the current share of the endpoints' time that more urgent requests take.
	Overtaking Overtaking
	// Decode is the usual time per output token.
	Decode DecodeSpeed
}

// NewSpeed returns the service times assumed before the first observation.
func NewSpeed() Speed {
	return Speed{
		Base: initialBaseTime, PrefillTokenTime: initialPrefillTokenTime, OutputTokenTime: initialOutputTokenTime, SlotTime: initialBaseTime,
	}
}

// smooth returns the moving average after one more observation.
func smooth(average, observed time.Duration) time.Duration {
	return average + time.Duration(speedGain*float64(observed-average))
}

// WithFirst returns the speed after a first chunk arrived; uncached counts the tokens of the request and of the backlog
// before it, and took is the time to the first chunk.
func (s Speed) WithFirst(uncached int64, took time.Duration) Speed {
	if uncached < minPrefillTokensLearned {
		expected := s.PrefillTokenTime * time.Duration(uncached)
		s.Base = max(smooth(s.Base, took-expected), time.Millisecond)
		return s
	}
	s.PrefillTokenTime = max(smooth(s.PrefillTokenTime, (took-s.Base)/time.Duration(uncached)), time.Microsecond)
	return s
}

// Hold returns the expected time that a request with the given number of uncached tokens holds its slot.
func (s Speed) Hold(w Work, uncached int64) time.Duration {
	if w.OutputTokens == 0 {
		return s.SlotTime
	}
	return s.PrefillTokenTime*time.Duration(uncached) + s.OutputTokenTime*time.Duration(w.OutputTokens)
}

// WithSent returns the speed after a request was sent. It changes only if the output length of the request is known.
func (s Speed) WithSent(w Work, uncached int64) Speed {
	if w.OutputTokens > 0 {
		return s.withSlotTime(s.Hold(w, uncached))
	}
	return s
}

// WithCompleted returns the speed after a response has completed; held is the time that the request held its slot.
func (s Speed) WithCompleted(w Work, uncached int64, held time.Duration) Speed {
	if w.OutputTokens == 0 {
		return s.withSlotTime(held)
	}
	perToken := max(held-s.PrefillTokenTime*time.Duration(uncached), 0) / time.Duration(w.OutputTokens)
	s.OutputTokenTime = max(smooth(s.OutputTokenTime, perToken), time.Millisecond)
	return s
}

// withSlotTime returns the speed with one more observation of SlotTime; the first one replaces the initial value.
func (s Speed) withSlotTime(held time.Duration) Speed {
	if !s.slotTimeLearned {
		s.SlotTime = held
	}
	s.SlotTime, s.slotTimeLearned = smooth(s.SlotTime, held), true
	return s
}

// WithOvertaking returns the speed with the given overtaking shares.
func (s Speed) WithOvertaking(o Overtaking) Speed {
	s.Overtaking = o
	return s
}

// Held returns the time that a request held its slot. took is its total time, first its time to the first chunk, and
// uncached the number of its uncached tokens. The part of first beyond Base and the prefill of these tokens was spent in
// the queue.
func (s Speed) Held(took, first time.Duration, uncached int64) time.Duration {
	waited := first - s.Base - s.PrefillTokenTime*time.Duration(uncached)
	return took - max(waited, 0)
}

// Health holds the slowdown and the failure rate of one endpoint at one moment. It is an immutable value.
type Health struct {
	// Factor is the mean ratio of observed to expected times, over all gateways.
	Factor float64
	// FailureRate is the recent share of failed requests, as observed by one gateway.
	FailureRate float64
}

// NewHealth returns the health assumed before the first observation.
func NewHealth() Health { return Health{Factor: 1} }

// Slowdown returns how many times slower the endpoint is than the others, at least 1.
func (h Health) Slowdown() float64 { return max(1, h.Factor/maxNormalFactor) }
