package gateway

import (
	"context"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/clock"
	"arbutusreel/fleet"
	"arbutusreel/retry"
)

const (
	// partnerCheckPeriod is the interval at which the partners and the number of idle connections to each are updated.
	partnerCheckPeriod = 500 * time.Millisecond
	// forwardWindow is the time over which forwards are counted to choose the number of idle connections.
	forwardWindow = time.Second
	// minWarmConns and maxWarmConns bound the number of idle connections to one partner.
	minWarmConns = 2
	maxWarmConns = 8
)

// partner is the gateway of another region to which requests are forwarded while it can be reached, and the number of
// idle connections to keep to it. A connection to another region takes a round trip to open, as long as the forwarded
// request itself, and with many gateways on both sides a random choice would find no idle connection.
type partner struct {
	gateway fleet.Gateway
	conns   int
}

// partners returns the partner in each other region.
func (p *placer) partners(now time.Time, v *view) []partner {
	p.mu.Lock()
	defer p.mu.Unlock()
	reachable := map[string][]fleet.Gateway{}
	for _, g := range v.gateways {
		if g.Region != p.cfg.Region && !g.Stranded && p.gatewayBreakers.State(now, g.Name) == retry.Closed &&
			p.regionBreakers.State(now, g.Region) == retry.Closed {
			reachable[g.Region] = append(reachable[g.Region], g)
		}
	}
	var all []partner
	for region, gateways := range reachable {
		if g, ok := fleet.Partner(p.cfg.Name, fleet.Accepting(gateways)); ok {
			all = append(all, partner{gateway: g, conns: p.warmConns(now, region)})
		}
	}
	return all
}

// warmConns returns the number of idle connections to keep to the partner in a region: half of the forwards in the last
// second, as opening one takes a fraction of that time.
func (p *placer) warmConns(now time.Time, region string) int {
	recent := 0
	if w := p.forwards[region]; w != nil {
		recent = w.Count(now)
	}
	return min(minWarmConns+recent/2, maxWarmConns)
}

// countForward counts a request forwarded to a region.
func (p *placer) countForward(now time.Time, region string) {
	if p.forwards[region] == nil {
		p.forwards[region] = capacity.NewWindow(forwardWindow)
	}
	p.forwards[region].Add(now)
}

// keepPartnersWarm keeps idle connections to the partners in other regions until ctx ends.
func (g *Gateway) keepPartnersWarm(ctx context.Context) {
	for clock.Sleep(ctx, partnerCheckPeriod) {
		conns := map[string]int{}
		if g.Ready() {
			for _, p := range g.placer.partners(time.Now(), g.view.Load()) {
				conns[p.gateway.ForwardAddress] = p.conns
			}
		}
		g.peers.KeepWarm(conns)
	}
}
