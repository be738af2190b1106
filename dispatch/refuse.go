package dispatch

import (
	"net/http"
	"time"

	"arbutusreel/admission"
	"arbutusreel/problem"
	"arbutusreel/residency"
)

// versionGone reports whether the request resumes an answer that no endpoint may continue: all that are known have other
// software versions than the one that began it, or a region has refused it for that reason.
func (s *scheduler) versionGone(now time.Time, j *job) bool {
	if !j.answerStarted() {
		return false
	}
	return j.versionRefused ||
		residency.Allows(j.inventory, j.request.Subject(), s.self.Region) && s.chooser.Capacity(now, j.query.Service, j.query.Model).Endpoints > 0
}

// refuseNoEndpoint refuses a request for which no endpoint is known.
func (s *scheduler) refuseNoEndpoint(now time.Time, j *job) error {
	if !s.versionGone(now, j) {
		return s.refuseNoCapacity(j)
	}
	s.counts.Refused++
	s.explainRefusal(j, problem.VersionUnavailable, admission.Verdict{})
	return j.versionUnavailable()
}

// versionUnavailable returns the problem of an answer that cannot be resumed at the software version that began it.
func (j *job) versionUnavailable() *problem.Problem {
	return problem.New(problem.VersionUnavailable, http.StatusServiceUnavailable, "no endpoint with software version %q of service %q, which began the answer, is left", j.query.Began.Software, j.request.Service)
}

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
