package dispatch

import (
	"net/http"

	"arbutusreel/admission"
	"arbutusreel/problem"
)

func (s *scheduler) refuseNoCapacity(j *job) error {
	s.counts.Refused++
	s.explainRefusal(j, problem.NoCapacity, admission.Verdict{RetryAfter: retryAfterNoCapacity})
	return problem.New(problem.NoCapacity, http.StatusServiceUnavailable, "no endpoint of service %q is known for model %q", j.request.Service, j.request.Model).WithRetryAfter(retryAfterNoCapacity)
}

// refusePatienceExceeded refuses a request that cannot be met within its patience.
func (s *scheduler) refusePatienceExceeded(j *job, q *modelQueue, v admission.Verdict) error {
	s.counts.Refused++
	q.audit.Refused(q.queue.Ahead(j.class.Priority), max(j.query.ExpectedTokens, 1), j.latestStart(v.Estimate))
	s.explainRefusal(j, problem.PatienceExceeded, v)
	return problem.New(problem.PatienceExceeded, http.StatusServiceUnavailable, "class %q cannot be served within its patience now", j.request.Class).WithRetryAfter(v.RetryAfter)
}
