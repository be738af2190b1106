package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

const (
	// outcomeHeader tells another gateway what became of a request that a gateway answers itself.
	outcomeHeader = "Arbutusreel-Outcome"
	// attemptsHeader tells another gateway how many endpoints it may send a request to.
	attemptsHeader = "Arbutusreel-Attempts"
	// drawHeader hands the draw among a route's services on, so that both gateways choose the same one.
	drawHeader = "Arbutusreel-Draw"
	// runsHeader tells the gateway that asked how many endpoints may have run a request.
	runsHeader = "Arbutusreel-Runs"
	// ageHeader tells another gateway for how many milliseconds the request has been in the system.
	ageHeader = "Arbutusreel-Age"
	// startTime is within how long after its start a gateway usually has a table, and notReadyRetryAfter the least time after
	// which a caller comes back to one that has none.
	startTime          = 1200 * time.Millisecond
	notReadyRetryAfter = 250 * time.Millisecond
	// defaultBodyBytes bounds a body if the table does not.
	defaultBodyBytes = 4 << 20
)

// job is one caller's request.
type job struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context
	forwarded bool
	call      Call
	path      string
	body      []byte
	draw      float64
	received  time.Time
	// age is for how long the request was at another gateway before.
	age time.Duration
	// returned says that the caller was refused before.
	returned bool
	deadline time.Time
	route    *routes.Route
	service  *routes.Service
	view     *view
	tried    map[string]bool
	// sends counts the endpoints that the request was sent to, and runs those that may have run it.
	sends, runs int
	// charge is the number of runs that the present attempt counts for if it fails: all that were left to it if another
	// gateway has not told how many it used.
	charge int
	// allowed is the number of endpoints that another gateway left to this one; zero if it was not told.
	allowed  int
	attempts int
	// outcome is the worst that is known of the request.
	outcome problem.Outcome
	stream  *relay
	// held is an endpoint's own failure, which is the answer if no other endpoint does better.
	held    *plain
	place   place
	firstAt time.Time
	lastErr error
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, forwarded bool) {
	now := time.Now()
	g.inFlight.Add(1)
	g.cfg.Metrics.Begin()
	defer g.cfg.Metrics.End()
	g.lastTaken.Store(now.UnixNano())
	defer g.inFlight.Add(-1)
	if g.stopping.Load() != 0 {
		w.Header().Set("Connection", "close")
	}
	v := g.view.Load()
	path, _, _ := strings.Cut(r.RequestURI, "?")
	j := &job{
		g: g, w: w, r: r, forwarded: forwarded, path: path, received: now, view: v, tried: map[string]bool{}, outcome: problem.NotRun,
		draw: g.placer.draw(),
	}
	if refusal := j.read(); refusal != nil {
		j.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	j.ctx = ctx
	j.run()
}

// read matches the request, and reads its headers and its body.
func (j *job) read() *problem.Problem {
	if j.view.table == nil {
		return problem.New(problem.NotReady, http.StatusServiceUnavailable, "no routing document is in force yet").
			WithRetryAfter(j.g.notReadyRetryAfter(j.received))
	}
	call, err := j.g.cfg.Dialect.Call(j.r.Header)
	if err != nil {
		return problem.New(problem.MalformedRequest, http.StatusBadRequest, "%v", err)
	}
	j.call = call
	if j.forwarded {
		j.readForwarded()
	}
	if !j.match(j.view) {
		return problem.New(problem.UnknownRoute, http.StatusNotFound, "no route for host %q and path %q", j.r.Host, j.path)
	}
	patience := j.route.Timeout - j.age
	if call.Patience > 0 {
		patience = min(patience, call.Patience)
	}
	j.deadline = j.received.Add(patience)
	j.returned = j.g.placer.returned(j.route.Name, j.call.Patience+j.age)
	if stopping := j.g.stoppingFor(j.received); stopping > lastStreams && j.route.Kind == routes.Stream {
		return problem.New(problem.Stopping, http.StatusServiceUnavailable, "the gateway is stopping").WithRetryAfter(stoppingRetryAfter)
	}
	return j.readBody()
}

// notReadyRetryAfter returns when a caller comes back: when the gateway will have a table, spread so that not all come
// back together.
func (g *Gateway) notReadyRetryAfter(now time.Time) time.Duration {
	ready := max(startTime-now.Sub(g.started), notReadyRetryAfter)
	return ready + time.Duration(g.placer.draw()*float64(ready)/2)
}

func (j *job) readForwarded() {
	h := j.r.Header
	if draw, err := strconv.ParseFloat(h.Get(drawHeader), 64); err == nil && draw >= 0 && draw < 1 {
		j.draw = draw
	}
	if allowed, err := strconv.Atoi(h.Get(attemptsHeader)); err == nil && allowed > 0 {
		j.allowed = allowed
	}
	if age, err := strconv.ParseInt(h.Get(ageHeader), 10, 64); err == nil && age > 0 {
		j.age = time.Duration(age) * time.Millisecond
	}
}

// match finds the route and the service in a view, and reports whether there are any.
func (j *job) match(v *view) bool {
	route := v.table.Match(j.r.Host, j.path)
	if route == nil {
		return false
	}
	j.view, j.route = v, route
	j.service = v.table.Service(route.Choose(j.draw))
	return j.service != nil
}

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
	var err error
	if n := j.r.ContentLength; n > 0 {
		j.body = make([]byte, n)
		_, err = io.ReadFull(j.r.Body, j.body)
	} else {
		j.body, err = io.ReadAll(io.LimitReader(j.r.Body, limit+1))
	}
	if err != nil {
		return problem.New(problem.MalformedRequest, http.StatusBadRequest, "the body cannot be read: %v", err)
	}
	if int64(len(j.body)) > limit {
		return problem.New(problem.BodyTooLarge, http.StatusRequestEntityTooLarge, "the body has more than %d bytes", limit)
	}
	// Reading on to the end of the body lets the server notice when the caller leaves.
	if n, err := j.r.Body.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		return problem.New(problem.MalformedRequest, http.StatusBadRequest, "the body does not end where its length says")
	}
	return nil
}

// asked returns what is left of the caller's time.
func (j *job) asked(now time.Time) capacity.Asked {
	return capacity.Asked{
		Objective: j.route.Objective - j.age - now.Sub(j.received), Left: j.deadline.Sub(now), WholeObjective: j.route.Objective,
		Returned: j.returned,
	}
}

// tellRuns tells another gateway how many endpoints may have run the request.
func (j *job) tellRuns(h http.Header) {
	if j.forwarded {
		h.Set(runsHeader, strconv.Itoa(j.runs))
	}
}

// refuse answers with the gateway's own failure. A request that may have run never gets a status that says otherwise.
func (j *job) refuse(p *problem.Problem) {
	if j.streaming() {
		j.log("streamBroken").Str("reason", string(p.Code)).Err(j.lastErr).Msg("served")
		panic(http.ErrAbortHandler)
	}
	h := j.w.Header()
	h.Set(outcomeHeader, string(p.Outcome))
	j.tellRuns(h)
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "application/problem+json")
	j.g.cfg.Metrics.Count(string(p.Code))
	j.log(string(p.Outcome)).Str("reason", string(p.Code)).Str("detail", p.Detail).Dur("retryAfter", p.RetryAfter).Err(j.lastErr).Msg("refused")
	j.w.WriteHeader(p.Status)
	_, _ = j.w.Write(problem.Encode(p, j.call.ID))
}
