package admission

import "time"

// Estimate is how long a request is expected to take.
type Estimate struct {
	Wait    time.Duration
	Prefill time.Duration
	Decode  time.Duration
}

// Total returns the time from now to the end of the answer.
func (e Estimate) Total() time.Duration { return e.Wait + e.Prefill + e.Decode }

// Verdict is what is decided of a request that cannot start at once.
type Verdict struct {
	Queue bool
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	Estimate   Estimate
}

// Decide queues a request that is expected to be met before its deadline, and refuses any other.
func Decide(now, deadline time.Time, e Estimate) Verdict {
	late := now.Add(e.Total()).Sub(deadline)
	return Verdict{Queue: late <= 0, RetryAfter: max(late, minRetryAfter), Estimate: e}
}

// Rate learns how fast waiting work starts, in tokens a second of the time in which work waits.
type Rate struct {
	perSecond float64
	since     time.Time
	waiting   bool
	busy      time.Duration
	tokens    int
}

// PerSecond returns the learned rate, or first if nothing has been learned.
func (r *Rate) PerSecond(first float64) float64 {
	if r.perSecond == 0 {
		return first
	}
	return r.perSecond
}

// Begin says that work begins to wait where none did before.
func (r *Rate) Begin(now time.Time) { r.since, r.waiting = now, true }

// End says that no work waits any more.
func (r *Rate) End(now time.Time) {
	r.count(now)
	r.waiting = false
}

// Started says that waiting work of that many tokens has started.
func (r *Rate) Started(now time.Time, tokens int) {
	r.tokens += tokens
	r.count(now)
	if r.busy < rateWindow {
		return
	}
	measured := float64(r.tokens) / r.busy.Seconds()
	if r.perSecond == 0 {
		r.perSecond = measured
	}
	r.perSecond += rateShare * (measured - r.perSecond)
	r.busy, r.tokens = 0, 0
}

func (r *Rate) count(now time.Time) {
	if r.waiting {
		r.busy += now.Sub(r.since)
		r.since = now
	}
}

// refused is a request that was refused, with the work that was to start before it.
type refused struct {
	target      int64
	tokens      int
	latestStart time.Time
}

// Audit follows refusals up: a refusal was wrong if the work before it, and what was refused before it and is still
// followed up, would have started in time for the request.
type Audit struct {
	started  int64
	refusals []refused
	counted  int
	wrong    int
}

// Refused notes the refusal of a request of that work, with the tokens that waited before it and its latest start.
func (a *Audit) Refused(ahead, tokens int, latestStart time.Time) {
	a.counted++
	for _, r := range a.refusals {
		ahead += r.tokens
	}
	if len(a.refusals) < maxRefused {
		a.refusals = append(a.refusals, refused{target: a.started + int64(ahead), tokens: tokens, latestStart: latestStart})
	}
}

// Started notes that work has started.
func (a *Audit) Started(now time.Time, tokens int) {
	a.started += int64(tokens)
	kept := a.refusals[:0]
	for _, r := range a.refusals {
		switch {
		case now.After(r.latestStart):
		case a.started > r.target:
			a.wrong++
		default:
			kept = append(kept, r)
		}
	}
	a.refusals = kept
}

// Refusals returns the number of refusals and of wrong ones among them.
func (a *Audit) Refusals() (all, wrong int) { return a.counted, a.wrong }
