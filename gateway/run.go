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
	// maxAttempts bounds the attempts of one request, including those at endpoints that did not run it.
	maxAttempts = 4
	// minTimeLeft is the remaining time below which a request is not sent.
	minTimeLeft = 20 * time.Millisecond
)

// nextStep is what follows an attempt.
type nextStep int

const (
	// answered: the caller has its answer or has disconnected.
	answered nextStep = iota
	// tryNext: another endpoint or region is tried if there is one.
	tryNext
	// truncated: the caller has part of an answer whose rest is not available.
	truncated
)

// run attempts the request until it is answered or refused.
func (j *job) run() {
	if !j.counted {
		j.g.placer.recordFirstTry(j.received, j.view, j.service.Name)
	}
	defer j.endTrial()
	defer j.returnRetry()
	for {
		suspect := !j.mayTry()
		now := time.Now()
		if !j.adoptView() {
			return
		}
		if j.endAtStop() {
			return
		}
		if j.ctx.Err() != nil || j.deadline.Sub(now) < minTimeLeft {
			j.giveUp(problem.PatienceExceeded, "the deadline of the request has passed")
			return
		}
		if p := j.blocked(now); p != nil {
			j.giveUpBlocked(p)
			return
		}
		if suspect {
			j.giveUpSuspect()
			return
		}
		if reason, ok := j.mayRetry(now); !ok {
			j.giveUp(problem.EndpointFailed, reason)
			return
		}
		d := j.g.placer.decide(now, j.view, j.query(now))
		j.decision = d
		j.recordShare()
		if d.verdict == capacity.Refuse {
			j.refusePlacement(d)
			return
		}
		j.attempts++
		var step nextStep
		if d.region != "" {
			step = j.forward(d)
		} else {
			step = j.send(d)
		}
		j.endTrial()
		if !j.shouldContinue(step) {
			return
		}
	}
}

// returnRetry returns the retry that was taken and reached no endpoint.
func (j *job) returnRetry() {
	if takenAt, ok := j.retries.Unspent(); ok {
		j.g.placer.returnRetry(time.Now(), j.view, j.chargedService, takenAt)
	}
}

// adoptView matches the request again, and checks its credential again, if the view has changed since. It answers the request
// and returns false if it may no longer be served.
func (j *job) adoptView() bool {
	v := j.g.view.Load()
	if v == j.view || v.table == nil {
		return true
	}
	if !j.match(v) {
		j.giveUp(problem.UnknownRoute, "the route or the service was removed while the request was in progress")
		return false
	}
	if p := j.authenticate(); p != nil {
		j.giveUpRevoked(p)
		return false
	}
	return true
}

// shouldContinue reports whether another attempt follows. It aborts a truncated answer.
func (j *job) shouldContinue(step nextStep) bool {
	if step == truncated {
		j.w.abort(j.r)
	}
	return step == tryNext
}

// query returns the description of the request for the placer.
func (j *job) query(now time.Time) query {
	work := j.call.Work
	work.Stream = j.streamTargets(now)
	work.Bytes = int64(len(j.body)) + answerBytes(j.service, work.OutputTokens)
	return query{
		route: j.route, team: j.team, service: j.service, work: work, budget: j.timeBudget(now), tried: j.tried,
		forwarded: j.forwarded, began: j.began, mustPlace: j.streaming() || j.bound(),
	}
}

const (
	// plainAnswerBytes is the usual size of an answer that is not a stream, and eventBytes that of a stream's event
	// with its framing.
	plainAnswerBytes = 1 << 10
	eventBytes       = 128
)

// answerBytes returns the expected size of an answer with the given number of output tokens.
func answerBytes(s *routes.Service, outputTokens int64) int64 {
	if s.Engine == nil || s.Engine.EventTokens <= 0 {
		return plainAnswerBytes
	}
	return outputTokens / int64(s.Engine.EventTokens) * eventBytes
}

// mayRetry reports whether another attempt is allowed, and the reason if not.
func (j *job) mayRetry(now time.Time) (reason string, ok bool) {
	switch {
	case j.attempts == 0:
		return "", true
	case j.attempts >= maxAttempts:
		return "too many attempts failed", false
	case j.runs > 0 && !j.route.Repeatable():
		return "the request may have run and must not run again", false
	case j.streaming() && !j.stream.events.Resumable():
		return "the stream has no event that another endpoint could go on after", false
	case j.runs >= j.maxRuns():
		return "the endpoints that it may run on have failed", false
	case !j.retries.Begin(now, func() bool {
		j.chargedService = j.service.Name
		return j.g.placer.takeRetry(now, j.view, j.service.Name)
	}):
		return "the retry budget is exhausted", false
	default:
		return "", true
	}
}

// refusePlacement answers a request that the placer has refused.
func (j *job) refusePlacement(d decision) {
	if j.bufferedError != nil && !j.streaming() {
		j.shouldContinue(j.writeBufferedError())
		return
	}
	if j.outcome != problem.NotRun {
		j.giveUp(problem.EndpointFailed, d.reason)
		return
	}
	if j.began != nil && !j.versionServes() {
		j.refuse(j.versionUnavailable())
		return
	}
	code := problem.NoCapacity
	switch d.reason {
	case reasonNotAllowedInRegion:
		code = problem.ResidencyRefused
	case reasonStranded:
		code = problem.Stranded
	}
	j.refuse(problem.New(code, http.StatusServiceUnavailable, "%s: expected wait %v", d.reason, d.expected.Round(time.Millisecond)).WithRetryAfter(d.retryAfter))
}

// failedRetryAfter is the retry delay given to a caller whose request certainly has not run, after the endpoints it was
// sent to failed.
const failedRetryAfter = 200 * time.Millisecond

// giveUp answers a request that is not retried.
func (j *job) giveUp(code problem.Code, reason string) {
	if errors.Is(j.r.Context().Err(), context.Canceled) {
		j.log(string(j.outcome)).Err(j.lastErr).Msg("callerLeft")
		j.g.cfg.Metrics.Count("callerLeft")
		j.returnCharge()
		panic(http.ErrAbortHandler)
	}
	if j.bufferedError != nil && !j.streaming() {
		j.shouldContinue(j.writeBufferedError())
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

// log starts a log line about this request with its outcome, the last decision and the estimates behind it, and the age
// of the view.
func (j *job) log(outcome string) *zerolog.Event {
	e := j.g.log.Info().Str("request", j.call.ID).Str("outcome", outcome).Int("attempts", j.attempts).Int("runs", j.runs).
		Dur("took", time.Since(j.received)).
		Int64("prompt", j.call.Work.PromptTokens).Int64("output", j.call.Work.OutputTokens).
		Int64("routeVersion", j.view.version()).Dur("viewAge", time.Since(j.view.updatedAt)).Bool("current", j.view.current)
	e = j.decision.log(e)
	if j.route != nil {
		e = e.Str("route", j.route.Name).Str("kind", j.route.Kind.String())
	}
	if j.team != nil {
		e = e.Str("team", j.team.Name)
		if o := j.decision.order; o.Short {
			e = e.Float64("shareLeft", o.ShareLeft).Float64("place", o.Place)
		}
	}
	if j.forwarded {
		e = e.Bool("forwarded", true)
	}
	if j.call.LastEvent != NoEvent {
		e = e.Str("resumes", j.call.Resumes).Int64("resumesAfter", j.call.LastEvent)
	}
	if !j.firstAt.IsZero() {
		e = e.Dur("first", j.firstAt.Sub(j.received))
	}
	return e
}

// log adds the decision and the estimates behind it to a log line.
func (d decision) log(e *zerolog.Event) *zerolog.Event {
	e = e.Dur("expected", d.expected).Str("verdict", d.verdict.String()).Int("candidates", d.candidates).
		Int64("unread", d.uncachedTokens).Bool("favourite", d.affinity).Bool("full", d.full).Str("fetchFrom", d.fetchFrom).
		Int64("queuedTokens", d.backlog.PromptTokens.Before(capacity.Ranks-1)).Int("outstanding", d.backlog.Requests).
		Str("endpoint", d.endpoint.ID).Str("software", d.endpoint.Software)
	if d.end > 0 {
		e = e.Dur("expectedEnd", d.end).Float64("pace", d.pace)
	}
	if d.region != "" {
		e = e.Str("toRegion", d.region).Str("gateway", d.gateway.Name)
	}
	return e
}

// recordOutcome counts the runs of an attempt that may have run the request, and keeps the worst outcome.
func (j *job) recordOutcome(o problem.Outcome) {
	if o == problem.NotRun {
		return
	}
	j.runs += max(j.chargedRuns, 1)
	if j.outcome != problem.Ran {
		j.outcome = o
	}
}

// urgency returns the request's scheduling priority at a model engine, where lower goes first: a resumed stream goes
// before all others, then the route's priority decides, and a request that will be late goes last. It is negative for
// services without engines.
func (j *job) urgency(v capacity.Verdict) int {
	const (
		mostUrgent        = 1
		leastUrgentOnTime = 6
		late              = 8
	)
	switch {
	case j.service.Engine == nil:
		return -1
	case j.streaming():
		return 0
	case v == capacity.TakeLate:
		return late
	default:
		return min(mostUrgent+priorityOf(j.route, j.team), leastUrgentOnTime)
	}
}

// maxRuns returns the number of endpoints that may run the request.
func (j *job) maxRuns() int {
	if j.allowedRuns > 0 {
		return min(j.allowedRuns, j.route.MaxAttempts)
	}
	return j.route.MaxAttempts
}
