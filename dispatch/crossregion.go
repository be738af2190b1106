package dispatch

import (
	"slices"
	"time"

	"arbutusreel/routing"
)

// tryForward forwards the request to another region if its own region lacks capacity: the region has no endpoint for
// the request, cannot meet its deadline, or has kept requests waiting for minShortageTime and the other region is
// expected to be better. A small share of the new requests may be forwarded to a better region before that. A deferrable
// request is forwarded only if the region has no endpoint for it. tryForward returns nil if the request is not
// forwarded.
func (s *scheduler) tryForward(now time.Time, j *job, q *modelQueue, d routing.Decision, hasEndpoint bool) *placement {
	if !hasEndpoint {
		if p := s.tryHandOver(now, j); p != nil {
			return p
		}
	}
	f, ok := s.decideForward(now, j, q, d, hasEndpoint)
	if !ok {
		return nil
	}
	s.counts.SentAway++
	if f.reason == forwardBetter {
		s.optionalForwards--
	}
	s.explainForward(j, f.target, f.localTerms, f.reason)
	return &placement{
		region:        f.target.Region,
		forwardTicket: s.regions.Start(now, f.target, &j.query, j.wireBytes()),
		probe:         s.regionBreakers.Begin(now, f.target.Region),
		terms:         f.target.Terms,
		promptTokens:  j.request.PromptTokens,
	}
}

// forward is the decision to forward a request to another region, with the terms that it had to improve on.
type forward struct {
	target     routing.RegionDecision
	reason     string
	localTerms *routing.Terms
}

// decideForward returns the region that a request is forwarded to, or false if it is not forwarded.
func (s *scheduler) decideForward(now time.Time, j *job, q *modelQueue, d routing.Decision, hasEndpoint bool) (f forward, ok bool) {
	if hasEndpoint && j.class.Deferrable {
		return f, false
	}
	if f.reason, f.localTerms = s.forwardReason(now, j, q, d, hasEndpoint); f.reason == "" {
		return f, false
	}
	f.target, ok = s.regions.Choose(now, &j.query, j.wireBytes(), s.openRoutes(now, j), f.localTerms)
	return f, ok
}

// openRoutes returns the routes to the regions whose circuit breakers allow a request.
func (s *scheduler) openRoutes(now time.Time, j *job) []routing.Route {
	return slices.DeleteFunc(j.routes(s.self.Region), func(r routing.Route) bool { return !s.regionBreakers.Allows(now, r.Region) })
}

// Reasons to forward a request to another region.
const (
	forwardNoEndpoint    = "noEndpoint"
	forwardCannotBeMet   = "cannotBeMet"
	forwardCapacityShort = "capacityShort"
	forwardBetter        = "better"
)

// forwardReason returns why the request may be forwarded, or an empty string, and the terms that another region must
// improve on, which are nil if any region will do.
func (s *scheduler) forwardReason(now time.Time, j *job, q *modelQueue, d routing.Decision, hasEndpoint bool) (string, *routing.Terms) {
	if !hasEndpoint {
		return forwardNoEndpoint, nil
	}
	terms := d.Terms
	if !d.HasCapacity {
		e := s.estimate(now, j, q, d)
		if !now.Add(e.Total()).Before(j.request.Deadline) {
			return forwardCannotBeMet, nil
		}
		terms.Wait = e.Wait.Seconds()
		terms.Score = j.query.Objective.Score(terms)
		if q.capacityShort(now) {
			return forwardCapacityShort, &terms
		}
	}
	if d.Informed && s.optionalForwards >= 1 && !j.answerStarted() {
		return forwardBetter, &terms
	}
	return "", nil
}
