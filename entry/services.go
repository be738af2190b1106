package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/inventory"
	"arbutusreel/problem"
	"arbutusreel/residency"
)

// serveCall serves a call of a plain service.
func (n *Entry) serveCall(w http.ResponseWriter, r *http.Request, c caller) {
	began := time.Now()
	class, reserved, err := n.reserveRequest(c, r)
	if err != nil {
		n.fail(w, c, unknownOutcomeIfKeyed(idempotencyKey(r), err))
		return
	}
	req, s, err := n.serviceRequest(w, r, c, class)
	if err != nil {
		reserved.release()
		n.fail(w, c, unknownOutcomeIfKeyed(idempotencyKey(r), err))
		return
	}
	reserved.shrink(int64(len(req.Body)))
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	reply, err := n.call(ctx, req, s, c.team.HomeRegion, reserved.release)
	if err != nil {
		n.fail(w, c, err)
		return
	}
	w.Header().Set("Content-Type", reply.ContentType)
	n.setWriteTimeout(w)
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
	n.metrics.Count(answeredCode)
	n.log.Info().
		Str("correlationId", c.correlationID).
		Str("team", c.team.Name).
		Str("class", req.Class).
		Str("service", s.Name).
		Str("endpoint", reply.Endpoint).
		Int("status", reply.Status).
		Dur("duration", time.Since(began)).
		Msg("answered")
}

// call runs a call; one that must not be repeated goes through the ledger of the team's home region. It calls release
// once the call holds no memory any more, which may be after the caller has disconnected.
func (n *Entry) call(ctx context.Context, req dispatch.Request, s inventory.Service, home string, release func()) (dispatch.Reply, error) {
	if !s.Idempotent && home == n.cfg.Self.Region {
		return n.runner.RunNotify(ctx, req, release)
	}
	defer release()
	if s.Idempotent {
		return n.dispatcher.Call(ctx, req)
	}
	if !n.dataAllowedIn(req, home) {
		err := problem.New(problem.ResidencyRefused, http.StatusForbidden, "the request must not enter home region %q, whose ledger holds its key", home)
		return dispatch.Reply{}, unknownOutcomeIfKeyed(req.IdempotencyKey, err)
	}
	self := dispatch.Hop{Instance: n.cfg.Self.Name, Region: n.cfg.Self.Region}
	reply, err := n.peers.ForwardCall(ctx, home, req.WithHop(self))
	return reply, unknownOutcomeIfUnchecked(err)
}

// unknownOutcomeIfUnchecked sets the outcome of a forwarded call's refusal to unknown if the home region may not have
// checked its ledger: an earlier attempt with the same key may have run.
func unknownOutcomeIfUnchecked(err error) error {
	var p *problem.Problem
	if !errors.As(err, &p) {
		return err
	}
	switch p.Code {
	case problem.HomeRegionRequired, problem.Stopping, problem.InstanceFull, problem.NotReady, problem.UnknownService, problem.ResidencyRefused, problem.LoopRefused:
		return p.WithOutcome(problem.Unknown)
	default:
		return err
	}
}

// idempotencyKey returns the idempotency key of a plain service's call; requests on other routes have none.
func idempotencyKey(r *http.Request) string {
	if r.PathValue("service") == "" {
		return ""
	}
	return r.Header.Get(keyHeader)
}

// unknownOutcomeIfKeyed sets the outcome to unknown for a call that is refused before the ledger was checked: an
// earlier attempt with the same key may have run. A body that is too large is an exception, since every attempt was
// refused for it.
func unknownOutcomeIfKeyed(key string, err error) error {
	var p *problem.Problem
	if key == "" || !errors.As(err, &p) || p.Code == problem.BodyTooLarge {
		return err
	}
	return p.WithOutcome(problem.Unknown)
}

// mayStoreAnswer reports whether the answer of a request may be stored in this region.
func (n *Entry) mayStoreAnswer(req dispatch.Request) bool {
	return n.dataAllowedIn(req, n.cfg.Self.Region)
}

// dataAllowedIn reports whether the data of a request may be in the region.
func (n *Entry) dataAllowedIn(req dispatch.Request, region string) bool {
	inv, _ := n.state.Inventory()
	return inv != nil && residency.Allows(inv, req.Subject(), region)
}

func (n *Entry) serviceRequest(w http.ResponseWriter, r *http.Request, c caller, class inventory.Class) (dispatch.Request, inventory.Service, error) {
	s, ok := c.inventory.Service(r.PathValue("service"))
	if !ok || s.Kind != inventory.KindPlain {
		return dispatch.Request{}, s, problem.New(problem.UnknownService, http.StatusNotFound, "no plain service has the name %q", r.PathValue("service"))
	}
	labels, err := n.allowedLabels(c, r)
	if err != nil {
		return dispatch.Request{}, s, err
	}
	body, err := n.readBody(w, r)
	if err != nil {
		return dispatch.Request{}, s, err
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return dispatch.Request{
		CorrelationID:  c.correlationID,
		Team:           c.team.Name,
		Class:          class.Name,
		Labels:         labels,
		Service:        s.Name,
		Method:         r.Method,
		Path:           path,
		ContentType:    r.Header.Get("Content-Type"),
		Body:           body,
		Deadline:       time.Now().Add(class.Patience),
		IdempotencyKey: idempotencyKey(r),
		Epoch:          r.Header.Get(epochHeader),
	}, s, nil
}
