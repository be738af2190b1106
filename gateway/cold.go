package gateway

import (
	"slices"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/routes"
)

const (
	// restartDetectionTime is how long an endpoint counts as cold after a failed connection. It may have restarted
	// under the same ID, which its heartbeat reports within that time.
	restartDetectionTime = 3 * time.Second
	// coldRateShare is the share of a cold endpoint's rate limit that is used. It leaves a reserve because the
	// one-second windows of the gateways are not aligned.
	coldRateShare = 0.8
	// coldHoldoffTime is how long a gateway sends nothing to cold endpoints after its first decision. By then the other
	// gateways have learned of it, and the last second in which they used its share is over.
	coldHoldoffTime = 1500 * time.Millisecond
	// coldShareTTL is how long a gateway that is no longer listed keeps its share of the cold endpoints' rates: it may
	// still be running on the other side of a network partition.
	coldShareTTL = 20 * time.Second
)

// isCold reports whether an endpoint is cold, or may have restarted without having reported it yet.
func (p *placer) isCold(e *fleet.Endpoint, s *endpointState, now time.Time) bool {
	return e.Cold(now) || now.Before(s.coldUntil) || !s.connectFailedAt.IsZero() && now.Sub(s.connectFailedAt) < restartDetectionTime ||
		!s.unansweredAt.IsZero() && now.Sub(s.unansweredAt) < restartDetectionTime && !s.receivedWithin(now, maxSilence)
}

// receivedWithin reports whether anything has arrived from the endpoint within a time.
func (s *endpointState) receivedWithin(now time.Time, d time.Duration) bool {
	return now.Sub(time.Unix(0, s.receivedNanos.Load())) < d
}

// coldLimit returns the number of requests that this gateway may send to a cold endpoint in one second.
func (p *placer) coldLimit(now time.Time, s *routes.Service, e *fleet.Endpoint, rank, holders int) int {
	if s.ColdRate <= 0 {
		return 1 << 30
	}
	if p.reach.stranded || now.Sub(p.firstDecisionAt) < coldHoldoffTime {
		return 0
	}
	total := int(coldRateShare * (s.ColdRate*p.cfg.ColdBurst + p.cfg.ColdReserve))
	// The ranking is rotated by endpoint, so that the larger shares do not all fall to the same gateway.
	return capacity.Share(total, holders, (rank+int(e.Born%int64(holders)))%holders)
}

// listsGateway reports whether a gateway is listed. A view that is not renewed lists what its control daemon last knew.
func (v *view) listsGateway(name string) bool {
	return slices.ContainsFunc(v.gateways, func(g fleet.Gateway) bool { return g.Name == name })
}

// holders is the position of a gateway among those of its region that share a rate, and their number.
type holders struct {
	rank, n int
}

// sharers is the position of a gateway among all that hold a share of the cold endpoints' rates, and among those of them that reach
// endpoints, which share limits and grants. The shares of stranded gateways in the rates of cold endpoints stay unused: a cold endpoint
// must not get more while some gateways know of one that is stranded and others don't.
type sharers struct {
	all, reaching holders
}

// countedSharers are the sharers as last counted. They change with the view, and when the share of a gateway expires that it doesn't list.
type countedSharers struct {
	sharers

	valid bool
	// expiresAt is when the first share expires; zero if none does.
	expiresAt time.Time
}

// sharersOf returns this gateway's position among the sharers of its region.
func (p *placer) sharersOf(now time.Time, v *view) sharers {
	if p.firstDecisionAt.IsZero() {
		p.firstDecisionAt = now
	}
	if p.holdersView != v {
		p.holdersView, p.counted.valid = v, false
		clear(p.strandedHolders)
		for _, g := range v.gateways {
			if g.Region != p.cfg.Region {
				continue
			}
			p.shareHolders[g.Name] = now
			if g.Stranded {
				p.strandedHolders[g.Name] = true
			}
		}
	}
	if !p.counted.valid || !p.counted.expiresAt.IsZero() && now.After(p.counted.expiresAt) {
		p.countSharers(now, v)
	}
	return p.counted.sharers
}

// countSharers counts the sharers, and removes those whose share has expired.
func (p *placer) countSharers(now time.Time, v *view) {
	all, reaching := holders{n: 1}, holders{n: 1}
	p.counted = countedSharers{valid: true}
	for name, seen := range p.shareHolders {
		if name == p.cfg.Name {
			continue
		}
		if !v.listsGateway(name) {
			if now.Sub(seen) > coldShareTTL {
				delete(p.shareHolders, name)
				continue
			}
			if end := seen.Add(coldShareTTL); p.counted.expiresAt.IsZero() || end.Before(p.counted.expiresAt) {
				p.counted.expiresAt = end
			}
		}
		before := 0
		if name < p.cfg.Name {
			before = 1
		}
		all.n, all.rank = all.n+1, all.rank+before
		// One that is stranded sends nothing, and waits for coldHoldoffTime once it reaches endpoints again.
		if !p.strandedHolders[name] {
			reaching.n, reaching.rank = reaching.n+1, reaching.rank+before
		}
	}
	p.counted.sharers = sharers{all: all, reaching: reaching}
}
