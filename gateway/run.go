package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/capacity"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

const (
	// maxPlaces bounds the places that one request is sent to, those that did not run it included.
	maxPlaces = 4
	// leastTimeLeft is the time below which a request is not sent any more.
	leastTimeLeft = 20 * time.Millisecond
)

// next tells what happens to a request after an attempt.
type next int

const (
	// answered: the caller has its answer.
	answered next = iota
	// again: another place is tried if there is one.
	again
	// broken: the caller has a part of its answer, and the rest cannot be had.
	broken
)

// run places the request until it is answered.
func (j *job) run() {
	j.g.placer.firstTry(j.received, j.view, j.service.Name)
	for {
		now := time.Now()
		if v := j.g.view.Load(); v != j.view && v.table != nil && !j.match(v) {
			j.giveUp(problem.UnknownRoute, "the route was removed while the request was in progress")
			return
		}
		if j.ctx.Err() != nil || j.deadline.Sub(now) < leastTimeLeft {
			j.giveUp(problem.PatienceExceeded, "the time of the request is over")
			return
		}
		if reason, ok := j.mayRepeat(now); !ok {
			j.giveUp(problem.EndpointFailed, reason)
			return
		}
		at := j.g.placer.decide(now, j.view, j.query(now))
		j.place = at
		if at.verdict == capacity.Refuse {
			j.refusePlace(at)
			return
		}
		j.attempts++
		var step next
		if at.region != "" {
			step = j.forward(at)
		} else {
			step = j.send(at)
		}
		if !j.goesOn(step) {
			return
		}
	}
}

// goesOn reports whether another place is tried. An answer that broke off must not look complete: its connection is cut.
func (j *job) goesOn(step next) bool {
	if step == broken {
		panic(http.ErrAbortHandler)
	}
	return step == again
}

// query returns what the placer has to know of the request.
func (j *job) query(now time.Time) query {
	work := j.call.Work
	work.Bytes = int64(len(j.body)) + answerBytes(j.service, work.OutputTokens)
	return query{
		route: j.route, service: j.service, work: work, asked: j.asked(now), tried: j.tried,
		forwarded: j.forwarded, must: j.streaming(),
	}
}

const (
	// plainAnswerBytes is the usual size of a plain answer, and eventBytes that of an event of a stream with its framing.
	plainAnswerBytes = 1 << 10
	eventBytes       = 128
)

// answerBytes returns the expected size of an answer with so many output tokens.
func answerBytes(s *routes.Service, outputTokens int64) int64 {
	if s.Engine == nil || s.Engine.EventTokens <= 0 {
		return plainAnswerBytes
	}
	return outputTokens / int64(s.Engine.EventTokens) * eventBytes
}

// mayRepeat reports whether the request may be sent once more.
func (j *job) mayRepeat(now time.Time) (reason string, ok bool) {
	switch {
	case j.attempts == 0:
		return "", true
	case j.attempts >= maxPlaces:
		return "too many attempts failed", false
	case j.runs > 0 && !j.route.Repeatable():
		return "the request may have run and must not run again", false
	case j.runs >= j.maxRuns():
		return "the endpoints that it may run on have failed", false
	case j.sends > 0 && !j.g.placer.repeat(now, j.view, j.service.Name):
		return "the retry budget is spent", false
	default:
		return "", true
	}
}

// refusePlace answers a request for which there is no place.
func (j *job) refusePlace(at place) {
	if j.held != nil && !j.streaming() {
		j.goesOn(j.answerHeld())
		return
	}
	if j.outcome != problem.NotRun {
		j.giveUp(problem.EndpointFailed, at.reason)
		return
	}
	code := problem.NoCapacity
	if at.reason == reasonNotHome {
		code = problem.ResidencyRefused
	}
	j.refuse(problem.New(code, http.StatusServiceUnavailable, "%s: expected wait %v", at.reason, at.expected.Round(time.Millisecond)).WithRetryAfter(at.retryAfter))
}

// failedRetryAfter is when a caller comes back whose request surely has not run, after the endpoints that it was sent to
// failed.
const failedRetryAfter = 200 * time.Millisecond

// giveUp answers a request that is not tried again.
func (j *job) giveUp(code problem.Code, reason string) {
	if errors.Is(j.r.Context().Err(), context.Canceled) {
		j.log(string(j.outcome)).Err(j.lastErr).Msg("callerLeft")
		j.g.cfg.Metrics.Count("callerLeft")
		panic(http.ErrAbortHandler)
	}
	if j.held != nil && !j.streaming() {
		j.goesOn(j.answerHeld())
		return
	}
	p := problem.New(code, http.StatusBadGateway, "%s", reason).WithOutcome(j.outcome)
	switch {
	case j.outcome == problem.NotRun:
		p.Status = http.StatusServiceUnavailable
		p.RetryAfter = min(failedRetryAfter, max(time.Until(j.deadline)/3, 0))
	case code == problem.PatienceExceeded:
		p.Status = http.StatusGatewayTimeout
	}
	j.refuse(p)
}

// log begins the line of a decision on this request: its outcome, the place with what decided it, and the age of the view.
func (j *job) log(outcome string) *zerolog.Event {
	e := j.g.log.Info().Str("request", j.call.ID).Str("outcome", outcome).Int("attempts", j.attempts).Int("runs", j.runs).
		Dur("took", time.Since(j.received)).
		Int64("prompt", j.call.Work.PromptTokens).Int64("output", j.call.Work.OutputTokens).
		Int64("routeVersion", j.view.version()).Dur("viewAge", time.Since(j.view.heard)).Bool("current", j.view.current)
	e = j.place.log(e)
	if j.route != nil {
		e = e.Str("route", j.route.Name).Str("kind", j.route.Kind.String())
	}
	if j.forwarded {
		e = e.Bool("forwarded", true)
	}
	if !j.firstAt.IsZero() {
		e = e.Dur("first", j.firstAt.Sub(j.received))
	}
	return e
}

// log adds a place and what decided it to a line.
func (at place) log(e *zerolog.Event) *zerolog.Event {
	e = e.Dur("expected", at.expected).Str("verdict", at.verdict.String()).Int("candidates", at.candidates).
		Int64("unread", at.unread).Bool("favourite", at.favourite).Bool("full", at.full).Str("fetchFrom", at.fetchFrom).
		Int64("queuedTokens", at.backlog.PromptTokens.Before(capacity.Ranks-1)).Int("outstanding", at.backlog.Requests).
		Str("endpoint", at.endpoint.ID)
	if at.region != "" {
		e = e.Str("toRegion", at.region).Str("gateway", at.gateway.Name)
	}
	return e
}

// doubt notes that endpoints may have run the request, or have.
func (j *job) doubt(o problem.Outcome) {
	if o == problem.NotRun {
		return
	}
	j.runs += max(j.charge, 1)
	if j.outcome != problem.Ran {
		j.outcome = o
	}
}

// urgency ranks the request at a model engine: by the route's priority, and behind everything if it will be late.
func (j *job) urgency(v capacity.Verdict) int {
	const (
		mostUrgent  = 1
		leastOnTime = 6
		late        = 8
	)
	switch {
	case j.service.Engine == nil:
		return -1
	case j.streaming():
		return 0
	case v == capacity.TakeLate:
		return late
	default:
		return min(mostUrgent+j.route.Priority, leastOnTime)
	}
}

// maxRuns returns the number of endpoints that may run the request.
func (j *job) maxRuns() int {
	if j.allowed > 0 {
		return min(j.allowed, j.route.MaxAttempts)
	}
	return j.route.MaxAttempts
}
