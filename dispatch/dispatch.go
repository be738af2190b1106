package dispatch

import (
	"context"
	"net/http"
	"slices"

	"github.com/rs/zerolog"

	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/residency"
	"arbutusreel/routing"
	"arbutusreel/stream"
)

// View is what an instance knows at the moment.
type View interface {
	// Inventory returns the inventory in force and its revision, or nil and zero before the first.
	Inventory() (*inventory.Inventory, int64)
	// Endpoints returns the endpoints of the instance's region.
	Endpoints() []membership.Endpoint
	// Summaries returns the summaries of the other regions.
	Summaries() []membership.Summary
}

// Models sends one attempt of a request to a model engine and its pieces to the sink.
type Models interface {
	Generate(ctx context.Context, e membership.Endpoint, r Request, attempt Attempt, sink stream.Sink) (stream.End, error)
}

// Plain sends a call to an endpoint of a plain service, once.
type Plain interface {
	Call(ctx context.Context, e membership.Endpoint, r Request) (Reply, error)
}

// Forwarder sends a request to an entry of another region.
type Forwarder interface {
	ForwardModel(ctx context.Context, region string, r Request, sink stream.Sink) (stream.End, error)
	ForwardCall(ctx context.Context, region string, r Request) (Reply, error)
}

// Dispatcher dispatches the requests of one instance.
type Dispatcher struct {
	self    Hop
	view    View
	models  Models
	plain   Plain
	forward Forwarder
	chooser *routing.Chooser
	log     zerolog.Logger
}

// New returns a dispatcher of the instance self.
func New(self Hop, view View, models Models, plain Plain, forward Forwarder, chooser *routing.Chooser, log zerolog.Logger) *Dispatcher {
	return &Dispatcher{self: self, view: view, models: models, plain: plain, forward: forward, chooser: chooser, log: log}
}

// Generate answers a model request into the sink; a failure is a *problem.Problem.
func (d *Dispatcher) Generate(ctx context.Context, r Request, sink stream.Sink) (stream.End, error) {
	if err := d.check(r); err != nil {
		return stream.End{}, err
	}
	r = r.WithHop(d.self)
	e, ok := d.choose(r)
	if ok {
		defer d.chooser.Done(e.Name)
		return d.models.Generate(ctx, e, r, Attempt{}, sink)
	}
	region, err := d.away(r)
	if err != nil {
		return stream.End{}, err
	}
	return d.forward.ForwardModel(ctx, region, r, sink)
}

// Call answers a call of a plain service, which is sent to one endpoint at most; a failure is a *problem.Problem.
func (d *Dispatcher) Call(ctx context.Context, r Request) (Reply, error) {
	if err := d.check(r); err != nil {
		return Reply{}, err
	}
	r = r.WithHop(d.self)
	e, ok := d.choose(r)
	if ok {
		defer d.chooser.Done(e.Name)
		return d.plain.Call(ctx, e, r)
	}
	region, err := d.away(r)
	if err != nil {
		return Reply{}, err
	}
	return d.forward.ForwardCall(ctx, region, r)
}

// check refuses a request that has been here, or whose data may not be here.
func (d *Dispatcher) check(r Request) error {
	if r.Passed(d.self.Instance) {
		return problem.New(problem.LoopRefused, http.StatusLoopDetected, "the request has passed instance %q before", d.self.Instance)
	}
	inv, _ := d.view.Inventory()
	if inv == nil {
		return problem.New(problem.NotReady, http.StatusServiceUnavailable, "instance %q has no inventory yet", d.self.Instance)
	}
	if len(residency.Allowed(inv, r.Subject())) == 0 {
		return problem.New(problem.ResidencyRefused, http.StatusForbidden, "no region is allowed for labels %q, service %q and model %q", r.Labels, r.Service, r.Model)
	}
	return nil
}

// choose returns an endpoint of the own region that may run the request.
func (d *Dispatcher) choose(r Request) (membership.Endpoint, bool) {
	inv, revision := d.view.Inventory()
	if !residency.Allows(inv, r.Subject(), d.self.Region) {
		return membership.Endpoint{}, false
	}
	var candidates []membership.Endpoint
	for _, e := range d.view.Endpoints() {
		if e.Service == r.Service && !e.Leaving && (r.Model == "" || slices.Contains(e.Models, r.Model)) {
			candidates = append(candidates, e)
		}
	}
	choice, ok := d.chooser.Choose(candidates)
	d.log.Info().
		Str("correlationId", r.CorrelationID).
		Str("service", r.Service).
		Str("model", r.Model).
		Str("class", r.Class).
		Int64("revision", revision).
		Int("candidates", len(candidates)).
		Str("endpoint", choice.Endpoint.Name).
		Str("reason", choice.Reason).
		Msg("routed")
	return choice.Endpoint, ok
}

// away returns another region for a request that the own region cannot serve.
func (d *Dispatcher) away(r Request) (string, error) {
	refusal := problem.New(problem.NoCapacity, http.StatusServiceUnavailable, "no endpoint of service %q is known for model %q", r.Service, r.Model).WithRetryAfter(retryAfterNoCapacity)
	if r.Forwarded(d.self.Region) {
		return "", refusal
	}
	inv, _ := d.view.Inventory()
	for _, s := range d.view.Summaries() {
		serves := s.Service == r.Service && s.Endpoints > 0 && (r.Model == "" || slices.Contains(s.Models, r.Model))
		if serves && s.Region != d.self.Region && residency.Allows(inv, r.Subject(), s.Region) {
			d.log.Info().Str("correlationId", r.CorrelationID).Str("region", s.Region).Str("reason", "noEndpointInRegion").Msg("forwarded")
			return s.Region, nil
		}
	}
	return "", refusal
}
