package gateway

import (
	"net/http"
	"slices"
	"time"

	"arbutusreel/crash"
	"arbutusreel/problem"
)

// blocked returns a refusal if endpoints crashed under the request or parts of its prompt. A stream that has begun goes
// on, as it is sound.
func (j *job) blocked(now time.Time) *problem.Problem {
	if j.streaming() {
		return nil
	}
	signature, blocked := j.g.crashes.blocks(now, j.traits())
	if !blocked {
		return nil
	}
	code := problem.PromptBlocked
	if slices.Contains(signature.Parts, j.traits().request) {
		code = problem.RequestBlocked
	}
	return newBlocked(code, "endpoints of service %q crashed %d times under the request or parts of its prompt (%s)", j.service.Name, signature.Crashes, formatParts(signature.Parts))
}

// recordBegunAnswer records that an answer other than a stream has begun if it is a success. A failure may come from an
// endpoint that has not read the request.
func (j *job) recordBegunAnswer(success bool) {
	if success {
		j.g.crashes.recordBegun(time.Now(), j.traits())
	}
}

// isBlocked reports whether a problem code means that a request was blocked.
func isBlocked(code problem.Code) bool {
	return code == problem.PromptBlocked || code == problem.RequestBlocked
}

// newBlocked returns the refusal of a blocked request. Its caller may return when the crashes no longer count.
func newBlocked(code problem.Code, format string, args ...any) *problem.Problem {
	return problem.New(code, http.StatusServiceUnavailable, format, args...).WithRetryAfter(crash.Retention)
}

// suspectRetryAfter is the retry delay given to the caller of a request that was held back for too long.
const suspectRetryAfter = time.Second

// giveUpSuspect answers a request that may not be sent as endpoints crashed under it or parts of its prompt.
func (j *job) giveUpSuspect() {
	const detail = "endpoints crashed under the request or parts of its prompt"
	if j.outcome != problem.NotRun {
		j.giveUp(problem.EndpointFailed, detail)
		return
	}
	j.refuse(problem.New(problem.NoCapacity, http.StatusServiceUnavailable, detail).WithRetryAfter(suspectRetryAfter))
}

// giveUpBlocked answers a request that is blocked. If it may have run, the answer says so.
func (j *job) giveUpBlocked(p *problem.Problem) {
	if j.outcome == problem.NotRun {
		j.refuse(p)
		return
	}
	j.giveUp(p.Code, p.Detail)
}
