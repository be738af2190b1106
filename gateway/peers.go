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

// add adds a load at now.
func (l *endpointLoad) add(now time.Time, other *endpointLoad) {
	l.outstanding = l.outstanding.Plus(other.outstanding)
	l.recent = capacity.NewRecentTokens(now, l.recent.Tokens(now)+other.recent.Tokens(now))
	l.outcomes = l.outcomes.Plus(now, other.outcomes)
	l.pace = l.pace.Plus(now, other.pace)
	l.decode = l.decode.Plus(now, other.decode)
}

// subtract subtracts a load that is a part of this one.
func (l *endpointLoad) subtract(now time.Time, other *endpointLoad) {
	l.outstanding = l.outstanding.Minus(other.outstanding)
	l.recent = capacity.NewRecentTokens(now, max(l.recent.Tokens(now)-other.recent.Tokens(now), 0))
	l.outcomes = l.outcomes.Minus(now, other.outcomes)
	l.pace = l.pace.Minus(now, other.pace)
	l.decode = l.decode.Minus(now, other.decode)
}

// endpointSum is the load that the other gateways reported for an endpoint.
type endpointSum struct {
	endpoint string
	load     endpointLoad
	// reporters is the number of gateways that reported the endpoint.
	reporters int
}

// reportedLoad is the load that a gateway reported for an endpoint, if it did.
type reportedLoad struct {
	load     endpointLoad
	reported bool
}

// peerLoad is the load reported by another gateway of the region.
type peerLoad struct {
	born       int64
	sequence   int64
	receivedAt time.Time
	// silent reports that only the memory is counted that its last reports named.
	silent bool
	// loads holds the loads by the position of the endpoint.
	loads []reportedLoad
}

// peerLoads holds the loads reported by the other gateways of the region, and their sums by endpoint. Each endpoint has a position in the
// slices: reports of many gateways then look up one small map that stays in the processor's cache.
type peerLoads struct {
	gateways  map[string]*peerLoad
	positions map[string]int
	// sums holds nil at the free positions.
	sums []*endpointSum
	free []int
	// unknown is the sum of an endpoint that no gateway has reported.
	unknown endpointLoad
	// generation changes with the set of endpoints that have sums.
	generation int
}

func newPeerLoads() *peerLoads {
	return &peerLoads{gateways: map[string]*peerLoad{}, positions: map[string]int{}}
}

// sum returns the load of the other gateways at an endpoint, which later reports change.
func (p *peerLoads) sum(endpoint string) *endpointLoad {
	if i, ok := p.positions[endpoint]; ok {
		return &p.sums[i].load
	}
	return &p.unknown
}

// update stores a report and reports whether it is newer than the last one of its gateway. Reports may arrive by several
// ways and out of order; a report that an older one overtakes is completed by the next whole report.
func (p *peerLoads) update(now time.Time, m *wiregen.OutstandingReport) bool {
	peer := p.gateways[m.GetGateway()]
	if peer != nil && (m.GetBorn() < peer.born || m.GetBorn() == peer.born && m.GetSequence() != 0 && m.GetSequence() <= peer.sequence) {
		return false
	}
	if peer == nil {
		peer = &peerLoad{}
		p.gateways[m.GetGateway()] = peer
	} else if m.GetWhole() || peer.born != m.GetBorn() {
		p.clear(now, peer)
	}
	peer.born, peer.sequence, peer.receivedAt, peer.silent = m.GetBorn(), m.GetSequence(), now, false
	for _, o := range m.GetOutstanding() {
		load := decodeEndpointLoad(now, o)
		p.set(now, peer, p.position(o.GetEndpoint()), &load)
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

// position returns the position of an endpoint.
func (p *peerLoads) position(endpoint string) int {
	if i, ok := p.positions[endpoint]; ok {
		return i
	}
	p.generation++
	s, i := &endpointSum{endpoint: endpoint}, len(p.sums)
	if n := len(p.free); n > 0 {
		i, p.free = p.free[n-1], p.free[:n-1]
		p.sums[i] = s
	} else {
		p.sums = append(p.sums, s)
	}
	p.positions[endpoint] = i
	return i
}

// set replaces the load of a gateway at the endpoint of a position.
func (p *peerLoads) set(now time.Time, peer *peerLoad, position int, load *endpointLoad) {
	if n := len(p.sums); position >= len(peer.loads) {
		peer.loads = append(peer.loads, make([]reportedLoad, n-len(peer.loads))...)
	}
	l, s := &peer.loads[position], p.sums[position]
	if l.reported {
		s.load.subtract(now, &l.load)
	} else {
		l.reported = true
		s.reporters++
	}
	s.load.add(now, load)
	l.load = *load
}

// clear drops the loads of a gateway.
func (p *peerLoads) clear(now time.Time, peer *peerLoad) {
	for i := range peer.loads {
		if l := &peer.loads[i]; l.reported {
			p.sums[i].load.subtract(now, &l.load)
			p.sums[i].reporters--
			l.reported = false
		}
	}
}

// remove drops a gateway and its load.
func (p *peerLoads) remove(now time.Time, name string) {
	if peer := p.gateways[name]; peer != nil {
		p.clear(now, peer)
		delete(p.gateways, name)
	}
}

// expire drops the gateways that have not reported for peerLoadTTL, or for unlistedPeerTTL if they are not among the
// listed ones, and the sums of endpoints that no gateway has reported. Of silent gateways that are still listed the memory
// counts that their requests held last: they or this one may be cut off.
func (p *peerLoads) expire(now time.Time, listed []fleet.Gateway) {
	live := map[string]bool{}
	for _, g := range listed {
		live[g.Name] = true
	}
	for name, peer := range p.gateways {
		silence := now.Sub(peer.receivedAt)
		switch {
		case silence > silentPeerTTL || !live[name] && silence > unlistedPeerTTL:
			p.remove(now, name)
		case silence > peerLoadTTL && !peer.silent:
			p.keepHeld(now, peer)
		}
	}
	for i, s := range p.sums {
		if s != nil && s.reporters == 0 {
			delete(p.positions, s.endpoint)
			p.sums[i], p.free = nil, append(p.free, i)
			p.generation++
		}
	}
}
