package gateway

import (
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/routes"
)

const (
	// rebirthTime is how long an endpoint that could not be reached counts as cold when it can be again: it may have
	// started anew under the same id, which its heartbeat tells within that time.
	rebirthTime = 3 * time.Second
	// coldShare is the part of a cold endpoint's bound that is used, as two gateways' seconds do not begin together.
	coldShare = 0.8
	// settleCold is how long a gateway that has just started sends nothing to cold endpoints: until then the others know of
	// it, and the last second in which they used its share is over.
	settleCold = 1500 * time.Millisecond
	// holderMemory is how long a gateway that is no longer named keeps its share of cold endpoints' rates: it may be at the
	// other side of a cut.
	holderMemory = 20 * time.Second
)

// isCold reports whether an endpoint is cold, or may be without having told so yet.
func (p *placer) isCold(e *fleet.Endpoint, s *endpointState, now time.Time) bool {
	return e.Cold(now) || now.Before(s.coldUntil) || !s.failedAt.IsZero() && now.Sub(s.failedAt) < rebirthTime
}

// coldLimit returns the number of requests that this gateway may send to a cold endpoint in one second.
func (p *placer) coldLimit(now time.Time, s *routes.Service, e *fleet.Endpoint, rank, n int) int {
	if s.ColdRate <= 0 {
		return 1 << 30
	}
	if now.Sub(p.began) < settleCold {
		return 0
	}
	whole := int(coldShare * (s.ColdRate*p.cfg.ColdBurst + p.cfg.ColdReserve))
	// Each endpoint ranks the gateways from another start, so that the larger shares do not all fall to one.
	return capacity.Share(whole, n, (rank+int(e.Born%int64(n)))%n)
}

// holderRank returns the place of this gateway among those of its region that may send to cold endpoints, and their number.
func (p *placer) holderRank(now time.Time, v *view) (rank, n int) {
	if p.began.IsZero() {
		p.began = now
	}
	if p.seen != v {
		p.seen = v
		for _, g := range v.gateways {
			if g.Region == p.cfg.Region {
				p.holders[g.Name] = now
			}
		}
	}
	n = 1
	for name, seen := range p.holders {
		switch {
		case name == p.cfg.Name:
		case now.Sub(seen) > holderMemory:
			delete(p.holders, name)
		default:
			n++
			if name < p.cfg.Name {
				rank++
			}
		}
	}
	return rank, n
}
