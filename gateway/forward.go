package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"arbutusreel/exchange"
	"arbutusreel/problem"
)

// peerMargin is what forwardMargin is for a gateway of the same region.
const peerMargin = 10 * time.Millisecond

// forward sends the request to another gateway, of this region if it is handed over or else of another one.
func (j *job) forward(d decision) nextStep {
	g := j.g
	now := time.Now()
	j.tried[d.gateway.Name] = true
	j.chargedRuns = max(j.maxRuns()-j.runs, 1)
	margin, oneWay := forwardMargin, g.cfg.RegionRoundTrip/2
	if d.handed {
		margin, oneWay = peerMargin, 0
	}
	h := copyHeader(j.r.Header)
	if j.streaming() {
		g.cfg.Headers.Prepare(h, EndpointHeaders{TimeLeft: j.deadline.Sub(now) - margin, Urgency: -1, LastEvent: j.lastEvent()})
	}
	// A gateway of a version without teams passes these headers on to endpoints.
	g.cfg.Headers.Forward(h, j.deadline.Sub(now)-margin, j.teamName(), j.view.table.HasTeams())
	j.setTeamHeader(h)
	if j.began != nil {
		h.Set(originHeader, formatOrigin(*j.began))
	}
	j.setStreamHeaders(h)
	h.Set(attemptsHeader, strconv.Itoa(j.chargedRuns))
	if j.retries.Reached() == 0 && !j.firstMoved {
		j.firstMoved = true
		g.placer.moveFirstTry(now, j.view, j.service.Name)
	} else {
		h.Set(countedHeader, "1")
	}
	if j.crashes > 0 {
		h.Set(crashesHeader, strconv.Itoa(j.crashes))
	}
	h.Set(drawHeader, strconv.FormatFloat(j.draw, 'g', -1, 64))
	h.Set(ageHeader, strconv.FormatInt((j.age+now.Sub(j.received)+oneWay).Milliseconds(), 10))
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	timer := j.startFirstTimer(d, cancel)
	answer, err := g.peers.Send(ctx, d.gateway.ForwardAddress, &exchange.Request{
		Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body, Repeatable: j.route.Repeatable(),
		ID: j.call.ID, ResponseID: j.forwardedID,
	})
	if err != nil {
		timer.stop()
		// Within the region a gateway that fails is noticed sooner than the deadline of a request.
		ended := j.r.Context().Err() != nil || d.handed && j.ctx.Err() != nil
		if g.placer.recordForward(time.Now(), d, ended) {
			g.log.Warn().Str("region", d.region).Str("gateway", d.gateway.Name).Err(err).Msg("region circuit breaker opened")
		}
		return j.recordFailure(ctx, err, exchange.Outcome(err))
	}
	defer answer.Close()
	g.placer.recordForward(time.Now(), d, true)
	if runs, err := strconv.Atoi(answer.Header.Get(runsHeader)); err == nil && !isEventStream(answer.Header) {
		j.chargedRuns = runs
	}
	if outcome := forwardOutcome(answer); outcome != "" {
		timer.stop()
		answer.Discard(maxRejectionBytes, maxRejectionWait)
		return j.recordForwardFailure(d, answer, outcome)
	}
	j.retries.Reach(1)
	// The other gateway is the one that knows which endpoint answers.
	of, _ := parseOrigin(answer.Header.Get(originHeader))
	_, step := j.relayAnswer(ctx, answer, g.cfg.Headers.Verdict(answer.Header, answer.Status), of, nil, timer)
	return step
}

// forwardedID returns the ID of the request that an answer of another gateway names. A refusal by a gateway of an earlier version
// names none and counts as one of this request; forwardOutcome decides whether its outcome holds.
func (j *job) forwardedID(h http.Header) string {
	if named := h.Get(requestHeader); named != "" {
		return named
	}
	if h.Get(outcomeHeader) != "" {
		return j.call.ID
	}
	return j.g.cfg.Headers.ResponseID(h)
}

// forwardOutcome returns the outcome that another gateway reports, or an empty one if it passes on an endpoint's answer. A refusal
// that names no request may belong to an earlier one if the connection is not new.
func forwardOutcome(answer *exchange.Response) problem.Outcome {
	outcome := problem.Outcome(answer.Header.Get(outcomeHeader))
	if outcome == problem.NotRun && answer.Header.Get(requestHeader) == "" && !answer.Fresh {
		return problem.Unknown
	}
	return outcome
}

// forwardReached returns the number of endpoints that a request has reached which another gateway refused. Of a gateway of an earlier version
// only those count that may have run it.
func forwardReached(answer *exchange.Response, o problem.Outcome) int {
	if reached, err := strconv.Atoi(answer.Header.Get(reachedHeader)); err == nil {
		return reached
	}
	if o != problem.NotRun {
		return 1
	}
	return 0
}

// recordForwardFailure records a failure that another gateway reported itself, without the answer of an endpoint. Its region is not
// tried again, unless it is only that gateway which reaches no endpoint or stops.
func (j *job) recordForwardFailure(d decision, answer *exchange.Response, o problem.Outcome) nextStep {
	code := problem.Code(answer.Header.Get(codeHeader))
	if code != problem.Stranded && code != problem.Stopping {
		j.tried[d.region] = true
	}
	if o != problem.NotRun {
		j.sends++
	}
	j.retries.Reach(forwardReached(answer, o))
	j.recordOutcome(o)
	if crashed, err := strconv.Atoi(answer.Header.Get(crashesHeader)); err == nil {
		j.crashes = max(j.crashes, crashed)
	}
	j.log(string(o)).Int("status", answer.Status).Str("code", string(code)).Msg("attemptFailed")
	if isBlocked(code) && !j.streaming() {
		j.giveUpBlocked(newBlocked(code, "region %q has blocked the request or parts of its prompt, under which endpoints crashed", d.region))
		return answered
	}
	return tryNext
}
