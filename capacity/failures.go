package capacity

import (
	"math"
	"time"
)

const (
	// failureGain is the smoothing factor of an endpoint's failure rate, which must follow a fault within seconds.
	failureGain = 0.15
	// failureTimeConstant is the time constant with which a failure rate decays, so that an endpoint that gets no requests
	// because it failed is tried again.
	failureTimeConstant = 3 * time.Second
)

// Failures is the moving average of the share of requests that fail at an endpoint, as one gateway observes it, with
// exponential decay to zero. It is an immutable value.
type Failures struct {
	rate float64
	at   time.Time
}

// Rate returns the share of failed requests, in [0, 1), decayed to now.
func (f Failures) Rate(now time.Time) float64 {
	if f.rate == 0 || f.at.Equal(now) {
		return f.rate
	}
	return f.rate * math.Exp(-float64(now.Sub(f.at))/float64(failureTimeConstant))
}

// With returns the average including a request that ended now.
func (f Failures) With(now time.Time, failed bool) Failures {
	observed := 0.0
	if failed {
		observed = 1
	}
	rate := f.Rate(now)
	return Failures{rate: rate + failureGain*(observed-rate), at: now}
}
