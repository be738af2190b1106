package entry

import (
	"errors"
	"net/http"

	"arbutusreel/dispatch"
	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/residency"
)

// allowedLabels returns the labels of a caller's request. It refuses a request whose data must not be in this region,
// and is called before the body is read.
func (n *Entry) allowedLabels(c caller, r *http.Request) ([]string, error) {
	labels, err := c.labels(r)
	if err != nil {
		return nil, err
	}
	if err := residency.CheckData(c.inventory, c.team.Name, labels, n.cfg.Self.Region); err != nil {
		return nil, residencyProblem(err)
	}
	return labels, nil
}

// residencyProblem returns the problem of a residency refusal, which means that the request was not run; other errors
// are returned unchanged.
func residencyProblem(err error) error {
	var refused *residency.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	return problem.New(problem.ResidencyRefused, http.StatusForbidden, "%s", refused.Error())
}

// checkDestination refuses to forward a request to a region in which its data must not be. It returns the inventory
// revision on which the decision is based.
func (p *peers) checkDestination(r dispatch.Request, region string) (int64, error) {
	inv, revision := p.state.Inventory()
	if inv == nil {
		return 0, problem.New(problem.NotReady, http.StatusServiceUnavailable, "instance %q has no inventory yet", p.self)
	}
	return revision, residencyProblem(residency.CheckData(inv, r.Team, r.Labels, region))
}

// checkForwarded refuses a forwarded request whose data must not be in this region according to the receiver's own
// inventory. It returns the request with the labels that this inventory gives to the team.
func (n *Entry) checkForwarded(r dispatch.Request, senderRevision int64) (dispatch.Request, error) {
	inv, revision := n.state.Inventory()
	if inv == nil {
		return r, problem.New(problem.NotReady, http.StatusServiceUnavailable, "instance %q has no inventory yet", n.cfg.Self.Name).WithRetryAfter(retryAfterStopping)
	}
	err := residency.CheckData(inv, r.Team, r.Labels, n.cfg.Self.Region)
	if err == nil {
		r.Labels, err = residency.Labels(inv, r.Team, r.Labels)
	}
	if err == nil {
		return r, nil
	}
	n.log.Warn().
		Str("correlationId", r.CorrelationID).
		Int64("senderRevision", senderRevision).
		Int64("revision", revision).
		Str("reason", err.Error()).
		Msg("forwardRefused")
	return r, residencyProblem(err)
}

// allowedEntries returns the entries to which the team's data may be sent.
func allowedEntries(inv *inventory.Inventory, team inventory.Team, entries []membership.Entry) []membership.Entry {
	var allowed []membership.Entry
	for _, e := range entries {
		if residency.CheckData(inv, team.Name, nil, e.Region) == nil {
			allowed = append(allowed, e)
		}
	}
	return allowed
}
