package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/crash"
	"arbutusreel/limits"
	"arbutusreel/origin"
	"arbutusreel/problem"
	"arbutusreel/retry"
	"arbutusreel/routes"
)

const (
	// outcomeHeader tells another gateway the outcome of a request that this gateway answers itself, without the answer
	// of an endpoint.
	outcomeHeader = "Arbutusreel-Outcome"
	// codeHeader carries the code of such a failure.
	codeHeader = "Arbutusreel-Code"
	// attemptsHeader carries the number of endpoints that another gateway may send the request to.
	attemptsHeader = "Arbutusreel-Attempts"
	// drawHeader carries the random number that selects one of a route's services, so that both gateways choose the
	// same one.
	drawHeader = "Arbutusreel-Draw"
	// runsHeader carries the number of endpoints that may have run a request back to the forwarding gateway.
	runsHeader = "Arbutusreel-Runs"
	// reachedHeader carries the number of endpoints that a refused request has reached back to the forwarding gateway. Earlier versions do
	// not set it.
	reachedHeader = "Arbutusreel-Reached"
	// crashesHeader carries the number of endpoints that crashed under a request between gateways, both ways.
	crashesHeader = "Arbutusreel-Crashes"
	// countedHeader is set if the forwarding gateway counts the request towards its retry budget.
	countedHeader = "Arbutusreel-Counted"
	// originHeader carries what began a stream: to another gateway that is to go on with it, and back with the stream.
	originHeader = "Arbutusreel-Origin"
	// ageHeader carries the time in milliseconds that the request has spent in the system to another gateway.
	ageHeader = "Arbutusreel-Age"
	// teamHeader names the caller's team to another gateway, which does not get the credential.
	teamHeader = "Arbutusreel-Team"
	// takesBackHeader is set if the forwarding gateway goes on with a stream that the other one hands back.
	takesBackHeader = "Arbutusreel-Takes-Back"
	// inProgressHeader is set if the caller has received a part of the stream over its open connection.
	inProgressHeader = "Arbutusreel-In-Progress"
	// requestHeader names the request that an answer to another gateway belongs to.
	requestHeader = "Arbutusreel-Request"
	// startupTime is the time after its start within which a gateway usually has a routing table. notReadyRetryAfter is
	// the least retry delay given to callers before that.
	startupTime        = 1200 * time.Millisecond
	notReadyRetryAfter = 250 * time.Millisecond
	// defaultBodyBytes bounds the size of a body if the routing table sets no limit.
	defaultBodyBytes = 4 << 20
)

// job is one caller's request.
type job struct {
	g         *Gateway
	w         *answerWriter
	r         *http.Request
	ctx       context.Context
	forwarded bool
	call      Call
	path      string
	body      []byte
	// knownTraits are the traits of the request; nil before they are needed.
	knownTraits *traits
	// trial is the request's trial; nil if it is not suspect. crashCheck is the check of the endpoint that broke off the last
	// attempt, nil if there is none, and crashes counts the endpoints that crashed under the request.
	trial      *crash.Trial
	crashCheck *crashCheck
	crashes    int
	// firstMoved reports that another gateway counts the request towards its retry budget, and counted that the one that
	// forwarded it does.
	firstMoved, counted bool
	// takesBack reports that the gateway which forwarded the request goes on with a stream that is handed back.
	takesBack bool
	// inProgress reports that the gateway which forwarded the request has sent its caller a part of the stream.
	inProgress bool
	// handable is set once the stream can be handed back.
	handable atomic.Bool
	// draw is the random number in [0, 1) that selects one of the route's services.
	draw     float64
	received time.Time
	// age is the time that a forwarded request spent at the other gateway and on the way from there.
	age time.Duration
	// refusedBefore reports whether the caller has come back after a refusal.
	refusedBefore bool
	deadline      time.Time
	route         *routes.Route
	service       *routes.Service
	// team is that of the caller; nil if the routing table has no teams, or the route is public and no credential was sent. If
	// its credential was revoked, it is the last one.
	team *routes.Team
	// charge is what the request has taken of the team's allotment; nil if nothing.
	charge *limits.Charge
	view   *view
	tried  map[string]bool
	// sends counts the endpoints that the request was sent to, and runs those that may have run it.
	sends, runs int
	// retries is what the request has taken from the retry budget of chargedService.
	retries        retry.Charge
	chargedService string
	// chargedRuns is the number of runs that the present attempt counts for if it fails: all that remained for a
	// forwarded request unless the other gateway has reported how many it used.
	chargedRuns int
	// allowedRuns is the number of runs that another gateway left to this one; zero if not given.
	allowedRuns int
	attempts    int
	// outcome is the worst known outcome of the request.
	outcome problem.Outcome
	// began is what began the stream that the caller has received a part of; nil before.
	began  *origin.Origin
	stream *callerStream
	// bufferedError is an endpoint's error answer, which the caller gets if no other endpoint does better.
	bufferedError *bufferedAnswer
	decision      decision
	// firstAt is when the answer to the caller began; zero before.
	firstAt time.Time
	lastErr error
}

// serve handles one request of a caller, or of another gateway if forwarded is set.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, forwarded bool) {
	now := time.Now()
	g.inFlight.Add(1)
	g.cfg.Metrics.Begin()
	defer g.cfg.Metrics.End()
	g.lastRequestNanos.Store(now.UnixNano())
	defer g.inFlight.Add(-1)
	if g.stopBeganNanos.Load() != 0 {
		w.Header().Set("Connection", "close")
	}
	v := g.view.Load()
	path, _, _ := strings.Cut(r.RequestURI, "?")
	j := &job{
		g: g, w: g.answers.writer(w), r: r, forwarded: forwarded, path: path, received: now, view: v, tried: map[string]bool{}, outcome: problem.NotRun,
		draw: g.placer.draw(),
	}
	defer j.w.close()
	refusal := j.read()
	if refusal == nil {
		refusal = j.chargeAllotment()
	}
	if refusal != nil {
		j.refuse(refusal)
		return
	}
	j.countAdmitted()
	j.boundUnread()
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	j.ctx = ctx
	defer context.AfterFunc(g.answerCtx, func() { j.hurry(cancel) })()
	j.run()
	if j.sends > 0 && j.route.Kind != routes.Stream {
		ended := time.Now()
		g.durations.record(ended, j.service.Name, j.route.Kind, ended.Sub(j.received))
	}
	if j.w.ended.Load() {
		j.w.abort(r)
	}
}

// read decodes the headers, matches the route and reads the body.
func (j *job) read() *problem.Problem {
	call, err := j.g.cfg.Headers.Call(j.r.Header)
	j.call = call
	if j.forwarded && call.ID != "" {
		j.w.Header().Set(requestHeader, call.ID)
	}
	if j.view.table == nil {
		return problem.New(problem.NotReady, http.StatusServiceUnavailable, "no routing document is in force yet").
			WithRetryAfter(j.g.notReadyRetryAfter(j.received))
	}
	if err != nil {
		return problem.New(problem.MalformedRequest, http.StatusBadRequest, "%v", err)
	}
	if j.forwarded {
		j.readForwarded()
	}
	if !j.match(j.view) {
		if j.began != nil && j.view.table.Match(j.r.Host, j.path) != nil {
			return j.versionUnavailable()
		}
		return problem.New(problem.UnknownRoute, http.StatusNotFound, "no route for host %q and path %q", j.r.Host, j.path)
	}
	if refusal := j.authenticate(); refusal != nil {
		return refusal
	}
	patience := j.route.Timeout - j.age
	if call.Patience > 0 {
		patience = min(patience, call.Patience)
	}
	j.deadline = j.received.Add(patience)
	j.refusedBefore = j.g.placer.refusedBefore(j.route.Name, j.call.Patience+j.age)
	if j.g.stoppingFor(j.received) > 0 {
		if refusal := j.boundByStop(); refusal != nil {
			return refusal
		}
	}
	if refusal := j.findBegun(); refusal != nil {
		return refusal
	}
	return j.readBody()
}

// stopping refuses a request that has not run.
func (g *Gateway) stopping() *problem.Problem {
	return problem.New(problem.Stopping, http.StatusServiceUnavailable, "the gateway is stopping").WithRetryAfter(g.stoppingRetryAfter())
}

// boundByStop refuses a request that this stopping gateway might not answer before it ends. A plain request that is
// accepted is answered by then, with a failure if it takes longer than others did. A forwarded stream must always end in time: the gateway that forwarded it can still send
// it elsewhere.
func (j *job) boundByStop() *problem.Problem {
	end, accepts := j.g.acceptsUntil(j.received, j.service.Name, j.route.Kind)
	if !j.deadline.After(end) {
		return nil
	}
	if !accepts || j.forwarded && j.route.Kind == routes.Stream {
		return j.g.stopping()
	}
	if j.route.Kind != routes.Stream {
		j.deadline = end
	}
	return nil
}

// notReadyRetryAfter returns the expected time until the gateway has a routing table, plus a random part so that
// callers do not all come back together.
func (g *Gateway) notReadyRetryAfter(now time.Time) time.Duration {
	ready := max(startupTime-now.Sub(g.started), notReadyRetryAfter)
	return ready + time.Duration(g.placer.draw()*float64(ready)/2)
}

// readForwarded reads the headers set by the forwarding gateway and ignores invalid values.
func (j *job) readForwarded() {
	h := j.r.Header
	if draw, err := strconv.ParseFloat(h.Get(drawHeader), 64); err == nil && draw >= 0 && draw < 1 {
		j.draw = draw
	}
	if began, ok := parseOrigin(h.Get(originHeader)); ok {
		j.began = &began
	}
	if allowed, err := strconv.Atoi(h.Get(attemptsHeader)); err == nil && allowed > 0 {
		j.allowedRuns = allowed
	}
	if crashed, err := strconv.Atoi(h.Get(crashesHeader)); err == nil && crashed > 0 {
		j.crashes = crashed
	}
	j.counted = h.Get(countedHeader) != ""
	j.takesBack = h.Get(takesBackHeader) != ""
	j.inProgress = h.Get(inProgressHeader) != ""
	if age, err := strconv.ParseInt(h.Get(ageHeader), 10, 64); err == nil && age > 0 {
		j.age = time.Duration(age) * time.Millisecond
	}
}

// match looks up the route and the service in a view, and reports whether both exist. A stream that has begun goes on at
// the service that began it.
func (j *job) match(v *view) bool {
	route := v.table.Match(j.r.Host, j.path)
	if route == nil {
		return false
	}
	service := route.Choose(j.draw)
	if j.began != nil {
		if service = j.began.Service; !route.GoesOnAt(service, j.inProgress || j.streaming()) {
			return false
		}
	}
	j.view, j.route = v, route
	j.service, j.knownTraits = v.table.Service(service), nil
	return j.service != nil
}

// readBody reads the body within the size limit.
func (j *job) readBody() *problem.Problem {
	limit := j.view.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if j.r.ContentLength > limit {
		return problem.New(problem.BodyTooLarge, http.StatusRequestEntityTooLarge, "the body has %d bytes, more than %d", j.r.ContentLength, limit)
	}
	if j.r.ContentLength == 0 {
		return nil
	}
	// A body of unknown length may have any length within the limit.
	size := j.r.ContentLength
	if size < 0 {
		size = limit
	}
	if !j.w.takeBody(size) {
		return j.instanceFull()
	}
	control := http.NewResponseController(j.w)
	_ = control.SetReadDeadline(j.deadline)
	interrupted := make(chan struct{})
	mayInterrupt := context.AfterFunc(j.g.answerCtx, func() {
		_ = control.SetReadDeadline(time.Now())
		close(interrupted)
	})
	var err error
	if n := j.r.ContentLength; n > 0 {
		j.body = make([]byte, n)
		_, err = io.ReadFull(j.r.Body, j.body)
	} else {
		j.body, err = io.ReadAll(io.LimitReader(j.r.Body, limit+1))
		j.w.hold(int64(len(j.body)) - size)
	}
	if !mayInterrupt() {
		// The server reads on after a whole body, and has taken the deadline for the end of the connection.
		<-interrupted
		return j.g.stopping()
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem.New(problem.PatienceExceeded, http.StatusRequestTimeout, "the body was not sent within the time of the request")
	case err != nil:
		return problem.New(problem.MalformedRequest, http.StatusBadRequest, "the body cannot be read: %v", err)
	}
	if int64(len(j.body)) > limit {
		return problem.New(problem.BodyTooLarge, http.StatusRequestEntityTooLarge, "the body has more than %d bytes", limit)
	}
	// Reading to the end of the body lets the HTTP server detect that the caller has disconnected.
	if n, err := j.r.Body.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		return problem.New(problem.MalformedRequest, http.StatusBadRequest, "the body does not end at its declared length")
	}
	// The HTTP server reads on, and would take the deadline for the end of the connection.
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// timeBudget returns what remains of the route's objective and of the time until the deadline.
func (j *job) timeBudget(now time.Time) capacity.TimeBudget {
	return capacity.TimeBudget{
		Objective: j.route.Objective - j.age - now.Sub(j.received), Remaining: j.deadline.Sub(now), RouteObjective: j.route.Objective,
		Retried: j.refusedBefore,
	}
}

// setRunsHeader reports the number of runs to the forwarding gateway.
func (j *job) setRunsHeader(h http.Header) {
	if j.forwarded {
		h.Set(runsHeader, strconv.Itoa(j.runs))
		h.Set(reachedHeader, strconv.Itoa(j.retries.Reached()))
		if j.crashes > 0 {
			h.Set(crashesHeader, strconv.Itoa(j.crashes))
		}
	}
}

// refuse answers with the gateway's own failure. A request that may have run never gets a status that says it has not.
func (j *job) refuse(p *problem.Problem) {
	if j.streaming() {
		j.log("streamBroken").Str("reason", string(p.Code)).Err(j.lastErr).Msg("served")
		j.w.abort(j.r)
	}
	if p.Outcome == problem.NotRun {
		j.returnCharge()
	}
	h := j.w.Header()
	h.Set(outcomeHeader, string(p.Outcome))
	h.Set(codeHeader, string(p.Code))
	j.setRunsHeader(h)
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "application/problem+json")
	j.g.cfg.Metrics.Count(string(p.Code))
	j.countTeam(string(p.Code))
	j.log(string(p.Outcome)).Str("reason", string(p.Code)).Str("detail", p.Detail).Dur("retryAfter", p.RetryAfter).Err(j.lastErr).Msg("refused")
	j.w.WriteHeader(p.Status)
	_, _ = j.w.Write(problem.Encode(p, j.call.ID))
}
