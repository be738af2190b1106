package capacity

import "time"

const (
	// keptTurnover is the turnover of an endpoint's free cache, as a multiple of its size, up to which parts are expected to
	// be cached still. The probability then falls linearly to zero over one more turnover, because the size of the cache
	// and the tokens read are known only roughly.
	keptTurnover = 0.5
	// retentionHorizon is the age up to which parts are expected to be cached where memory is ample.
	retentionHorizon = 20 * time.Second
)

// Retention estimates how long an endpoint's cache keeps parts of prompts that are not used again. It is an immutable
// value; the zero value keeps everything.
type Retention struct {
	// perSecond is the number of times that the free cache is replaced in a second.
	perSecond float64
}

// NewRetention returns the retention of an endpoint that prefills the given number of tokens a second, of all gateways,
// and holds the given number of its memory for running requests. It keeps everything if the memory is not known.
func NewRetention(tokensPerSecond float64, memory, held int64) Retention {
	if memory <= 0 || !(tokensPerSecond > 0) {
		return Retention{}
	}
	return Retention{perSecond: tokensPerSecond / float64(max(memory-max(held, 0), 1))}
}

// Probability returns the probability that parts last used the given time ago are still cached.
func (r Retention) Probability(age time.Duration) float64 {
	return min(max(1+keptTurnover-r.perSecond*max(age, 0).Seconds(), 0), 1)
}

// Expected returns the expected number of tokens to prefill of a prompt of which uncached tokens are to be prefilled if
// the parts last used the given time ago are still cached, and all tokens otherwise.
func (r Retention) Expected(uncached, all int64, age time.Duration) int64 {
	return uncached + int64((1-r.Probability(age))*float64(max(all-uncached, 0)))
}

// Ample reports whether the endpoint keeps all parts for as long as any are expected to be cached.
func (r Retention) Ample() bool {
	return r.Probability(retentionHorizon) == 1
}

// ReadCost returns the cost of prefilling parts again, as a multiple of the prefill time, at an endpoint that spends the
// share busy of its time on prefill. It grows with the requests that the prefill delays, from one to sharedPrefixCost.
// Where the cache is ample, it is sharedPrefixCost.
func (r Retention) ReadCost(busy float64) float64 {
	if r.Ample() {
		return sharedPrefixCost
	}
	return 1 + (sharedPrefixCost-1)*min(max(busy, 0), 1)
}
