package admission

import "time"

// Estimate is the expected duration of a request, by phase.
type Estimate struct {
	Wait    time.Duration
	Prefill time.Duration
	Decode  time.Duration
}

// Total returns the time from now to the end of the answer.
func (e Estimate) Total() time.Duration { return e.Wait + e.Prefill + e.Decode }

// Verdict is the decision on a request that cannot start at once.
type Verdict struct {
	Queue bool
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter time.Duration
	Estimate   Estimate
}

// Decide queues a request that is expected to complete by its deadline, and refuses any other.
func Decide(now, deadline time.Time, e Estimate) Verdict {
	late := now.Add(e.Total()).Sub(deadline)
	return Verdict{Queue: late <= 0, RetryAfter: max(late, minRetryAfter), Estimate: e}
}

// StartRate estimates how fast waiting work starts, in tokens per second of the time in which work waits.
type StartRate struct {
	perSecond float64
	// since is the time up to which busy has been counted.
	since   time.Time
	waiting bool
	// busy and tokens are the time in which work waited and the tokens started, since the last update of perSecond.
	busy   time.Duration
	tokens int
}

// PerSecond returns the estimated rate in tokens per second, or initial while there is no estimate.
func (r *StartRate) PerSecond(initial float64) float64 {
	if r.perSecond == 0 {
		return initial
	}
	return r.perSecond
}

// Begin records that work starts to wait while none waited before.
func (r *StartRate) Begin(now time.Time) { r.since, r.waiting = now, true }

// End records that no work waits any more.
func (r *StartRate) End(now time.Time) {
	r.addBusyTime(now)
	r.waiting = false
}

// Started records that waiting work of the given number of tokens has started.
func (r *StartRate) Started(now time.Time, tokens int) {
	r.tokens += tokens
	r.addBusyTime(now)
	if r.busy < rateWindow {
		return
	}
	measured := float64(r.tokens) / r.busy.Seconds()
	if r.perSecond == 0 {
		r.perSecond = measured
	}
	r.perSecond += rateGain * (measured - r.perSecond)
	r.busy, r.tokens = 0, 0
}

func (r *StartRate) addBusyTime(now time.Time) {
	if r.waiting {
		r.busy += now.Sub(r.since)
		r.since = now
	}
}

// trackedRefusal is a refused request; target is the number of started tokens that covers all work ahead of it.
type trackedRefusal struct {
	target      int64
	tokens      int
	latestStart time.Time
}

// RefusalAudit checks refusals in hindsight: a refusal was wrong if the work ahead of it, including earlier refusals
// that are still tracked, would have started in time for the request.
type RefusalAudit struct {
	startedTokens int64
	tracked       []trackedRefusal
	total         int
	wrong         int
}

// Refused records the refusal of a request, with the tokens that waited ahead of it, its own tokens and its latest
// start.
func (a *RefusalAudit) Refused(ahead, tokens int, latestStart time.Time) {
	a.total++
	for _, r := range a.tracked {
		ahead += r.tokens
	}
	if len(a.tracked) < maxTrackedRefusals {
		a.tracked = append(a.tracked, trackedRefusal{target: a.startedTokens + int64(ahead), tokens: tokens, latestStart: latestStart})
	}
}

// Started records that work of the given number of tokens has started.
func (a *RefusalAudit) Started(now time.Time, tokens int) {
	a.startedTokens += int64(tokens)
	kept := a.tracked[:0]
	for _, r := range a.tracked {
		switch {
		case now.After(r.latestStart):
		case a.startedTokens > r.target:
			a.wrong++
		default:
			kept = append(kept, r)
		}
	}
	a.tracked = kept
}

// Refusals returns the number of refusals, and how many of them were wrong.
func (a *RefusalAudit) Refusals() (all, wrong int) { return a.total, a.wrong }
