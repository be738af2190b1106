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
	"arbutusreel/origin"
	"arbutusreel/problem"
	"arbutusreel/residency"
	"arbutusreel/retry"
	"arbutusreel/routing"
)

// job is a request with the decisions made about it.
type job struct {
	request   Request
	inventory *inventory.Inventory
	class     inventory.Class
	team      inventory.Team
	query     routing.Query
	attempts  retry.Attempts
	// excluded are the regions in which an attempt of the request has failed.
	excluded []string
	// versionRefused reports whether one of them has no endpoint of the software version that began the answer.
	versionRefused bool
	// mayHaveRun reports whether an earlier attempt may have run.
	mayHaveRun bool
	// suspectBreaks counts the attempts that broke off while the prompt was suspect.
	suspectBreaks int
	// pieces is the number of pieces of the answer that the caller has received.
	pieces int
	// quantileTokens is the patienceQuantile of the learned answer length in tokens, less the pieces received; a new
	// request is refused if an answer of this length cannot be completed before its deadline.
	quantileTokens int
	// chargedTokens is the number of tokens charged to the team's limit.
	chargedTokens int
}

// placement is the target of an attempt: an endpoint or another region.
type placement struct {
	endpoint      membership.Endpoint
	ticket        *routing.Ticket
	region        string
	forwardTicket *routing.RegionTicket
	// probe reports whether the attempt probes a region whose breaker is half open.
	probe retry.Probe
	terms routing.Terms
	// predicted reports whether the terms are predicted times.
	predicted bool
	// promptTokens is the number of prompt tokens, which the reservation includes.
	promptTokens int
}

func (p *placement) target() string {
	if p.region != "" {
		return p.region
	}
	return p.endpoint.Name
}

// origin returns the origin of the pieces that the placement's endpoint sends; it is not known for another region.
func (p *placement) origin() origin.Origin {
	if p.region != "" {
		return origin.Origin{}
	}
	return origin.Origin{Service: p.endpoint.Service, Software: p.endpoint.SoftwareVersion}
}

// models returns the models that the placement's endpoint serves: only the empty name for an endpoint of a plain
// service, and an empty slice, not nil, for another region.
func (p *placement) models() []string {
	if p.region != "" {
		return []string{}
	}
	if len(p.endpoint.Models) == 0 {
		return []string{""}
	}
	return p.endpoint.Models
}

// newJob checks a request, prepares its query and counts it.
func (d *Dispatcher) newJob(r Request) (*job, error) {
	j, err := d.prepareJob(r)
	if err == nil {
		d.scheduler.register(j)
	}
	return j, err
}

// prepareJob checks a request and prepares its query without the expected tokens.
func (d *Dispatcher) prepareJob(r Request) (*job, error) {
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
	return j, nil
}

// check refuses a request that has passed this instance before, that has crossed regions more than once, that resumes
// an answer of an unknown software version, that is allowed in no region, or that was forwarded to this region although
// it is not allowed here.
func (d *Dispatcher) check(inv *inventory.Inventory, r Request) error {
	if r.Passed(d.self.Instance) {
		return problem.New(problem.LoopRefused, http.StatusLoopDetected, "the request has passed instance %q before", d.self.Instance)
	}
	if crossings(r.Via, d.self.Region) > 1 {
		return problem.New(problem.LoopRefused, http.StatusLoopDetected, "the request has crossed regions before it reached region %q", d.self.Region)
	}
	if r.Resume.Next > 0 && !r.Resume.Began.Known() {
		return problem.New(problem.VersionUnavailable, http.StatusServiceUnavailable, "it is not known which software version began the answer")
	}
	if len(residency.Allowed(inv, r.Subject())) == 0 {
		return problem.New(problem.ResidencyRefused, http.StatusForbidden, "no region is allowed for labels %q, service %q and model %q", r.Labels, r.Service, r.Model)
	}
	if r.Forwarded(d.self.Region) && !residency.Allows(inv, r.Subject(), d.self.Region) {
		return problem.New(problem.ResidencyRefused, http.StatusForbidden, "region %q is not allowed for labels %q, service %q and model %q", d.self.Region, r.Labels, r.Service, r.Model)
	}
	return nil
}

// crossings returns the number of region changes on a request's path to a region.
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

// relativeCost returns a price relative to the lowest price of any region, or 1 if the lowest price is zero.
func relativeCost(inv *inventory.Inventory, price float64) float64 {
	lowestPrice := price
	for _, r := range inv.Contents().Regions {
		lowestPrice = min(lowestPrice, r.CostPerThousandTokens)
	}
	if lowestPrice <= 0 {
		return 1
	}
	return price / lowestPrice
}

func (j *job) usageKey() admission.UsageKey {
	return admission.UsageKey{Team: j.request.Team, Class: j.request.Class, Model: j.request.Model}
}

// wireBytes estimates the bytes that the request transfers over a link between regions.
func (j *job) wireBytes() int {
	return wireBytesPerRequest + len(j.request.Body) + j.query.ExpectedTokens*wireBytesPerToken
}

// routes returns the routes to the regions that may take the request; a request that has crossed regions has none.
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

// route returns the route to a region; its costs are relative to those of the cheapest region.
func (j *job) route(region inventory.Region, link inventory.Link) routing.Route {
	cost := relativeCost(j.inventory, region.CostPerThousandTokens)
	lowestPrice := 0.0
	if cost > 0 {
		lowestPrice = region.CostPerThousandTokens / cost
	}
	requestCost := lowestPrice * float64(max(j.query.ExpectedTokens, 1)) / 1000
	return routing.Route{
		Region:         region.Name,
		RoundTrip:      link.RoundTrip,
		BytesPerSecond: link.BytesPerSecond,
		Egress:         routing.Egress(j.wireBytes(), link.CostPerGigabyte, requestCost),
		Cost:           cost,
	}
}

// pieceTimeouts returns the time-outs of an attempt for its first piece and for each later one. The first piece is
// given more time in another region, where the request may wait in a queue, and under a policy that ignores the
// reported load, as the queue of the endpoint is not known then.
func (j *job) pieceTimeouts(now time.Time, p *placement) (first, later time.Duration) {
	left := max(j.request.Deadline.Sub(now), 0)
	expected := time.Duration(p.terms.FirstToken() * float64(time.Second))
	first = max(firstPieceFactor*expected, minFirstPieceTimeout)
	if p.region != "" || !p.predicted {
		first = max(first, time.Duration(float64(left)*unknownFirstPieceShare))
	}
	return min(first, left), stallTimeout
}

// answerStarted reports whether the caller has received a part of the answer; such a request is not refused before
// its deadline.
func (j *job) answerStarted() bool { return j.pieces > 0 }

// latestStart returns when the next attempt must start to meet the deadline.
func (j *job) latestStart(e admission.Estimate) time.Time {
	if j.answerStarted() {
		return j.request.Deadline
	}
	return j.request.Deadline.Add(-e.Prefill - e.Decode)
}

// recordProgress records the pieces that the caller has received. A further attempt processes them as part of its
// prompt and generates only the rest, at the software version that began the answer.
func (j *job) recordProgress(rec *recorder) {
	added := rec.next - j.pieces
	if added <= 0 {
		return
	}
	j.pieces = rec.next
	j.query.Began = rec.began
	j.attempts.WithoutProgress = 0
	j.query.PromptTokens += added
	j.query.ExpectedTokens = max(j.query.ExpectedTokens-added, 1)
	j.quantileTokens = max(j.quantileTokens-added, 1)
}

// finalError returns the error that ends a request; if an earlier attempt may have run, an outcome of not run becomes
// unknown.
func (j *job) finalError(err error) error {
	var v *VersionError
	if errors.As(err, &v) {
		err = j.versionUnavailable()
	}
	var p *problem.Problem
	if j.mayHaveRun && errors.As(err, &p) && p.Outcome == problem.NotRun {
		return p.WithOutcome(problem.Unknown)
	}
	return err
}

// awaitRetry reports whether the request is tried again after a failure, and waits for the retry delay before that.
func (d *Dispatcher) awaitRetry(ctx context.Context, j *job, p *placement, err error, failure retry.Failure) bool {
	j.attempts.Made++
	if failure == retry.Unreached {
		j.attempts.Unreached++
	} else {
		j.attempts.WithoutProgress++
	}
	j.mayHaveRun = j.mayHaveRun || failure == retry.Doubtful || failure == retry.Final
	if p.region != "" {
		j.excluded = append(j.excluded, p.region)
		j.versionRefused = j.versionRefused || refusedVersion(err)
	} else {
		j.query.Exclude = append(j.query.Exclude, p.endpoint.Name)
	}
	for {
		delay, reason := d.scheduler.decideRetry(j, failure)
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

// explainFailure logs a failed attempt and the decision whether to retry it.
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

// notRunner is an error that reports whether the attempt is certain not to have run.
type notRunner interface{ NotRun() bool }

// refusedVersion reports whether an attempt failed because the software version that began the answer was not found
// there.
func refusedVersion(err error) bool {
	var p *problem.Problem
	var v *VersionError
	return errors.As(err, &p) && p.Code == problem.VersionUnavailable || errors.As(err, &v)
}

// classify returns the kind of failure of an attempt.
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

// classifyProblem returns the kind of failure that a problem of an endpoint or another region stands for.
func classifyProblem(p *problem.Problem) retry.Failure {
	retryableElsewhere := p.Code == problem.ResidencyRefused || p.Code == problem.LoopRefused || p.Status == http.StatusTooManyRequests
	switch {
	case p.Outcome == problem.NotRun && (retryableElsewhere || p.Status >= http.StatusInternalServerError):
		return retry.NotRun
	case p.Status >= http.StatusInternalServerError:
		return retry.Doubtful
	}
	return retry.Final
}
