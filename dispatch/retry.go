package dispatch

import (
	"time"

	"arbutusreel/retry"
)

// budgetKey names the requests that share a budget of retries.
type budgetKey struct {
	region string
	class  string
}

func (s *scheduler) budgetKey(j *job) budgetKey {
	return budgetKey{region: s.self.Region, class: j.request.Class}
}

// opened counts a stream whose answer has begun.
func (s *scheduler) opened() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumes.Open(s.now())
}

// closed counts the end of a stream whose answer had begun.
func (s *scheduler) closed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumes.Close(s.now())
}

// recordEndpoint counts an endpoint's success or failure and opens or closes it for work.
func (s *scheduler) recordEndpoint(now time.Time, name string, err error, failure retry.Failure) {
	before := s.breakers.State(now, name)
	after := s.record(now, s.breakers, name, err, failure)
	if before == after {
		return
	}
	s.chooser.SetTripped(name, after == retry.Open)
	if before == retry.HalfOpen && after == retry.Closed {
		s.chooser.SetTripped(name, true)
		s.chooser.SetTripped(name, false)
	}
	s.log.Info().Str("endpoint", name).Str("state", after.String()).Msg("breakerChanged")
}

// record counts a success or failure; a failure that is the request's own counts as neither.
func (s *scheduler) record(now time.Time, b *retry.Breakers[string], name string, err error, failure retry.Failure) retry.State {
	switch {
	case err == nil:
		return b.Succeeded(now, name)
	case failure == retry.Final:
		return b.State(now, name)
	case failure == retry.Unreached:
		return b.Unreached(now, name)
	}
	return b.Failed(now, name)
}

// decide returns whether a failed request is tried again, and when.
func (s *scheduler) decide(j *job, failure retry.Failure) (time.Duration, retry.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.begun() {
		return s.decideResume(j, failure)
	}
	delay, reason := retry.Decide(s.now(), j.attempts, failure, s.budget, s.budgetKey(j), s.rng)
	if reason == retry.Retry {
		s.counts.Retries++
	}
	return delay, reason
}

// decideResume returns whether a stream in mid-answer is resumed, and when.
func (s *scheduler) decideResume(j *job, failure retry.Failure) (time.Duration, retry.Reason) {
	delay, reason := retry.DecideResume(s.now(), j.attempts, failure, s.resumes, s.rng)
	if reason == retry.Retry {
		s.counts.Resumes++
	}
	return delay, reason
}
