package capacity

import (
	"math"
	"time"
)

const (
	// paceTimeConstant is the time constant with which observations of an endpoint's pace decay. An endpoint that is
	// avoided because it was slow is tried again after a few times as long.
	paceTimeConstant = 2 * time.Second
	// priorPace is the number of observations at the expected pace that are added to those of every endpoint, so that a
	// single slow answer has little weight.
	priorPace = 2
)

// Pace is the recent pace of an endpoint, as the sum and the number of the ratios of observed to expected times to the
// first chunk, with exponential decay. Sums over gateways are exact, so that gateways that each see an endpoint seldom
// learn its pace together. It is an immutable value.
type Pace struct {
	// Ratios and Count are the decayed sum and number at the time At.
	Ratios, Count float64
	At            time.Time
}

// Now returns the pace decayed to now.
func (p Pace) Now(now time.Time) Pace {
	if p.Count == 0 {
		return Pace{At: now}
	}
	if p.At.Equal(now) {
		return p
	}
	decay := math.Exp(-float64(now.Sub(p.At)) / float64(paceTimeConstant))
	return Pace{Ratios: p.Ratios * decay, Count: p.Count * decay, At: now}
}

// With returns the pace including an observation made now.
func (p Pace) With(now time.Time, expected, took time.Duration) Pace {
	ratio := min(max(float64(took)/float64(max(expected, time.Millisecond)), minFactor), maxFactor)
	p = p.Now(now)
	p.Ratios += ratio
	p.Count++
	return p
}

// Plus returns the sum of the observations, decayed to now.
func (p Pace) Plus(now time.Time, other Pace) Pace {
	p, other = p.Now(now), other.Now(now)
	return Pace{Ratios: p.Ratios + other.Ratios, Count: p.Count + other.Count, At: now}
}

// Minus returns the difference of the observations, decayed to now, without negative values.
func (p Pace) Minus(now time.Time, other Pace) Pace {
	p, other = p.Now(now), other.Now(now)
	return Pace{Ratios: max(p.Ratios-other.Ratios, 0), Count: max(p.Count-other.Count, 0), At: now}
}

// Factor returns the mean ratio of observed to expected times.
func (p Pace) Factor(now time.Time) float64 {
	p = p.Now(now)
	return (p.Ratios + priorPace) / (p.Count + priorPace)
}

// NormalizePace divides the factors of the candidates by their mean, so that a factor says how much slower than the others
// an endpoint is. Under overload all endpoints are slower than expected, and none of them need be avoided.
func NormalizePace(candidates []Candidate) {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].Health.Factor
	}
	mean := sum / float64(max(len(candidates), 1))
	for i := range candidates {
		candidates[i].Health.Factor /= max(mean, 1)
	}
}
