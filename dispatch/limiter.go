package dispatch

import (
	"net/http"
	"time"

	"arbutusreel/problem"
)

// Limiter limits the tokens that teams use.
type Limiter interface {
	// Spend charges tokens to the limit of the team; if ok is false, the caller may try again after retryAfter.
	Spend(team string, tokens int) (retryAfter time.Duration, ok bool)
	// Settle corrects the charge for a request from the tokens spent to the tokens used.
	Settle(team string, spent, used int)
}

// WithLimiter returns a dispatcher that enforces the limits of teams for requests that come directly from callers.
func (d *Dispatcher) WithLimiter(l Limiter) *Dispatcher {
	limited := *d
	limited.limiter = l
	return &limited
}

// chargeLimit charges the expected use of the request to its team's limit. A request from another instance is not
// charged again, as the instance that received it from the caller has charged it.
func (d *Dispatcher) chargeLimit(j *job) error {
	if d.limiter == nil || len(j.request.Via) > 0 {
		return nil
	}
	tokens := j.request.PromptTokens + j.query.ExpectedTokens
	retryAfter, ok := d.limiter.Spend(j.request.Team, tokens)
	if !ok {
		return problem.New(problem.LimitExceeded, http.StatusTooManyRequests, "team %q has used its tokens of the moment", j.request.Team).WithRetryAfter(retryAfter)
	}
	j.chargedTokens = tokens
	return nil
}

// settleLimit corrects the charge for the request to the tokens that it used.
func (d *Dispatcher) settleLimit(j *job) {
	if j.chargedTokens == 0 {
		return
	}
	used := 0
	if j.attempts.Made > 0 || j.pieces > 0 {
		used = j.request.PromptTokens + j.pieces
	}
	d.limiter.Settle(j.request.Team, j.chargedTokens, used)
}
