package dispatch

import (
	"net/http"
	"time"

	"arbutusreel/problem"
)

// Limiter bounds the tokens that a team uses.
type Limiter interface {
	// Spend takes tokens of the team's limit; if ok is false, the caller may come back after the time.
	Spend(team string, tokens int) (retryAfter time.Duration, ok bool)
	// Settle corrects what a request has spent to what it has used.
	Settle(team string, spent, used int)
}

// WithLimiter returns a dispatcher that holds the limits of teams for the requests of its own callers.
func (d *Dispatcher) WithLimiter(l Limiter) *Dispatcher {
	limited := *d
	limited.limiter = l
	return &limited
}

// spend takes what the request is likely to use of its team's limit; a request from another region was counted there.
func (d *Dispatcher) spend(j *job) error {
	if d.limiter == nil || len(j.request.Via) > 0 {
		return nil
	}
	tokens := j.request.PromptTokens + j.query.ExpectedTokens
	retryAfter, ok := d.limiter.Spend(j.request.Team, tokens)
	if !ok {
		return problem.New(problem.LimitExceeded, http.StatusTooManyRequests, "team %q has used its tokens of the moment", j.request.Team).WithRetryAfter(retryAfter)
	}
	j.spent = tokens
	return nil
}

// settle gives back what the request has not used.
func (d *Dispatcher) settle(j *job) {
	if j.spent == 0 {
		return
	}
	used := 0
	if j.attempts.Made > 0 || j.pieces > 0 {
		used = j.request.PromptTokens + j.pieces
	}
	d.limiter.Settle(j.request.Team, j.spent, used)
}
