package gateway

import (
	"time"

	"arbutusreel/fleet"
)

// exclusion is what keeps a ready endpoint from being a candidate; included stands for nothing.
type exclusion string

// Exclusions of endpoints.
const (
	included exclusion = ""
	// excludedLeaving: the endpoint has announced that it is leaving, or will be terminated.
	excludedLeaving exclusion = "draining"
	// excludedVersion: another software version began the stream.
	excludedVersion exclusion = "version"
	excludedTried   exclusion = "tried"
	excludedPaused  exclusion = "paused"
	excludedBreaker exclusion = "breakerOpen"
	excludedLimited exclusion = "limited"
	excludedBrittle exclusion = "brittle"
	excludedCold    exclusion = "cold"
)

// Exclusions of endpoints that explanations add.
const (
	// excludedHomes: the homes of the route or the team do not allow this region.
	excludedHomes     exclusion = "homes"
	excludedEvacuated exclusion = "evacuated"
	excludedOther     exclusion = "other"
)

// exclusionOf returns what keeps an endpoint from being a candidate now, and adds it to held if it will end soon. If another gateway is
// to send the request, what keeps this one from sending it does not count.
func (p *placer) exclusionOf(now time.Time, q *query, e *fleet.Endpoint, s *endpointState, peers *endpointLoad, byOther bool, by sharers, held *withheld) exclusion {
	switch {
	case !e.TerminatesAt.IsZero() || p.departures.Contains(e.ID, e.Born):
		return excludedLeaving
	case !q.mayServe(e):
		return excludedVersion
	case byOther:
		return included
	default:
		return p.sendExclusion(now, q, e, s, peers, by, held)
	}
}

// sendExclusion returns what keeps this gateway from sending a request to an endpoint now.
func (p *placer) sendExclusion(now time.Time, q *query, e *fleet.Endpoint, s *endpointState, peers *endpointLoad, by sharers, held *withheld) exclusion {
	switch {
	case q.tried[e.ID]:
		return excludedTried
	case now.Before(s.pausedUntil):
		held.addPause(s.pausedUntil)
		return excludedPaused
	case !p.endpointBreakers.Allows(now, e.ID):
		return excludedBreaker
	case !p.mayTake(now, e, &s.limit, by.reaching.rank, by.reaching.n):
		held.addLimited(s.limit.perSecond)
		return excludedLimited
	case s.brittle.rejections.named && !p.mayStart(now, e, s, s.outstanding.Requests+peers.outstanding.Requests, by.reaching.rank, by.reaching.n):
		held.brittle++
		return excludedBrittle
	case p.isCold(e, s, now) && s.coldWindow.Count(now) >= p.coldLimit(now, q.service, e, by.all.rank, by.all.n):
		return excludedCold
	default:
		return included
	}
}
