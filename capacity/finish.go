package capacity

import (
	"math"
	"time"
)

const (
	// lateLoss is the part of a response's value that is lost if it is late.
	lateLoss = 0.7
	// lossCost is the cost of losing the value of a response, as a multiple of the objective. It equals the cost of a
	// failure.
	lossCost = failureCost
	// spellShare is the share of time in which an endpoint's machine is assumed to be busy with other work; the learned
	// spread of its paces is how much slower it is then.
	spellShare = 0.15
	// exposureTime is how long an endpoint's pace and prefill stay about the same: spells and bursts of prefill last some
	// hundred milliseconds.
	exposureTime = 300 * time.Millisecond
	// gapMargin is the share of the pause objective around it in which the probability of missing it goes from zero to
	// one.
	gapMargin = 0.3
	// finishMargin is the same for the time left, which allows for the uncertain length of the response, and firstMargin for
	// the first chunk.
	finishMargin = 0.5
	firstMargin  = 0.5
	// unknownLoss is the value that is assumed to be lost at an endpoint of unknown pace at which triedRequests run, so that
	// such an endpoint gets few requests until its pace is known.
	unknownLoss   = 0.5
	triedRequests = 4.0
	// unfinishedFactor is the multiple of the time left that the expected end at every endpoint must exceed before a
	// request is refused: the hinted length is right only at the median.
	unfinishedFactor = 2
	// affectedShare is the share of the running requests at an endpoint that lose value by longer pauses: some have no
	// pause objective, end soon or have missed it before.
	affectedShare = 0.5
	// minUneven and fullUneven are the variances of the candidates' paces between which the cost of pauses and of the end
	// grows from nothing to its whole amount. The variance of equal endpoints' learned paces stays below minUneven.
	minUneven  = 0.01
	fullUneven = 0.04
	// minKnownCount is the number of observations from which the pace of an endpoint counts as known.
	minKnownCount = 4.0
	// priorSpreadCount is the number of observations without any spread that are added to those of all candidates.
	priorSpreadCount = 20.0
	// tokensPerChunk is the number of prompt tokens that an engine prefills in one step.
	tokensPerChunk = 1024
)

// Stream holds what a stream has to meet besides its first chunk. The zero value sets no target.
type Stream struct {
	// Gap is the target for the longest pause between two events, and EventTokens the number of tokens of an event.
	Gap         time.Duration
	EventTokens int
	// First is the time left until the first chunk should arrive, and Remaining that until the stream has to be complete.
	First, Remaining time.Duration
	// Tokens is the expected number of output tokens; zero stands for that of the work.
	Tokens int64
	// WeighEven counts the cost of pauses and of the end also where the paces of the endpoints are equal.
	WeighEven bool
}

// finisher estimates the pauses and the end of a response at each candidate.
type finisher struct {
	stream     Stream
	output     float64
	idle, each float64
	// calm and spell are the paces of a machine without and with other work, relative to its mean.
	calm, spell float64
	// uneven is the weight of the paces, zero if they are equal, and scale the cost of losing the value of a response.
	uneven, scale float64
}

func newFinisher(candidates []Candidate, w Work, s Speed, objective time.Duration) finisher {
	f := finisher{stream: w.Stream, output: float64(w.OutputTokens)}
	if w.OutputTokens == 0 || w.Stream == (Stream{}) {
		return f
	}
	if w.Stream.Tokens > 0 {
		f.output = float64(w.Stream.Tokens)
	}
	f.idle, f.each = s.Decode.line()
	uneven, spread := unevenness(candidates)
	if w.Stream.WeighEven {
		uneven = 1
	}
	f.uneven, f.scale = uneven, uneven*lossCost*float64(objective)
	deviation := math.Sqrt(spread / (spellShare * (1 - spellShare)))
	f.calm = max(1-spellShare*deviation, minDecodeRatio)
	f.spell = f.calm + deviation
	return f
}

// unevenness returns the weight in [0, 1] of the cost of pauses and of the end, which is zero if the paces of the candidates
// are equal, and the mean square of the relative differences of paces from their means over time.
func unevenness(candidates []Candidate) (weight, spread float64) {
	var sum, squares, n, deviations float64
	observed := priorSpreadCount
	for i := range candidates {
		d := &candidates[i].Decode
		if d.Factor > 0 {
			sum, squares, n = sum+d.Factor, squares+d.Factor*d.Factor, n+1
			deviations, observed = deviations+d.Deviations, observed+d.Observed
		}
	}
	if n == 0 {
		return 0, 0
	}
	mean := sum / n
	variance := (squares/n - mean*mean) / (mean * mean)
	return min(max((variance-minUneven)/(fullUneven-minUneven), 0), 1), deviations / observed
}

// pauses holds the probabilities that a pause misses the objective while the endpoint prefills no prompt and while it does.
type pauses struct {
	idle, reading float64
}

// miss returns the probability that a pause of the length misses the objective.
func (f *finisher) miss(pause float64) float64 { return over(pause, f.stream.Gap, gapMargin) }

// pausesAt returns the probabilities of too long pauses at an endpoint that takes step for a token without prefill.
func (f *finisher) pausesAt(step, pace float64) pauses {
	tokens := pace * float64(f.stream.EventTokens)
	calm, spell := tokens*f.calm, tokens*f.spell
	reading := step + float64(prefillStepTime)
	return pauses{
		idle:    (1-spellShare)*f.miss(calm*step) + spellShare*f.miss(spell*step),
		reading: (1-spellShare)*f.miss(calm*reading) + spellShare*f.miss(spell*reading),
	}
}

// placed is an endpoint as it would be with one more request.
type placed struct {
	// pace is relative to the usual endpoint, others the number of requests that run there, step the usual time for a token
	// without prefill, busy the share of time with prefill, and took the time in which the response is decoded.
	pace, others, step, busy, took float64
}

func (f *finisher) place(c *Candidate) placed {
	p := placed{pace: c.Decode.Factor, others: float64(c.Outstanding.Requests)}
	if p.pace <= 0 {
		p.pace = 1
	}
	if c.Slots > 0 {
		p.others = min(p.others, float64(c.Slots-1))
	}
	p.busy = min(c.Busy*p.pace, 1)
	p.step = f.idle + f.each*(p.others+1)
	p.took = f.output * p.pace * meanTokenTime(p.step, p.busy)
	return p
}

// end returns the expected time to the end of the response at a candidate with the given time to the first chunk, or zero
// if the length of the response is not known.
func (f *finisher) end(c *Candidate, wait time.Duration) time.Duration {
	if f.idle == 0 {
		return 0
	}
	return wait + time.Duration(f.place(c).took)
}

// unfinished reports whether the response is expected to end too late at every candidate; chosen is the end at one of them.
// An endpoint whose pace is not known may be quick enough.
func (f *finisher) unfinished(candidates []Candidate, w Work, s Speed, uncached int64, chosen time.Duration) bool {
	limit := time.Duration(unfinishedFactor * float64(w.Stream.Remaining))
	if limit <= 0 || chosen <= limit {
		return false
	}
	for i := range candidates {
		c := &candidates[i]
		wait := float64(c.EstimateWait(&w, uncached, &s).Wait) * f.waitFactor(c)
		if c.Decode.Count < minKnownCount || f.end(c, time.Duration(wait)) <= limit {
			return false
		}
	}
	return true
}

// waitFactor returns the factor of the candidate's pace in its time to the first chunk, one if the paces are equal.
func (f *finisher) waitFactor(c *Candidate) float64 {
	if f.uneven == 0 || c.Decode.Factor <= 0 {
		return 1
	}
	return 1 + f.uneven*(c.Decode.Factor-1)
}

// cost returns the cost of the expected pauses and end of the response at a candidate that has to prefill the given number of
// tokens, including what the request costs those that run there.
func (f *finisher) cost(c *Candidate, uncached int64, wait time.Duration) time.Duration {
	if f.scale == 0 {
		return 0
	}
	p := f.place(c)
	broken := over(float64(wait)+p.took, f.stream.Remaining, finishMargin)
	late := over(float64(wait), f.stream.First, firstMargin)
	harm := 0.0
	if f.stream.Gap > 0 && f.stream.EventTokens > 0 {
		var paused float64
		paused, harm = f.lostByPauses(p, uncached)
		late = 1 - (1-late)*(1-paused)
	}
	lost := broken + (1-broken)*lateLoss*late + harm
	if c.Decode.Count < minKnownCount {
		lost += unknownLoss * min(p.others/triedRequests, 1)
	}
	return time.Duration(f.scale * lost)
}

// harmful reports whether a response is expected to lose more value than it is worth at a candidate of whose slots at least half
// are taken.
func (f *finisher) harmful(c *Candidate, uncached int64, wait time.Duration) bool {
	return f.uneven == 1 && 2*c.Outstanding.Requests >= c.Slots && float64(f.cost(c, uncached, wait)) >= f.scale
}

// over returns the probability that an expected time exceeds a limit, which goes from zero to one within the margin around
// it. A limit of zero is never exceeded.
func over(expected float64, limit time.Duration, margin float64) float64 {
	if limit <= 0 {
		return 0
	}
	return min(max((expected/float64(limit)-1)/margin+0.5, 0), 1)
}

// lostByPauses returns the probability that the response misses the pause objective, and the value that the requests that run at
// the endpoint lose by longer pauses.
func (f *finisher) lostByPauses(p placed, uncached int64) (paused, harm float64) {
	with, without := f.pausesAt(p.step, p.pace), f.pausesAt(p.step-f.each, p.pace)
	exposures := p.took / float64(exposureTime)
	own := exposures * (with.idle + p.busy*(with.reading-with.idle))
	more := max((with.idle-without.idle)*(1-p.busy)+p.busy*(with.reading-without.reading), 0)
	read := float64(uncached) / tokensPerChunk * p.pace * (p.step + float64(prefillStepTime)) / float64(exposureTime)
	missed := exposures*more + min(read, 1)*(with.reading-with.idle)
	return own / (1 + own), lateLoss * affectedShare * p.others * missed / (1 + own)
}
