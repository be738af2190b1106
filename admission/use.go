package admission

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Key names requests that are expected to use alike.
type Key struct {
	Team  string
	Class string
	Model string
}

// keys returns the key, that of all teams' requests of the class and model, and that of all requests of the model.
func (k Key) keys() [3]Key {
	return [3]Key{k, {Class: k.Class, Model: k.Model}, {Model: k.Model}}
}

// sketch is a histogram of the tokens that requests used, whose older half loses weight.
type sketch struct {
	histogram *hdrhistogram.Histogram
	samples   int
	total     int64
	recorded  int
	usedAt    uint64
}

func newSketch() *sketch {
	return &sketch{histogram: hdrhistogram.New(1, maxTokens, useDigits)}
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

// decay halves the weight of everything that was recorded.
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

// Uses learns how many tokens requests really use.
type Uses struct {
	sketches map[Key]*sketch
	clock    uint64
}

// NewUses returns a learner that has seen no request.
func NewUses() *Uses {
	return &Uses{sketches: map[Key]*sketch{}}
}

// Record notes that a request that was answered whole has used tokens.
func (u *Uses) Record(k Key, tokens int) {
	tokens = min(max(tokens, 1), maxTokens)
	for _, key := range k.keys() {
		u.sketch(key).record(tokens)
	}
}

// Quantile returns the quantile of what requests like this one have used, at most asked. Before enough of the team's
// requests are known it is that of all teams' requests of the class, then of all of the model, and then asked.
func (u *Uses) Quantile(k Key, q float64, asked int) int {
	s := u.known(k)
	if s == nil || q <= 0 {
		return asked
	}
	return min(int(s.histogram.ValueAtQuantile(100*min(q, 1))), asked)
}

// Mean returns the mean of what requests like this one have used, at most asked; before anything is known it is a
// quarter of asked.
func (u *Uses) Mean(k Key, asked int) int {
	s := u.known(k)
	if s == nil {
		return int(priorShare * float64(asked))
	}
	return min(int(s.total/int64(s.samples)), asked)
}

// Likely returns the quantile of what requests like this one have used as Quantile does; before anything is known it
// is a quarter of asked.
func (u *Uses) Likely(k Key, q float64, asked int) int {
	if u.known(k) == nil {
		return int(priorShare * float64(asked))
	}
	return u.Quantile(k, q, asked)
}

func (u *Uses) known(k Key) *sketch {
	for _, key := range k.keys() {
		if s := u.sketches[key]; s != nil && s.samples >= minSamples {
			u.clock++
			s.usedAt = u.clock
			return s
		}
	}
	return nil
}

// sketch returns the sketch of the key; if there are too many, the one that was not used for longest is forgotten.
func (u *Uses) sketch(k Key) *sketch {
	u.clock++
	if s := u.sketches[k]; s != nil {
		s.usedAt = u.clock
		return s
	}
	if len(u.sketches) >= maxUses {
		u.forget()
	}
	s := newSketch()
	s.usedAt = u.clock
	u.sketches[k] = s
	return s
}

func (u *Uses) forget() {
	var oldest Key
	at := u.clock + 1
	for k, s := range u.sketches {
		if s.usedAt < at {
			oldest, at = k, s.usedAt
		}
	}
	delete(u.sketches, oldest)
}
