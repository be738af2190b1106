package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"arbutusreel/capacity"
)

// fork returns a copy of the placer whose decisions leave this one unchanged; p.mu is locked. The copy shares only what no decision
// changes: what is recorded when a request is sent, answered or reported.
func (p *placer) fork(now time.Time, source rand.Source) *placer {
	f := *p
	f.mu, f.rng = &sync.Mutex{}, rand.New(source)
	f.states = make(map[string]*endpointState, len(p.states))
	for id, s := range p.states {
		f.states[id] = s.fork()
	}
	if now.Sub(p.sweptAt) >= sweepPeriod {
		// The loads of many gateways are copied only if the decision would remove some.
		f.peers = p.peers.clone()
	}
	f.tracked, f.departures = map[string]*trackedEndpoints{}, p.departures.Clone()
	f.speeds, f.lengths, f.demands, f.plainDemands = maps.Clone(p.speeds), maps.Clone(p.lengths), maps.Clone(p.demands), maps.Clone(p.plainDemands)
	f.sheds, f.longestPatience = maps.Clone(p.sheds), maps.Clone(p.longestPatience)
	f.changedEndpoints, f.changedLimits = maps.Clone(p.changedEndpoints), maps.Clone(p.changedLimits)
	f.shareHolders, f.strandedHolders = maps.Clone(p.shareHolders), maps.Clone(p.strandedHolders)
	f.endpointBreakers, f.gatewayBreakers, f.regionBreakers = p.endpointBreakers.Clone(source), p.gatewayBreakers.Clone(source), p.regionBreakers.Clone(source)
	f.fairness = p.fairness.Clone()
	f.forwards = make(map[string]*capacity.Window, len(p.forwards))
	for region, w := range p.forwards {
		f.forwards[region] = w.Clone()
	}
	f.sentToRegion = make(map[string][]sentTokens, len(p.sentToRegion))
	for region, sent := range p.sentToRegion {
		f.sentToRegion[region] = slices.Clone(sent)
	}
	f.returns = make(map[string]*returns, len(p.returns))
	for service, r := range p.returns {
		copied := *r
		f.returns[service] = &copied
	}
	f.newDepartures = slices.Clone(p.newDepartures)
	f.loadsChanged = make(chan struct{}, 1)
	f.candidates, f.endpoints, f.prompt = nil, nil, capacity.PromptHolders{}
	// The uses of parts are too many to copy, and read-only holders keep them unchanged.
	f.holders, f.reportPace, f.caches = p.holders.ReadOnly(), maps.Clone(p.reportPace), maps.Clone(p.caches)
	f.reach = p.reach.fork()
	return &f
}

// fork returns a copy that shares the held memory, the cached parts and the time of the last piece, which decisions only read.
func (s *endpointState) fork() *endpointState {
	f := *s
	f.coldWindow = s.coldWindow.Clone()
	f.limit.sent = slices.Clone(s.limit.sent)
	f.brittle.rejections.sent, f.brittle.risked.sent = slices.Clone(s.brittle.rejections.sent), slices.Clone(s.brittle.risked.sent)
	return &f
}

// fork returns a copy that has nothing checked.
func (r *reach) fork() *reach {
	return &reach{
		failed: maps.Clone(r.failed), unreachable: r.unreachable, stranded: r.stranded, unreachableAt: r.unreachableAt, regainedAt: r.regainedAt,
		doubted: make(chan struct{}, 1), waiting: maps.Clone(r.waiting),
	}
}

// clone returns a copy of the loads.
func (p *peerLoads) clone() *peerLoads {
	c := newPeerLoads()
	c.positions, c.free, c.generation = maps.Clone(p.positions), slices.Clone(p.free), p.generation
	for _, sum := range p.sums {
		if sum != nil {
			copied := *sum
			sum = &copied
		}
		c.sums = append(c.sums, sum)
	}
	for name, peer := range p.gateways {
		copied := *peer
		copied.loads = slices.Clone(peer.loads)
		c.gateways[name] = &copied
	}
	return c
}
