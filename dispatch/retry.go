package dispatch

import (
	"time"

	"arbutusreel/retry"
)

// budgetKey identifies the requests that share a retry budget.
type budgetKey struct {
	region string
	class  string
}

func (s *scheduler) budgetKey(j *job) budgetKey {
	return budgetKey{region: s.self.Region, class: j.request.Class}
}

// openStream counts a stream whose answer has started.
func (s *scheduler) openStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumeBudget.Open(s.now())
}

// closeStream counts the end of a stream whose answer had started.
func (s *scheduler) closeStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumeBudget.Close(s.now())
}

// recordEndpoint records an attempt's result in the breaker of its endpoint, and stops or admits new requests to the
// endpoint if the breaker has opened or closed. After a successful probe, the endpoint counts as tripped for a moment,
// so that it is admitted with a slow start instead of one request at a time.
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
	s.log.Info().Str("endpoint", name).Str("state", after.String()).Msg("breaker state changed")
}

// record counts a success or failure in a breaker and returns the breaker's state; a failure that is due to the request,
// its caller or the software version that began its answer counts as neither.
func (s *scheduler) record(now time.Time, b *retry.Breakers[string], name string, err error, failure retry.Failure) retry.State {
	switch {
	case err == nil:
		return b.Succeeded(now, name)
	case failure == retry.Final || refusedVersion(err):
		return b.State(now, name)
	case failure == retry.Unreached:
		return b.Unreached(now, name)
	}
	return b.Failed(now, name)
}

// decideRetry returns whether a failed request is tried again, and after which delay.
func (s *scheduler) decideRetry(j *job, failure retry.Failure) (time.Duration, retry.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.answerStarted() {
		return s.decideResume(j, failure)
	}
	delay, reason := retry.Decide(s.now(), j.attempts, failure, s.retryBudget, s.budgetKey(j), s.rng)
	if reason == retry.Retry {
		s.counts.Retries++
	}
	return delay, reason
}

// unknownVersion is the reason not to resume an answer if it is not known which software version began it.
const unknownVersion retry.Reason = "unknownVersion"

// decideResume returns whether an interrupted stream is resumed, and after which delay.
func (s *scheduler) decideResume(j *job, failure retry.Failure) (time.Duration, retry.Reason) {
	if !j.query.Began.Known() {
		return 0, unknownVersion
	}
	delay, reason := retry.DecideResume(s.now(), j.attempts, failure, s.resumeBudget, s.rng)
	if reason == retry.Retry {
		s.counts.Resumes++
	}
	return delay, reason
}
