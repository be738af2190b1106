package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/clock"
	"arbutusreel/crash"
	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/retry"
	"arbutusreel/routing"
	"arbutusreel/stream"
)

// View is an instance's current view of the inventory, of its region's endpoints and of the other regions.
type View interface {
	// Inventory returns the inventory in force and its revision, or nil and zero before the first one is received.
	Inventory() (*inventory.Inventory, int64)
	// Endpoints returns the endpoints of the instance's region.
	Endpoints() []membership.Endpoint
	// Summaries returns the summaries of the other regions.
	Summaries() []membership.Summary
}

// ModelCaller runs one attempt of a request on a model engine and passes the pieces of the answer to the sink.
type ModelCaller interface {
	CrashChecker
	Generate(ctx context.Context, e membership.Endpoint, r Request, attempt Attempt, sink stream.Sink) (stream.End, error)
}

// PlainCaller sends a call to an endpoint of a plain service, without retries.
type PlainCaller interface {
	CrashChecker
	Call(ctx context.Context, e membership.Endpoint, r Request) (Reply, error)
}

// CrashChecker finds out whether an endpoint has crashed.
type CrashChecker interface {
	// RefusesConnections reports whether no process listens at the endpoint's address any more, after a connection to it
	// broke.
	RefusesConnections(ctx context.Context, e membership.Endpoint) bool
	// Connects reports whether a connection to the endpoint succeeds.
	Connects(ctx context.Context, e membership.Endpoint) bool
}

// Forwarder forwards a request to an entry instance of another region.
type Forwarder interface {
	ForwardModel(ctx context.Context, region string, r Request, sink stream.Sink) (stream.End, error)
	ForwardCall(ctx context.Context, region string, r Request) (Reply, error)
}

// Chooser chooses among the endpoints of the region; *routing.Chooser implements it for each policy.
type Chooser interface {
	Observe(now time.Time, endpoints []membership.Endpoint)
	SetTripped(name string, tripped bool)
	SetProbing(name string)
	SetInstances(n int)
	Capacity(now time.Time, service, model string) routing.Capacity
	Choose(now time.Time, q *routing.Query) (routing.Decision, bool)
	Explain(now time.Time, q *routing.Query, source rand.Source) (routing.Decision, []routing.Scored, bool)
	Start(now time.Time, d routing.Decision, q *routing.Query) *routing.Ticket
	FirstToken(now time.Time, t *routing.Ticket)
	Done(now time.Time, t *routing.Ticket, ok bool)
}

var (
	_ Chooser = (*routing.Chooser[routing.Expected])(nil)
	_ Chooser = (*routing.Chooser[routing.LeastOutstanding])(nil)
	_ Chooser = (*routing.Chooser[routing.Random])(nil)
)

// Dispatcher dispatches the requests of one instance.
type Dispatcher struct {
	self      Hop
	view      View
	models    ModelCaller
	plain     PlainCaller
	forwarder Forwarder
	scheduler *scheduler
	limiter   Limiter
	now       func() time.Time
	log       zerolog.Logger
}

// New returns a dispatcher for the instance self; source supplies its random numbers.
func New(self Hop, view View, models ModelCaller, plain PlainCaller, forward Forwarder, chooser Chooser, now func() time.Time, source rand.Source, log zerolog.Logger) *Dispatcher {
	return &Dispatcher{
		self:      self,
		view:      view,
		models:    models,
		plain:     plain,
		forwarder: forward,
		scheduler: newScheduler(self, view, chooser, now, source, log),
		now:       now,
		log:       log,
	}
}

// Refresh reads the known endpoints and regions again, unless they are younger than refreshPeriod, and starts
// waiting requests for which there is capacity then; instances is the number of instances in the region. It must be
// called at least once per announcement period of the endpoints, so that no cache event is missed.
func (d *Dispatcher) Refresh(instances int) {
	d.scheduler.mu.Lock()
	defer d.scheduler.mu.Unlock()
	d.scheduler.instances = instances
	d.scheduler.chooser.SetInstances(instances)
	d.scheduler.refresh(d.now())
}

// Generate answers a model request into the sink, in as many attempts as the retry budget of its class and its
// deadline allow. A refusal is a *problem.Problem; any other error is that of the last attempt or of ctx.
func (d *Dispatcher) Generate(ctx context.Context, r Request, sink stream.Sink) (stream.End, error) {
	j, err := d.newJob(r)
	if err != nil {
		return stream.End{}, err
	}
	if err := d.scheduler.crashes.refusal(d.now(), r); err != nil {
		return stream.End{}, err
	}
	if err := d.chargeLimit(j); err != nil {
		return stream.End{}, err
	}
	defer d.settleLimit(j)
	rec := newRecorder(sink, r.Resume)
	rec.onStart = func() {
		d.scheduler.openStream()
		d.scheduler.crashes.recordBegun(d.now(), r)
	}
	j.recordProgress(rec)
	if j.answerStarted() {
		rec.markStarted()
	}
	defer func() {
		if rec.started {
			d.scheduler.closeStream()
		}
	}()
	for {
		trial, err := d.awaitTrial(ctx, j)
		if err != nil {
			return stream.End{}, j.finalError(err)
		}
		end, again, err := d.tryGenerate(ctx, j, rec)
		d.scheduler.crashes.endTrial(trial)
		if err == nil {
			return end, nil
		}
		if !again {
			return stream.End{}, j.finalError(err)
		}
		if err := d.blockedRetry(j); err != nil {
			return stream.End{}, j.finalError(err)
		}
	}
}

// tryGenerate places a model request and makes one attempt. After a failure it reports whether the request is tried again,
// after the wait for that.
func (d *Dispatcher) tryGenerate(ctx context.Context, j *job, rec *recorder) (end stream.End, again bool, err error) {
	p, err := d.scheduler.place(ctx, j)
	if err != nil {
		return stream.End{}, false, err
	}
	before := j.pieces
	end, err = d.generate(ctx, j, p, rec)
	failure := classify(ctx, err, rec.sinkFailed)
	d.scheduler.finish(j, p, err, failure)
	if err == nil {
		return end, false, nil
	}
	d.countBreak(ctx, j, p, j.pieces > before, err, failure)
	again = !isBlocked(err) && j.suspectBreaks < crash.MaxCrashes && d.awaitRetry(ctx, j, p, err, failure)
	return stream.End{}, again, err
}

// countBreak counts a failed attempt if it broke off and the request may have crashed its endpoint.
func (d *Dispatcher) countBreak(ctx context.Context, j *job, p *placement, began bool, err error, failure retry.Failure) {
	if p.region == "" && d.recordAttempt(ctx, p.endpoint, j.request, began, err, failure) {
		j.suspectBreaks++
	}
}

// awaitTrial begins a trial if the request is suspect, after holding it back for as long as others with the same prefixes are
// tried or the evidence settles. It returns a refusal if the request must not be sent.
func (d *Dispatcher) awaitTrial(ctx context.Context, j *job) (*crash.Trial, error) {
	if j.answerStarted() {
		return nil, nil
	}
	c := d.scheduler.crashes
	deadline := d.now().Add(crash.MaxHoldTime)
	for {
		now := d.now()
		trial, hold := c.beginTrial(now, j.request)
		if hold == nil || !now.Before(deadline) && hold.Crashes < crash.SettledCrashes {
			return trial, nil
		}
		if !now.Before(deadline) || now.Add(holdPollPeriod).After(j.request.Deadline) {
			return nil, problem.New(problem.NoCapacity, http.StatusServiceUnavailable, "endpoints of service %q crashed under the request or the beginning of its prompt", j.request.Service).
				WithRetryAfter(suspectRetryAfter)
		}
		if !clock.Sleep(ctx, holdPollPeriod) {
			return nil, ctx.Err()
		}
		if err := c.refusal(d.now(), j.request); err != nil {
			return nil, err
		}
	}
}

// recordAttempt records a failed attempt at an endpoint, and has the endpoint checked if it may have crashed. It reports
// whether the prompt may have caused that.
func (d *Dispatcher) recordAttempt(ctx context.Context, e membership.Endpoint, r Request, began bool, err error, failure retry.Failure) (suspect bool) {
	c := d.scheduler.crashes
	suspect, check := c.recordAttempt(d.now(), e, r, began, err, failure)
	if !check {
		return suspect
	}
	ctx = context.WithoutCancel(ctx)
	var checker CrashChecker = d.plain
	if r.Model != "" {
		checker = d.models
	}
	go func() {
		// An instance that is cut off from the endpoints is refused by all of them.
		crashed := checker.RefusesConnections(ctx, e) && d.reachesAnother(ctx, checker, e)
		c.endCheck(d.now(), incarnationOf(e), crashed)
	}()
	return suspect
}

// reachesAnother reports whether a connection to another endpoint of the region succeeds.
func (d *Dispatcher) reachesAnother(ctx context.Context, checker CrashChecker, e membership.Endpoint) bool {
	others := slices.DeleteFunc(slices.Clone(d.view.Endpoints()), func(other membership.Endpoint) bool { return other.Name == e.Name })
	others = d.scheduler.sample(others, maxReachProbes)
	results := make(chan bool, len(others))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, other := range others {
		go func() { results <- checker.Connects(ctx, other) }()
	}
	for range others {
		if <-results {
			return true
		}
	}
	return false
}

// blockedRetry returns a refusal if a request that is tried again has a prompt that was blocked meanwhile. An answer that
// has begun goes on, as its prompt is sound.
func (d *Dispatcher) blockedRetry(j *job) error {
	if j.answerStarted() {
		return nil
	}
	return d.scheduler.crashes.refusal(d.now(), j.request)
}

// generate makes one attempt and cancels it if it makes no progress.
func (d *Dispatcher) generate(ctx context.Context, j *job, p *placement, rec *recorder) (stream.End, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first, later := j.pieceTimeouts(d.now(), p)
	rec.beginAttempt(
		p.origin(),
		newWatchdog(p.target(), first, later, cancel),
		func(pieces int) { d.scheduler.updateReservation(p, pieces) },
	)
	defer rec.endAttempt()
	var end stream.End
	var err error
	if p.region != "" {
		r := j.request.WithHop(d.self)
		r.Resume = rec.attempt(0)
		end, err = d.forwarder.ForwardModel(ctx, p.region, r, rec)
	} else {
		attempt := rec.attempt(j.attempts.Made)
		attempt.Reserve = j.query.ReserveTokens - j.request.PromptTokens
		end, err = d.models.Generate(ctx, p.endpoint, j.request, attempt, rec)
	}
	var stalled *StalledError
	if err != nil && errors.As(context.Cause(ctx), &stalled) {
		err = stalled
	}
	j.recordProgress(rec)
	return end, err
}

// Call answers a call of a plain service. A call that may not be repeated is sent to at most one endpoint, unless an
// attempt is certain not to have run.
func (d *Dispatcher) Call(ctx context.Context, r Request) (Reply, error) {
	j, err := d.newJob(r)
	if err != nil {
		return Reply{}, err
	}
	if err := d.scheduler.crashes.refusal(d.now(), r); err != nil {
		return Reply{}, err
	}
	for {
		trial, err := d.awaitTrial(ctx, j)
		if err != nil {
			return Reply{}, j.finalError(err)
		}
		reply, again, err := d.tryCall(ctx, j)
		d.scheduler.crashes.endTrial(trial)
		if err == nil {
			return reply, nil
		}
		if !again {
			return Reply{}, j.finalError(err)
		}
		if err := d.blockedRetry(j); err != nil {
			return Reply{}, j.finalError(err)
		}
	}
}

// tryCall is tryGenerate for a call of a plain service.
func (d *Dispatcher) tryCall(ctx context.Context, j *job) (reply Reply, again bool, err error) {
	p, err := d.scheduler.place(ctx, j)
	if err != nil {
		return Reply{}, false, err
	}
	reply, err = d.call(ctx, j, p)
	failure := classify(ctx, err, false)
	d.scheduler.finish(j, p, err, failure)
	if err == nil {
		if reply.Status < http.StatusInternalServerError {
			d.scheduler.crashes.recordBegun(d.now(), j.request)
		}
		return reply, false, nil
	}
	d.countBreak(ctx, j, p, false, err, failure)
	again = !isBlocked(err) && j.suspectBreaks < crash.MaxCrashes && d.awaitRetry(ctx, j, p, err, failure)
	return Reply{}, again, err
}

func (d *Dispatcher) call(ctx context.Context, j *job, p *placement) (Reply, error) {
	if p.region != "" {
		return d.forwarder.ForwardCall(ctx, p.region, j.request.WithHop(d.self))
	}
	return d.plain.Call(ctx, p.endpoint, j.request)
}
