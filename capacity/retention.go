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

const (
	// minReadCost is the cost of prefilling a part again that all requests use, as a multiple of the prefill time.
	minReadCost = 1.0
	// rareReadCost is added for a part that is seldom used. The read delays the requests at the endpoint, lengthens the pauses of
	// its streams and evicts other parts, and the copy serves few later requests. In replays of the second deployment
	// (subjectsSite in gateway) multiples of 12 to 24 served most on time; at 3, the cost without known holders, half of the
	// shared tokens were read again.
	rareReadCost = 26.0
	// readCostTime is the time in which one use of a part halves the added cost. With 60 subjects of 1 use a second each at engines of
	// equal pace 0.965 were on time at 2 s, and 0.983 at 4 and 6 s.
	readCostTime = 4.0
	// fullCost is the cost of an endpoint without a slot or memory, as a multiple of the objective, where holders are known. It
	// exceeds those of reading all parts and of a late first chunk together, because a late answer is worth more than none.
	fullCost = 4.0
	// maxReadCost bounds the cost of reading a prompt's parts again, as a multiple of the objective. It is below the cost of a late first
	// chunk (1.4) and of a refusal (2): without it, long parts kept requests waiting at full holders beside free endpoints.
	maxReadCost = 1.2
)

// ReadCost returns the cost of prefilling a part again that is used the given number of times a second, as a multiple of the
// prefill time. It falls with the uses, so that a popular part gets another holder before the queue of the first one is long.
func ReadCost(usesPerSecond float64) float64 {
	return minReadCost + rareReadCost/(1+readCostTime*max(usesPerSecond, 0))
}
