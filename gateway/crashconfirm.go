package gateway

import (
	"context"
	"time"

	"arbutusreel/clock"
	"arbutusreel/exchange"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

const (
	// reachTimeout bounds the question to other gateways of the region whether they reach an endpoint: its own attempts to connect
	// and a round trip.
	reachTimeout = 2*endpointConnectTimeout + 100*time.Millisecond
	// maxReachProbes is the number of other endpoints that are tried to find out whether this gateway reaches any.
	maxReachProbes = 3
	// heartbeatWait is how long after a break an endpoint that goes on has sent a heartbeat: two of their usual intervals.
	heartbeatWait = 2500 * time.Millisecond
	// heartbeatQueryTimeout bounds the question to the control daemons for an endpoint's heartbeats.
	heartbeatQueryTimeout = time.Second
)

// confirmCrash reports whether an endpoint that refuses connections since the given time has ended. A gateway that is cut off
// from endpoints is refused connections, too, so that another gateway of the region decides, or else whether other endpoints are
// reached from here, or else the endpoint's heartbeats.
func (g *Gateway) confirmCrash(ctx context.Context, e fleet.Endpoint, since time.Time) bool {
	reached, ended := g.askProbe(ctx, e)
	switch {
	case reached:
		return false
	case ended || g.reachesAnother(ctx, e.ID):
		return true
	default:
		return g.isSilent(ctx, e, since)
	}
}

// askProbe asks other gateways of the region whether they reach an endpoint, and whether it has ended.
func (g *Gateway) askProbe(ctx context.Context, e fleet.Endpoint) (reached, ended bool) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	clients := g.originPeers.regionClients(g.cfg.Region)
	answers := make(chan *wiregen.EndpointProbe, len(clients))
	for _, client := range clients {
		go func() {
			a, err := client.ProbeEndpoint(ctx, &wiregen.EndpointQuery{Endpoint: e.ID, Born: e.Born})
			if err != nil {
				a = nil
			}
			answers <- a
		}()
	}
	for range clients {
		a := <-answers
		reached, ended = reached || a.GetReached(), ended || a.GetEnded()
	}
	return reached, ended
}

// ProbeEndpoint returns to another gateway of the region whether this one can connect to an endpoint.
func (g *Gateway) ProbeEndpoint(ctx context.Context, m *wiregen.EndpointQuery) (*wiregen.EndpointProbe, error) {
	e, ok := g.view.Load().find(m.GetEndpoint())
	if !ok || e.Born < m.GetBorn() {
		return &wiregen.EndpointProbe{}, nil
	}
	if e.Born > m.GetBorn() {
		return &wiregen.EndpointProbe{Ended: true}, nil
	}
	connected, refused := exchange.Probe(ctx, e.Address, endpointConnectTimeout)
	return &wiregen.EndpointProbe{Reached: connected, Ended: refused && g.reachesAnother(ctx, e.ID)}, nil
}

// find returns the endpoint of this region with an ID if it is listed as ready.
func (v *view) find(id string) (fleet.Endpoint, bool) {
	for _, endpoints := range v.endpoints {
		for _, e := range endpoints {
			if e.ID == id {
				return e, true
			}
		}
	}
	return fleet.Endpoint{}, false
}

// reachesAnother reports whether this gateway can connect to another endpoint of the region than the one with the ID.
func (g *Gateway) reachesAnother(ctx context.Context, except string) bool {
	return connectsToAny(ctx, sample(g.placer, g.view.Load().listed(except), maxReachProbes))
}

// connectsToAny reports whether a connection to one of the endpoints succeeds. It tries all at once.
func connectsToAny(ctx context.Context, endpoints []fleet.Endpoint) bool {
	results := make(chan bool, len(endpoints))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, e := range endpoints {
		go func() {
			connected, _ := exchange.Probe(ctx, e.Address, endpointConnectTimeout)
			results <- connected
		}()
	}
	for range endpoints {
		if <-results {
			return true
		}
	}
	return false
}

// sample returns at most n of the elements, drawn at random by the placer's source. It changes their order.
func sample[T any](p *placer, all []T, n int) []T {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rng.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all[:min(n, len(all))]
}

// isSilent reports whether an endpoint has sent no heartbeat since a time, once it should have, or has started anew. It returns
// false if no control daemon knows.
func (g *Gateway) isSilent(ctx context.Context, e fleet.Endpoint, since time.Time) bool {
	if !clock.Sleep(ctx, heartbeatWait-time.Since(since)) {
		return false
	}
	if listed, ok := g.view.Load().find(e.ID); ok && listed.Born > e.Born {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatQueryTimeout)
	defer cancel()
	addresses := g.controlAddresses()
	answers := make(chan *wiregen.HeartbeatAge, len(addresses))
	for _, address := range addresses {
		go func() { answers <- g.askLastHeartbeat(ctx, address, e) }()
	}
	known := false
	for range addresses {
		a := <-answers
		if !a.GetKnown() {
			continue
		}
		known = true
		if time.Duration(a.GetSilentMillis())*time.Millisecond < time.Since(since) {
			return false
		}
	}
	return known
}

// askLastHeartbeat requests the age of an endpoint's last heartbeat from a control daemon. It returns nil on failure.
func (g *Gateway) askLastHeartbeat(ctx context.Context, address string, e fleet.Endpoint) *wiregen.HeartbeatAge {
	conn, err := g.cfg.Keys.Dial(address, maxUpdateBytes)
	if err != nil {
		return nil
	}
	defer conn.Close()
	a, err := wiregen.NewFleetClient(conn).LastHeartbeat(ctx, &wiregen.EndpointQuery{Endpoint: e.ID, Born: e.Born})
	if err != nil {
		return nil
	}
	return a
}
