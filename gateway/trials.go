package gateway

import (
	"time"

	"arbutusreel/crash"
)

// beginTrial begins the trial of a suspect request, or returns why it is to be held back and a channel that is closed when
// that may have changed. It returns neither for a request that is not suspect.
func (c *crashes) beginTrial(now time.Time, t traits) (*crash.Trial, *crash.Hold, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evidence.Len() == 0 && len(c.checks) == 0 {
		return nil, nil, nil
	}
	var unknown crash.Prompt
	for _, part := range t.prompt() {
		if !c.hasBegun(part) {
			unknown = append(unknown, part)
		}
	}
	if c.underCheck(unknown) {
		return nil, &crash.Hold{Crashes: 1}, c.progress
	}
	trial, hold := c.trials.Begin(now, c.evidence, unknown)
	return trial, hold, c.progress
}

// underCheck reports whether an endpoint is being checked that broke off a request with one of the parts.
func (c *crashes) underCheck(parts crash.Prompt) bool {
	for _, check := range c.checks {
		for _, p := range check.report.Prompts {
			for _, part := range parts {
				if p.Contains([]crash.Part{part}) {
					return true
				}
			}
		}
	}
	return false
}

// endTrial ends a trial.
func (c *crashes) endTrial(t *crash.Trial) {
	if t == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.trials.End(t) {
		c.signalProgress()
	}
}

// signalProgress wakes the requests that are held back.
func (c *crashes) signalProgress() {
	close(c.progress)
	c.progress = make(chan struct{})
}

// mayTry reports whether the request may be sent, given the crashes that it may have caused. It waits for pending crash checks and
// trials.
func (j *job) mayTry() bool {
	switch {
	case j.streaming():
		return true
	case !j.countCrash():
		return false
	case j.runs > 0 && !j.route.Repeatable() || j.runs >= j.maxRuns():
		return true
	default:
		return j.awaitTrial()
	}
}

// awaitTrial begins a trial if the request is suspect, after holding it back for as long as others with the same parts are
// tried or the evidence settles. It returns false if the request must not be sent.
func (j *job) awaitTrial() bool {
	c := j.g.crashes
	deadline := time.Now().Add(crash.MaxHoldTime)
	for {
		now := time.Now()
		trial, hold, progress := c.beginTrial(now, j.traits())
		if hold == nil {
			j.trial = trial
			return true
		}
		left := min(deadline.Sub(now), j.deadline.Sub(now)-minTimeLeft)
		if left <= 0 {
			return hold.Crashes < crash.SettledCrashes
		}
		if !hold.Until.IsZero() {
			left = min(left, hold.Until.Sub(now))
		}
		j.awaitProgress(progress, left)
		if _, blocked := c.blocks(time.Now(), j.traits()); blocked || j.ctx.Err() != nil {
			return true
		}
	}
}

// awaitProgress waits until progress is closed, a time has passed or the request has ended.
func (j *job) awaitProgress(progress <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-progress:
	case <-timer.C:
	case <-j.ctx.Done():
	}
}

// endTrial ends the request's trial if there is one.
func (j *job) endTrial() {
	j.g.crashes.endTrial(j.trial)
	j.trial = nil
}
