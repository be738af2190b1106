package dispatch

import (
	"slices"
	"time"

	"arbutusreel/membership"
	"arbutusreel/residency"
	"arbutusreel/retry"
	"arbutusreel/routing"
)

// tryHandOver hands a request to another instance of the region if this one can send it to no endpoint although some are known: they
// may be out of reach from here only. A request is handed over once at most, and only if it may be repeated, as the ledger holds the
// claim of another one for this instance. It returns nil if the request is not handed over.
func (s *scheduler) tryHandOver(now time.Time, j *job) *placement {
	if !s.mayHandOver(now, j) {
		return nil
	}
	region := s.self.Region
	s.counts.SentAway++
	s.requestEvent(j).Str("action", "handedOver").Str("region", region).Msg("routed")
	return &placement{
		region: region, forwardTicket: &routing.RegionTicket{}, probe: s.regionBreakers.Begin(now, region), promptTokens: j.request.PromptTokens,
	}
}

// mayHandOver reports whether a request for which this instance has no endpoint is handed to another one of the region.
func (s *scheduler) mayHandOver(now time.Time, j *job) bool {
	region := s.self.Region
	return s.instances >= 2 && len(j.request.Via) == 0 && j.attempts.Repeatable && !slices.Contains(j.excluded, region) &&
		residency.Allows(j.inventory, j.request.Subject(), region) && s.regionBreakers.Allows(now, region) && s.allTripped(now, j)
}

// allTripped reports whether endpoints are known that may serve the request, and the circuit breakers of all are open.
func (s *scheduler) allTripped(now time.Time, j *job) bool {
	known := 0
	for _, e := range s.view.Endpoints() {
		if !serves(e, j) {
			continue
		}
		known++
		if s.breakers.State(now, e.Name) != retry.Open {
			return false
		}
	}
	return known > 0
}

// serves reports whether an endpoint may serve the request.
func serves(e membership.Endpoint, j *job) bool {
	return e.Service == j.query.Service && !e.Leaving && (j.query.Model == "" || slices.Contains(e.Models, j.query.Model))
}
