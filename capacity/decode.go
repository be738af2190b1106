package capacity

import (
	"math"
	"time"
)

const (
	// quickDecayTime is the time constant of the quick part of a decode pace, which follows how busy the other users of
	// an endpoint's hardware are, and slowDecayTime that of the slow part, which is the endpoint's constant speed.
	quickDecayTime = time.Second
	slowDecayTime  = 30 * time.Second
	// priorDecodeCount is the number of observations at the usual pace that are added to those of every endpoint.
	priorDecodeCount = 4.0
	// minDecodeRatio and maxDecodeRatio bound the ratio of observed to usual time per token of a single observation. A
	// stream that was preempted pauses for longer than that, which says nothing about the pace.
	minDecodeRatio = 0.2
	maxDecodeRatio = 8.0
	// maxReportedWeight is the number of observations from which an endpoint's own report of its pace is no longer used,
	// and reportedWeight the weight of one report, so that false reports are outvoted.
	maxReportedWeight = 10.0
	reportedWeight    = 0.5
	// minReportedRatio and maxReportedRatio bound an endpoint's own report of its pace.
	minReportedRatio = 0.25
	maxReportedRatio = 4.0
)

// DecodePace is how long an endpoint takes for an output token relative to the usual time, as sums and numbers of ratios
// with exponential decay. Sums over gateways are exact. It is an immutable value.
type DecodePace struct {
	// Ratios, Squares and Count are the sums of the quick part at the time At.
	Ratios, Squares, Count float64
	// SlowRatios and SlowCount are the sums of the slow part.
	SlowRatios, SlowCount float64
	At                    time.Time
}

// Now returns the pace decayed to now.
func (p DecodePace) Now(now time.Time) DecodePace {
	if p.SlowCount == 0 {
		return DecodePace{At: now}
	}
	age := now.Sub(p.At)
	if age == 0 {
		return p
	}
	quick, slow := decays(age)
	return DecodePace{
		Ratios: p.Ratios * quick, Squares: p.Squares * quick, Count: p.Count * quick,
		SlowRatios: p.SlowRatios * slow, SlowCount: p.SlowCount * slow, At: now,
	}
}

// With returns the pace including an observation made now.
func (p DecodePace) With(now time.Time, usual, took time.Duration) DecodePace {
	return p.with(now, min(max(float64(took)/float64(max(usual, 1)), minDecodeRatio), maxDecodeRatio), 1)
}

// WithReported returns the pace including the endpoint's own report of it. A report counts little, and not at all once
// enough has been observed; known is the number of observations of all gateways.
func (p DecodePace) WithReported(now time.Time, ratio, known float64) DecodePace {
	if math.IsNaN(ratio) || ratio <= 0 || known >= maxReportedWeight {
		return p
	}
	return p.with(now, min(max(ratio, minReportedRatio), maxReportedRatio), reportedWeight)
}

func (p DecodePace) with(now time.Time, ratio, weight float64) DecodePace {
	p = p.Now(now)
	p.Ratios, p.Squares, p.Count = p.Ratios+weight*ratio, p.Squares+weight*ratio*ratio, p.Count+weight
	p.SlowRatios, p.SlowCount = p.SlowRatios+weight*ratio, p.SlowCount+weight
	return p
}

// Plus returns the sum of the observations, decayed to now.
func (p DecodePace) Plus(now time.Time, other DecodePace) DecodePace {
	return p.Now(now).add(other.Now(now), 1)
}

// Minus returns the difference of the observations, decayed to now, without negative values.
func (p DecodePace) Minus(now time.Time, other DecodePace) DecodePace {
	return p.Now(now).add(other.Now(now), -1)
}

func (p DecodePace) add(other DecodePace, sign float64) DecodePace {
	return DecodePace{
		Ratios: max(p.Ratios+sign*other.Ratios, 0), Squares: max(p.Squares+sign*other.Squares, 0), Count: max(p.Count+sign*other.Count, 0),
		SlowRatios: max(p.SlowRatios+sign*other.SlowRatios, 0), SlowCount: max(p.SlowCount+sign*other.SlowCount, 0), At: p.At,
	}
}

// DecodeEstimate is what is known of an endpoint's decode pace at one moment. The zero value stands for nothing known.
type DecodeEstimate struct {
	// Factor is the mean pace of the slow part; zero if it is not known. Count is the number of observations behind it.
	Factor, Count float64
	// Deviations is the sum of the squared relative differences of the quick part's observations from Factor, and Observed
	// their number.
	Deviations, Observed float64
}

// Estimate returns the estimate from the observations at now.
func (p DecodePace) Estimate(now time.Time) DecodeEstimate {
	return EstimateDecode(now, &p, &DecodePace{})
}

// EstimateDecode returns the estimate from the sum of two paces at now. It is the same as the estimate of their sum, for decisions about
// many endpoints.
func EstimateDecode(now time.Time, own, others *DecodePace) DecodeEstimate {
	if own.SlowCount == 0 && others.SlowCount == 0 {
		return DecodeEstimate{Factor: 1}
	}
	var ratios, squares, slowRatios float64
	var e DecodeEstimate
	for _, p := range [...]*DecodePace{own, others} {
		if p.SlowCount == 0 {
			continue
		}
		quick, slow := decays(now.Sub(p.At))
		ratios, squares, e.Observed = ratios+quick*p.Ratios, squares+quick*p.Squares, e.Observed+quick*p.Count
		slowRatios, e.Count = slowRatios+slow*p.SlowRatios, e.Count+slow*p.SlowCount
	}
	e.Factor = (slowRatios + priorDecodeCount) / (e.Count + priorDecodeCount)
	e.Deviations = max(squares/(e.Factor*e.Factor)-2*ratios/e.Factor+e.Observed, 0)
	return e
}

// decays returns the factors by which the quick and the slow part have decayed after a time.
func decays(age time.Duration) (quick, slow float64) {
	return math.Exp(-float64(age) / float64(quickDecayTime)), math.Exp(-float64(age) / float64(slowDecayTime))
}

const (
	// initialTokenTime and initialRequestTime are the usual time per output token of an idle endpoint and the additional
	// time for each running request before the first observation.
	initialTokenTime   = 3 * time.Millisecond
	initialRequestTime = 120 * time.Microsecond
	// prefillStepTime is the additional time of a decode step that includes a chunk of 1,024 prompt tokens, at about 92
	// tokens per millisecond.
	prefillStepTime = 11 * time.Millisecond
	// priorDecodeWeight is the weight of the initial times, at no and at priorRunning running requests, in the learned
	// ones.
	priorDecodeWeight = 20.0
	priorRunning      = 64.0
	// decodeSpeedDecay is the factor by which the weight of earlier observations falls with each one.
	decodeSpeedDecay = 1 - 1.0/2000
	// minTokenTime and minRequestTime bound the learned times from below.
	minTokenTime   = 100 * time.Microsecond
	minRequestTime = time.Microsecond
)

// DecodeSpeed is the usual decode time of a service's endpoints, which grows linearly with the number of running
// requests. It is learned by least squares. It is an immutable value; the zero value holds the initial times.
type DecodeSpeed struct {
	weight, running, runningSquares, times, products float64
}

// line returns the usual time of an idle endpoint and the additional time for each running request, in nanoseconds.
func (s DecodeSpeed) line() (idle, each float64) {
	const idlePrior, eachPrior = float64(initialTokenTime), float64(initialRequestTime)
	w, n, nn := s.weight+2*priorDecodeWeight, s.running+priorDecodeWeight*priorRunning, s.runningSquares+priorDecodeWeight*priorRunning*priorRunning
	busy := idlePrior + eachPrior*priorRunning
	y, ny := s.times+priorDecodeWeight*(idlePrior+busy), s.products+priorDecodeWeight*priorRunning*busy
	each = max((w*ny-n*y)/(w*nn-n*n), float64(minRequestTime))
	return max((y-each*n)/w, float64(minTokenTime)), each
}

// TokenTime returns the usual time per output token with the given number of running requests at an endpoint that spends the
// fraction busy of its time on steps that include prefill.
func (s DecodeSpeed) TokenTime(running int, busy float64) time.Duration {
	idle, each := s.line()
	return time.Duration(meanTokenTime(idle+each*float64(running), busy))
}

// meanTokenTime returns the mean time per token of an endpoint that takes step for one without prefill.
func meanTokenTime(step, busy float64) float64 {
	return 1 / ((1-busy)/step + busy/(step+float64(prefillStepTime)))
}

// With returns the speed after an endpoint of the given pace took the time per token with the given number of running
// requests, while it spent the fraction busy of its time on prefill.
func (s DecodeSpeed) With(running int, busy, pace float64, took time.Duration) DecodeSpeed {
	idle, each := s.line()
	n := float64(running)
	step := idle + each*n
	usual := meanTokenTime(step, busy)
	ratio := min(max(float64(took)/(usual*pace), minDecodeRatio), maxDecodeRatio)
	y := step * ratio
	s.weight, s.running, s.runningSquares = s.weight*decodeSpeedDecay+1, s.running*decodeSpeedDecay+n, s.runningSquares*decodeSpeedDecay+n*n
	s.times, s.products = s.times*decodeSpeedDecay+y, s.products*decodeSpeedDecay+n*y
	return s
}
