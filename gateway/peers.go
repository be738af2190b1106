package gateway

import (
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

const (
	// peerLoadTTL is the age after which the load reported by another gateway is no longer counted. A gateway that has any
	// reports it at least once in wholeReportPeriod, so that one without reports has ended or is unreachable.
	peerLoadTTL = 3 * time.Second
	// unlistedPeerTTL replaces peerLoadTTL for a gateway that the control daemons do not list: it has ended or just started.
	unlistedPeerTTL = 500 * time.Millisecond
	// silentPeerTTL is the age after which the memory held by the requests of a listed gateway is no longer counted. It is
	// longer than requests run. Without a bound, a gateway whose last report was lost before it became idle would take up
	// memory until its next request.
	silentPeerTTL = 30 * time.Second
)

// endpointLoad is the load that one gateway reported for an endpoint.
type endpointLoad struct {
	outstanding capacity.Outstanding
	// recent holds the prompt tokens that it sent recently.
	recent capacity.RecentTokens
	// outcomes holds the recent results of its requests, and pace their times.
	outcomes capacity.Outcomes
	pace     capacity.Pace
	// decode holds the pace between the events of its streams.
	decode capacity.DecodePace
}

// plus returns the sum of two loads.
func (l endpointLoad) plus(now time.Time, other endpointLoad) endpointLoad {
	return endpointLoad{
		outstanding: l.outstanding.Plus(other.outstanding),
		recent:      capacity.NewRecentTokens(now, l.recent.Tokens(now)+other.recent.Tokens(now)),
		outcomes:    l.outcomes.Plus(now, other.outcomes),
		pace:        l.pace.Plus(now, other.pace),
		decode:      l.decode.Plus(now, other.decode),
	}
}

// minus returns the difference of two loads, of which the other is a part of this one.
func (l endpointLoad) minus(now time.Time, other endpointLoad) endpointLoad {
	return endpointLoad{
		outstanding: l.outstanding.Minus(other.outstanding),
		recent:      capacity.NewRecentTokens(now, max(l.recent.Tokens(now)-other.recent.Tokens(now), 0)),
		outcomes:    l.outcomes.Minus(now, other.outcomes),
		pace:        l.pace.Minus(now, other.pace),
		decode:      l.decode.Minus(now, other.decode),
	}
}

// peerLoad is the load reported by another gateway of the region.
type peerLoad struct {
	born       int64
	sequence   int64
	receivedAt time.Time
	// silent reports that only the memory is counted that its last reports named.
	silent bool
	loads  map[string]endpointLoad
}

// peerLoads holds the loads reported by the other gateways of the region, and their sums by endpoint.
type peerLoads struct {
	gateways map[string]*peerLoad
	sums     map[string]endpointLoad
}

func newPeerLoads() *peerLoads {
	return &peerLoads{gateways: map[string]*peerLoad{}, sums: map[string]endpointLoad{}}
}

// sum returns the load of the other gateways at an endpoint.
func (p *peerLoads) sum(endpoint string) endpointLoad { return p.sums[endpoint] }

// update stores a report and reports whether it is newer than the last one of its gateway. Reports may arrive by several
// ways and out of order; a report that an older one overtakes is completed by the next whole report.
func (p *peerLoads) update(now time.Time, m *wiregen.OutstandingReport) bool {
	peer := p.gateways[m.GetGateway()]
	if peer != nil && (m.GetBorn() < peer.born || m.GetBorn() == peer.born && m.GetSequence() != 0 && m.GetSequence() <= peer.sequence) {
		return false
	}
	if peer == nil || m.GetWhole() || peer.born != m.GetBorn() {
		p.remove(now, m.GetGateway())
		peer = &peerLoad{born: m.GetBorn(), loads: map[string]endpointLoad{}}
		p.gateways[m.GetGateway()] = peer
	}
	peer.sequence, peer.receivedAt, peer.silent = m.GetSequence(), now, false
	for _, o := range m.GetOutstanding() {
		p.set(now, peer, o.GetEndpoint(), decodeEndpointLoad(now, o))
	}
	return true
}

func decodeEndpointLoad(now time.Time, o *wiregen.EndpointOutstanding) endpointLoad {
	load := endpointLoad{
		outstanding: capacity.Outstanding{Requests: int(o.GetRequests()), HeldTokens: o.GetHeldTokens()},
		recent:      capacity.NewRecentTokens(now, o.GetRecentTokens()),
		outcomes:    capacity.Outcomes{Ended: o.GetRecentEnded(), Failed: o.GetRecentFailed(), At: now},
		pace:        capacity.Pace{Ratios: float64(o.GetPaceRatios()), Count: float64(o.GetPaceCount()), At: now},
		decode:      decodeDecodePace(now, o),
	}
	copy(load.outstanding.Waiting[:], o.GetWaiting())
	copy(load.outstanding.PromptTokens[:], o.GetPromptTokens())
	return load
}

// set replaces the load of a gateway at an endpoint.
func (p *peerLoads) set(now time.Time, peer *peerLoad, endpoint string, load endpointLoad) {
	p.sums[endpoint] = p.sums[endpoint].minus(now, peer.loads[endpoint]).plus(now, load)
	peer.loads[endpoint] = load
}

// remove drops the load of a gateway.
func (p *peerLoads) remove(now time.Time, name string) {
	peer := p.gateways[name]
	if peer == nil {
		return
	}
	for endpoint, load := range peer.loads {
		p.sums[endpoint] = p.sums[endpoint].minus(now, load)
	}
	delete(p.gateways, name)
}

// expire drops the gateways that have not reported for peerLoadTTL, or for unlistedPeerTTL if they are not among the
// listed ones, and the sums of endpoints that no gateway has reported. Of silent gateways that are still listed the memory
// counts that their requests held last: they or this one may be cut off.
func (p *peerLoads) expire(now time.Time, listed []fleet.Gateway) {
	live := map[string]bool{}
	for _, g := range listed {
		live[g.Name] = true
	}
	reported := map[string]bool{}
	for name, peer := range p.gateways {
		silence := now.Sub(peer.receivedAt)
		switch {
		case silence > silentPeerTTL || !live[name] && silence > unlistedPeerTTL:
			p.remove(now, name)
			continue
		case silence > peerLoadTTL && !peer.silent:
			p.keepHeld(now, peer)
		}
		for endpoint := range peer.loads {
			reported[endpoint] = true
		}
	}
	for endpoint := range p.sums {
		if !reported[endpoint] {
			delete(p.sums, endpoint)
		}
	}
}
