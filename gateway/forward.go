package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"arbutusreel/exchange"
	"arbutusreel/problem"
)

// forward passes the request on to a gateway of another region.
func (j *job) forward(at place) next {
	g := j.g
	now := time.Now()
	j.tried[at.gateway.Name] = true
	j.charge = max(j.maxRuns()-j.runs, 1)
	h := copyHeader(j.r.Header)
	g.cfg.Dialect.Forward(h, j.deadline.Sub(now)-forwardMargin)
	if j.streaming() {
		g.cfg.Dialect.Prepare(h, Order{Left: j.deadline.Sub(now) - forwardMargin, Urgency: -1, LastEvent: j.lastEvent()})
	}
	h.Set(attemptsHeader, strconv.Itoa(j.charge))
	h.Set(drawHeader, strconv.FormatFloat(j.draw, 'g', -1, 64))
	h.Set(ageHeader, strconv.FormatInt((j.age+now.Sub(j.received)+g.cfg.Detour/2).Milliseconds(), 10))
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	patience := j.firstPatience(at, cancel)
	answer, err := g.peers.Send(ctx, at.gateway.ForwardAddress, &exchange.Request{
		Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body, Repeatable: j.route.Repeatable(),
		Owns: func(a *http.Response, _ bool) bool {
			return a.Header.Get(outcomeHeader) != "" || g.cfg.Dialect.Owns(a.Header, a.StatusCode, j.call.ID, false)
		},
	})
	if err != nil {
		patience.stop()
		if g.placer.gatewayEnded(time.Now(), at, j.r.Context().Err() != nil) {
			g.log.Warn().Str("region", at.region).Str("gateway", at.gateway.Name).Err(err).Msg("regionLeft")
		}
		return j.failed(ctx, err, exchange.Outcome(err))
	}
	defer answer.Close()
	g.placer.gatewayEnded(time.Now(), at, true)
	if runs, err := strconv.Atoi(answer.Header.Get(runsHeader)); err == nil && !isEvents(answer.Header) {
		j.charge = runs
	}
	if outcome := problem.Outcome(answer.Header.Get(outcomeHeader)); outcome != "" {
		patience.stop()
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxRejectionBytes))
		return j.refusedThere(at, answer, outcome)
	}
	_, step := j.carry(ctx, answer, g.cfg.Dialect.Verdict(answer.Header, answer.Status), nil, patience)
	return step
}

// refusedThere notes that the gateway of another region answered with a failure of its own. Its region is not asked
// again.
func (j *job) refusedThere(at place, answer *exchange.Answer, o problem.Outcome) next {
	j.tried[at.region] = true
	if o != problem.NotRun {
		j.sends++
	}
	j.doubt(o)
	j.log(string(o)).Int("status", answer.Status).Msg("attemptFailed")
	return again
}
