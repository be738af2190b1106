package admission

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// UsageKey identifies requests that are expected to use similar numbers of tokens.
type UsageKey struct {
	Team  string
	Class string
	Model string
}

// withFallbacks returns the key, that of all teams' requests of the class and model, and that of all requests of the
// model.
func (k UsageKey) withFallbacks() [3]UsageKey {
	return [3]UsageKey{k, {Class: k.Class, Model: k.Model}, {Model: k.Model}}
}

// sketch is a histogram of the tokens that requests used, in which older samples lose weight.
type sketch struct {
	histogram *hdrhistogram.Histogram
	samples   int
	total     int64
	recorded  int
	// usedAt is the value of UsageEstimator.clock when the sketch was last used.
	usedAt uint64
}

func newSketch() *sketch {
	return &sketch{histogram: hdrhistogram.New(1, maxTokens, significantDigits)}
}

func (s *sketch) record(tokens int) {
	if s.recorded >= samplesPerDecay {
		s.decay()
	}
	_ = s.histogram.RecordValue(int64(tokens))
	s.samples++
	s.recorded++
	s.total += int64(tokens)
}

// decay halves the weight of all recorded samples.
func (s *sketch) decay() {
	counts := s.histogram.Export()
	for i := range counts.Counts {
		counts.Counts[i] /= 2
	}
	s.histogram = hdrhistogram.Import(counts)
	s.recorded /= 2
	s.samples /= 2
	s.total /= 2
}

// UsageEstimator estimates how many tokens requests use from those that have completed.
type UsageEstimator struct {
	sketches map[UsageKey]*sketch
	// clock counts the uses of sketches, so that the least recently used one is known.
	clock uint64
}

// NewUsageEstimator returns an estimator without samples.
func NewUsageEstimator() *UsageEstimator {
	return &UsageEstimator{sketches: map[UsageKey]*sketch{}}
}

// Record records the number of tokens that a completely answered request has used.
func (u *UsageEstimator) Record(k UsageKey, tokens int) {
	tokens = min(max(tokens, 1), maxTokens)
	for _, key := range k.withFallbacks() {
		u.sketch(key).record(tokens)
	}
}

// Quantile returns the quantile q of the tokens that similar requests have used, at most asked. While there are too
// few samples of the team, it is that of all teams' requests of the class, then that of all requests of the model, and
// then asked.
func (u *UsageEstimator) Quantile(k UsageKey, q float64, asked int) int {
	s := u.lookup(k)
	if s == nil || q <= 0 {
		return asked
	}
	return min(int(s.histogram.ValueAtQuantile(100*min(q, 1))), asked)
}

// Mean returns the mean number of tokens that similar requests have used, at most asked; while there are too few
// samples, it is a quarter of asked.
func (u *UsageEstimator) Mean(k UsageKey, asked int) int {
	s := u.lookup(k)
	if s == nil {
		return int(priorFraction * float64(asked))
	}
	return min(int(s.total/int64(s.samples)), asked)
}

// QuantileOrPrior returns the same quantile as Quantile; while there are too few samples, it is a quarter of asked.
func (u *UsageEstimator) QuantileOrPrior(k UsageKey, q float64, asked int) int {
	if u.lookup(k) == nil {
		return int(priorFraction * float64(asked))
	}
	return u.Quantile(k, q, asked)
}

func (u *UsageEstimator) lookup(k UsageKey) *sketch {
	for _, key := range k.withFallbacks() {
		if s := u.sketches[key]; s != nil && s.samples >= minSamples {
			u.clock++
			s.usedAt = u.clock
			return s
		}
	}
	return nil
}

// sketch returns the sketch of the key, which it adds if there is none. If there are maxSketches already, it evicts the
// least recently used one before.
func (u *UsageEstimator) sketch(k UsageKey) *sketch {
	u.clock++
	if s := u.sketches[k]; s != nil {
		s.usedAt = u.clock
		return s
	}
	if len(u.sketches) >= maxSketches {
		u.evictOldest()
	}
	s := newSketch()
	s.usedAt = u.clock
	u.sketches[k] = s
	return s
}

func (u *UsageEstimator) evictOldest() {
	var oldest UsageKey
	at := u.clock + 1
	for k, s := range u.sketches {
		if s.usedAt < at {
			oldest, at = k, s.usedAt
		}
	}
	delete(u.sketches, oldest)
}
