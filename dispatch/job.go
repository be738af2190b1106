package dispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"arbutusreel/admission"
	"arbutusreel/clock"
	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/residency"
	"arbutusreel/retry"
	"arbutusreel/routing"
)

// job is a request with what the dispatcher has decided of it.
type job struct {
	request   Request
	inventory *inventory.Inventory
	class     inventory.Class
	team      inventory.Team
	query     routing.Query
	attempts  retry.Attempts
	// excluded are the regions that have failed the request.
	excluded []string
	// doubtful tells that an attempt may have run.
	doubtful bool
	pieces   int
	// likely is the number of tokens that must fit into the patience.
	likely int
	// spent is what was taken of the team's limit.
	spent int
}

// placement is where an attempt goes: to an endpoint, or to a region.
type placement struct {
	endpoint membership.Endpoint
	ticket   *routing.Ticket
	region   string
	away     *routing.AwayTicket
	// probe tells whether the attempt tries a region whose breaker is half open.
	probe retry.Probe
	terms routing.Terms
	// informed tells that the terms are expected times.
	informed bool
	// prompt is the number of prompt tokens, which the reservation holds as well.
	prompt int
}

func (p *placement) target() string {
	if p.region != "" {
		return p.region
	}
	return p.endpoint.Name
}

// models returns the models that the attempt's endpoint serves, and nothing for a region.
func (p *placement) models() []string {
	if p.region != "" {
		return []string{}
	}
	if len(p.endpoint.Models) == 0 {
		return []string{""}
	}
	return p.endpoint.Models
}

// begin checks a request and learns what its query needs.
func (d *Dispatcher) begin(r Request) (*job, error) {
	inv, _ := d.view.Inventory()
	if inv == nil {
		return nil, problem.New(problem.NotReady, http.StatusServiceUnavailable, "instance %q has no inventory yet", d.self.Instance)
	}
	if err := d.check(inv, r); err != nil {
		return nil, err
	}
	j := &job{request: r, inventory: inv}
	j.class, _ = inv.Class(r.Class)
	j.team, _ = inv.Team(r.Team)
	service, _ := inv.Service(r.Service)
	j.attempts = retry.Attempts{Repeatable: r.Model != "" || service.Idempotent, Deadline: r.Deadline}
	region, _ := inv.Region(d.self.Region)
	j.query = routing.Query{
		Service:      r.Service,
		Model:        r.Model,
		Prefixes:     r.Prefixes,
		PromptTokens: r.PromptTokens,
		Objective:    routing.NewObjective(inv.Rules().Objective),
		Cost:         relativeCost(inv, region.CostPerThousandTokens),
	}
	d.scheduler.begin(j)
	return j, nil
}

// check refuses a request that has been here, that has crossed regions twice, or whose data may not be here.
func (d *Dispatcher) check(inv *inventory.Inventory, r Request) error {
	if r.Passed(d.self.Instance) {
		return problem.New(problem.LoopRefused, http.StatusLoopDetected, "the request has passed instance %q before", d.self.Instance)
	}
	if crossings(r.Via, d.self.Region) > 1 {
		return problem.New(problem.LoopRefused, http.StatusLoopDetected, "the request has crossed regions before it reached region %q", d.self.Region)
	}
	if len(residency.Allowed(inv, r.Subject())) == 0 {
		return problem.New(problem.ResidencyRefused, http.StatusForbidden, "no region is allowed for labels %q, service %q and model %q", r.Labels, r.Service, r.Model)
	}
	if r.Forwarded(d.self.Region) && !residency.Allows(inv, r.Subject(), d.self.Region) {
		return problem.New(problem.ResidencyRefused, http.StatusForbidden, "region %q is not allowed for labels %q, service %q and model %q", d.self.Region, r.Labels, r.Service, r.Model)
	}
	return nil
}

// crossings counts the changes of region on the way of a request to a region.
func crossings(via []Hop, region string) int {
	n := 0
	for i, h := range via {
		next := region
		if i+1 < len(via) {
			next = via[i+1].Region
		}
		if next != h.Region {
			n++
		}
	}
	return n
}

// relativeCost returns a price against the lowest price of a region.
func relativeCost(inv *inventory.Inventory, price float64) float64 {
	lowest := price
	for _, r := range inv.Contents().Regions {
		lowest = min(lowest, r.CostPerThousandTokens)
	}
	if lowest <= 0 {
		return 1
	}
	return price / lowest
}

func (j *job) useKey() admission.Key {
	return admission.Key{Team: j.request.Team, Class: j.request.Class, Model: j.request.Model}
}

// bytes estimates what the request takes on a link between regions.
func (j *job) bytes() int {
	return wireBytesPerRequest + len(j.request.Body) + j.query.ExpectedTokens*wireBytesPerToken
}

// routes returns the regions that may take the request.
func (j *job) routes(self string) []routing.Route {
	if j.request.Forwarded(self) {
		return nil
	}
	var routes []routing.Route
	for _, region := range j.inventory.Contents().Regions {
		if region.Name == self || slices.Contains(j.excluded, region.Name) || !residency.Allows(j.inventory, j.request.Subject(), region.Name) {
			continue
		}
		link, _ := j.inventory.Link(self, region.Name)
		routes = append(routes, j.route(region, link))
	}
	return routes
}

func (j *job) route(region inventory.Region, link inventory.Link) routing.Route {
	cost := relativeCost(j.inventory, region.CostPerThousandTokens)
	lowest := 0.0
	if cost > 0 {
		lowest = region.CostPerThousandTokens / cost
	}
	requestCost := lowest * float64(max(j.query.ExpectedTokens, 1)) / 1000
	return routing.Route{
		Region:         region.Name,
		RoundTrip:      link.RoundTrip,
		BytesPerSecond: link.BytesPerSecond,
		Egress:         routing.Egress(j.bytes(), link.CostPerGigabyte, requestCost),
		Cost:           cost,
	}
}

// patience returns how long an attempt may send nothing at its beginning, and later. A request may wait in the queue of
// another region, or of an endpoint whose load the policy does not look at.
func (j *job) patience(now time.Time, p *placement) (first, later time.Duration) {
	left := max(j.request.Deadline.Sub(now), 0)
	expected := time.Duration(p.terms.FirstToken() * float64(time.Second))
	first = max(firstPieceFactor*expected, minFirstPiece)
	if p.region != "" || !p.informed {
		first = max(first, time.Duration(float64(left)*unknownShare))
	}
	return min(first, left), maxStall
}

// begun reports whether the caller has a part of the answer; such a request is not refused before its deadline.
func (j *job) begun() bool { return j.pieces > 0 }

// latestStart returns when the next attempt must start to be met.
func (j *job) latestStart(e admission.Estimate) time.Time {
	if j.begun() {
		return j.request.Deadline
	}
	return j.request.Deadline.Add(-e.Prefill - e.Decode)
}

// progressed notes the pieces that the caller has: a further attempt reads them with its prompt and generates the rest.
func (j *job) progressed(pieces int) {
	added := pieces - j.pieces
	if added <= 0 {
		return
	}
	j.pieces = pieces
	j.attempts.Fruitless = 0
	j.query.PromptTokens += added
	j.query.ExpectedTokens = max(j.query.ExpectedTokens-added, 1)
	j.likely = max(j.likely-added, 1)
}

// outcome returns the failure of a request; one that may have run in part is not told as not run.
func (j *job) outcome(err error) error {
	var p *problem.Problem
	if j.doubtful && errors.As(err, &p) && p.Outcome == problem.NotRun {
		return p.WithOutcome(problem.Unknown)
	}
	return err
}

// again reports whether the request is tried again after a failure, and waits for the delay before it.
func (d *Dispatcher) again(ctx context.Context, j *job, p *placement, err error, failure retry.Failure) bool {
	j.attempts.Made++
	if failure == retry.Unreached {
		j.attempts.Unreached++
	} else {
		j.attempts.Fruitless++
	}
	j.doubtful = j.doubtful || failure == retry.Doubtful || failure == retry.Final
	if p.region != "" {
		j.excluded = append(j.excluded, p.region)
	} else {
		j.query.Exclude = append(j.query.Exclude, p.endpoint.Name)
	}
	for {
		delay, reason := d.scheduler.decide(j, failure)
		d.explainFailure(j, p, err, delay, reason)
		if reason != retry.Retry && reason != retry.Paced {
			return false
		}
		if !clock.Sleep(ctx, delay) {
			return false
		}
		if reason == retry.Retry {
			return true
		}
	}
}

// explainFailure logs a failed attempt and what is done after it.
func (d *Dispatcher) explainFailure(j *job, p *placement, err error, delay time.Duration, reason retry.Reason) {
	d.log.Info().
		Str("correlationId", j.request.CorrelationID).
		Str("target", p.target()).
		Int("attempts", j.attempts.Made).
		Int("pieces", j.pieces).
		Str("reason", string(reason)).
		Dur("delay", delay).
		Err(err).
		Msg("attemptFailed")
}

// notRunner is a failure that knows whether the attempt may have run.
type notRunner interface{ NotRun() bool }

// classify returns what is known of a failed attempt.
func classify(ctx context.Context, err error, sinkFailed bool) retry.Failure {
	if ctx.Err() != nil || sinkFailed {
		return retry.Final
	}
	var p *problem.Problem
	if errors.As(err, &p) {
		return classifyProblem(p)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return retry.Unreached
	}
	var n notRunner
	if errors.As(err, &n) && n.NotRun() {
		return retry.NotRun
	}
	return retry.Doubtful
}

// classifyProblem reads the answer of an endpoint or of another region.
func classifyProblem(p *problem.Problem) retry.Failure {
	elsewhere := p.Code == problem.ResidencyRefused || p.Code == problem.LoopRefused || p.Status == http.StatusTooManyRequests
	switch {
	case p.Outcome == problem.NotRun && (elsewhere || p.Status >= http.StatusInternalServerError):
		return retry.NotRun
	case p.Status >= http.StatusInternalServerError:
		return retry.Doubtful
	}
	return retry.Final
}
