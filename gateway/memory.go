package gateway

import (
	"time"

	"arbutusreel/capacity"
	"arbutusreel/routes"
)

// othersAt returns the requests that the other gateways of the region have outstanding at an endpoint.
func (p *placer) othersAt(peers *endpointLoad) capacity.OtherRequests {
	return capacity.OtherRequests{Requests: peers.outstanding.Requests, Gateways: p.otherGateways}
}

// unseenShare returns the share of the endpoints' memory that is left to gateways whose reports have not arrived yet.
func (p *placer) unseenShare(now time.Time) float64 {
	return capacity.UnseenShare(now.Sub(p.startedAt), p.otherGateways, len(p.peers.gateways))
}

// countMemory adds what w shares with running requests at a candidate, and what gateways hold there whose reports have
// not arrived yet. The latter does not keep a gateway from its first request at an endpoint, which may be larger than an
// equal share.
func (p *placer) countMemory(now time.Time, c *capacity.Candidate, s *endpointState, w capacity.Work, peers *endpointLoad, unseen float64) {
	if !p.cfg.Pressure {
		return
	}
	c.Strict = true
	c.SharedTokens = s.held.SharedTokens(now, w, p.othersAt(peers))
	if unseen > 0 && s.held.Tokens() > 0 {
		c.Outstanding.HeldTokens += int64(unseen * float64(c.Memory))
	}
}

// hold counts the memory that a request holds at an endpoint.
func (p *placer) hold(now time.Time, s *endpointState, d decision, w capacity.Work) capacity.Holding {
	var h capacity.Holding
	if p.cfg.Pressure {
		h = s.held.Begin(now, w, p.othersAt(p.peers.sum(d.endpoint.ID)))
	} else {
		h = s.held.BeginPart(d.uncachedTokens + w.OutputTokens)
	}
	s.outstanding.HeldTokens = s.held.Tokens()
	return h
}

// release removes the memory that a request held.
func (s *endpointState) release(h capacity.Holding) {
	s.held.End(h)
	s.outstanding.HeldTokens = s.held.Tokens()
}

// recordGrowth counts the tokens of an event of the answer, which hold more memory than expected once the answer is longer
// than expected. It must be called from one goroutine. The attempt is nil for a forwarded request.
func (a *attempt) recordGrowth(service *routes.Service) {
	if a == nil || service.Engine == nil || !a.placer.cfg.Pressure {
		return
	}
	a.generated += int64(service.Engine.EventTokens)
	if !a.holding.Outgrown(a.generated) {
		return
	}
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(&a.endpoint)
	s.held.Grow(&a.holding, a.generated)
	s.outstanding.HeldTokens = s.held.Tokens()
	p.markChanged(a.endpoint.ID)
}

// keepHeld drops all loads of a gateway except the memory that its requests hold.
func (p *peerLoads) keepHeld(now time.Time, peer *peerLoad) {
	peer.silent = true
	for i := range peer.loads {
		if l := &peer.loads[i]; l.reported {
			p.set(now, peer, i, &endpointLoad{outstanding: capacity.Outstanding{HeldTokens: l.load.outstanding.HeldTokens}})
		}
	}
}
