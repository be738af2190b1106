package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/clock"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

const (
	// doubtfulFailures is the number of endpoints that can't be connected to, with no connection in between, from which on it is
	// doubtful whether this gateway reaches any.
	doubtfulFailures = 2
	// silenceTime is how long nothing may arrive from any endpoint while requests wait before the same is doubtful.
	silenceTime = 600 * time.Millisecond
	// doubtPeriod is the least interval between two checks of a gateway that reaches endpoints, and strandedProbePeriod that of the
	// probes of one that reaches none.
	doubtPeriod         = 500 * time.Millisecond
	strandedProbePeriod = time.Second
	// maxUnreachableProbes is the number of endpoints that are tried before none counts as reached.
	maxUnreachableProbes = 64
	// maxReachPeers is the number of other gateways that are asked at once whether they reach an endpoint.
	maxReachPeers = 4
	// strandedProbes is the number of endpoints that a gateway which reaches none probes at once.
	strandedProbes = 2
	// returnTime is how long after the first connection a gateway still hands a decreasing share of its requests to others.
	returnTime = 2 * time.Second
	// strandedRetryAfter is the retry delay given to callers whose requests can be served by no other gateway.
	strandedRetryAfter = strandedProbePeriod
)

// reach is what a gateway knows of its own links to the endpoints of its region, as opposed to the endpoints' health. The placer's
// lock protects it, but for receivedNanos.
type reach struct {
	// failed holds the endpoints that could not be connected to since the last connection.
	failed map[string]bool
	// unreachable reports that no endpoint of the region can be connected to from here, and stranded that this is so while other gateways
	// of the region reach them. unreachableAt is when the former last began, and regainedAt when the latter last ended.
	unreachable, stranded     bool
	unreachableAt, regainedAt time.Time
	// doubted receives a value when the links are to be checked.
	doubted chan struct{}
	// waiting holds the attempts that may be sent elsewhere if their endpoint is out of reach.
	waiting map[*attempt]context.CancelCauseFunc
	// receivedNanos is when anything last arrived from any endpoint.
	receivedNanos atomic.Int64
}

func newReach() *reach {
	return &reach{failed: map[string]bool{}, doubted: make(chan struct{}, 1), waiting: map[*attempt]context.CancelCauseFunc{}}
}

// handsOver reports whether a request is handed to another gateway of the region: all are while no endpoint is reached, and fewer
// and fewer afterwards.
func (r *reach) handsOver(now time.Time, rng *rand.Rand) bool {
	if r.stranded {
		return true
	}
	sinceReturn := now.Sub(r.regainedAt)
	return sinceReturn < returnTime && rng.Float64() > float64(sinceReturn)/float64(returnTime)
}

// recordUnconnected records a failed attempt to connect to an endpoint, one of listed ones in the region.
func (r *reach) recordUnconnected(id string, listed int) {
	r.failed[id] = true
	if r.doubtful(listed) && !r.unreachable {
		signal(r.doubted)
	}
}

// doubtful reports whether this gateway may reach no endpoint.
func (r *reach) doubtful(listed int) bool {
	return len(r.failed) > 0 && len(r.failed) >= min(doubtfulFailures, max(listed, 1))
}

// recordReach records how an attempt ended as far as the links are concerned, and returns how it ended for the endpoint: while none is
// reached, the links may be at fault for a failure.
func (p *placer) recordReach(a *attempt, how ending) ending {
	delete(p.reach.waiting, a)
	switch how {
	case unreached, unanswered:
		p.reach.recordUnconnected(a.endpoint.ID, p.holdersView.listedCount())
	case failed:
		if p.reach.unreachable {
			return abandoned
		}
	default:
	}
	return how
}

// recordConnected records a new connection to an endpoint for which the attempt began at the given time. One from before the loss of
// all links says nothing of them.
func (p *placer) recordConnected(now, began time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reach.unreachable && began.Before(p.reach.unreachableAt) {
		return
	}
	clear(p.reach.failed)
	p.reach.unreachable = false
	if !p.reach.stranded {
		return
	}
	// The failures before were those of the links.
	p.reach.stranded, p.reach.regainedAt, p.firstDecisionAt = false, now, now
	for id, s := range p.states {
		s.connectFailedAt, s.unansweredAt = time.Time{}, time.Time{}
		p.endpointBreakers.Forget(id)
	}
}

// recordUnreachable records that no endpoint of the region is reached.
func (p *placer) recordUnreachable(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reach.unreachable, p.reach.unreachableAt = true, now
}

// recordStranded records that no endpoint of the region is reached while other gateways reach them, and reports whether that is
// new. It resets the failures of endpoints that this gateway reports to others.
func (p *placer) recordStranded() (began bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reach.stranded || !p.reach.unreachable {
		return false
	}
	p.reach.stranded = true
	for id, s := range p.states {
		s.outcomes = capacity.Outcomes{}
		p.markChanged(id)
	}
	return true
}

// isUnreachable reports whether no endpoint of the region is reached.
func (p *placer) isUnreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.unreachable
}

// isStranded reports whether no endpoint of the region is reached while other gateways reach them.
func (p *placer) isStranded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.stranded
}

// watch has an attempt be cancelled if its endpoint turns out to be out of reach.
func (p *placer) watch(a *attempt, cancel context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reach.waiting[a] = cancel
}

// recordReceived records the time of the last bytes from any endpoint.
func (r *reach) recordReceived(now time.Time) { r.receivedNanos.Store(now.UnixNano()) }

// recordReceived records the time of the last piece of an answer from the attempt's endpoint. The head of an answer does not count: a
// rejection may come from a later incarnation.
func (a *attempt) recordReceived(now time.Time) {
	a.endpointReceivedNanos.Store(now.UnixNano())
	a.placer.reach.recordReceived(now)
}

// silentFor returns for how long nothing has arrived from any endpoint while at least one attempt was waiting; zero if none is.
func (p *placer) silentFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := now
	for a := range p.reach.waiting {
		if a.sent.Before(oldest) {
			oldest = a.sent
		}
	}
	return now.Sub(laterOf(oldest, time.Unix(0, p.reach.receivedNanos.Load())))
}

// checkSilence has the links checked if nothing arrives from endpoints although requests wait.
func (p *placer) checkSilence(now time.Time) {
	if p.silentFor(now) > silenceTime {
		signal(p.reach.doubted)
	}
}

// cancelSilent cancels the attempts that wait for the first piece of their answer if nothing arrives from any endpoint, so that they
// are sent elsewhere. An answer that has begun goes on once the link carries it again, and a dead connection is noticed by the kernel.
func (p *placer) cancelSilent(now time.Time) {
	if p.silentFor(now) < silenceTime {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, cancel := range p.reach.waiting {
		if a.firstAt.IsZero() && now.Sub(a.sent) > silenceTime {
			cancel(&StrandedError{})
		}
	}
}

// keepReach finds out whether this gateway reaches the endpoints of its region until ctx ends. It connects to endpoints only
// while that is doubtful.
func (g *Gateway) keepReach(ctx context.Context) {
	for {
		select {
		case <-g.placer.reach.doubted:
		case <-ctx.Done():
			return
		}
		began := time.Now()
		switch connected, listed := g.reachesAny(ctx); {
		case connected:
			g.placer.recordConnected(time.Now(), began)
			clock.Sleep(ctx, doubtPeriod)
		case listed && ctx.Err() == nil:
			g.awaitReach(ctx)
		}
	}
}

// awaitReach probes endpoints until one is reached again or ctx ends. Until another gateway of the region reaches one, the endpoints
// may be at fault.
func (g *Gateway) awaitReach(ctx context.Context) {
	began := time.Now()
	g.placer.recordUnreachable(began)
	g.log.Warn().Msg("no endpoint is reached")
	for g.placer.isUnreachable() {
		g.placer.cancelSilent(time.Now())
		if !g.placer.isStranded() && g.othersReachAny(ctx) && g.placer.recordStranded() {
			g.log.Warn().Msg("requests are handed to gateways that reach endpoints")
		}
		if !clock.Sleep(ctx, strandedProbePeriod) {
			return
		}
		probed := time.Now()
		if connected, _ := g.probeEndpoints(ctx, strandedProbes); connected {
			g.placer.recordConnected(time.Now(), probed)
		}
	}
	g.log.Info().Dur("after", time.Since(began)).Msg("endpoints are reached again")
}

// othersReachAny reports whether another gateway of the region reaches an endpoint. It asks some gateways, drawn anew each time, as
// many of them may be cut off, too.
func (g *Gateway) othersReachAny(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	endpoints := sample(g.placer, g.view.Load().listed(""), 1)
	peers := fleet.Accepting(g.view.Load().peers(g.cfg.Region, g.cfg.Name))
	if len(endpoints) == 0 {
		return false
	}
	peers = sample(g.placer, peers, maxReachPeers)
	answers := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() { answers <- g.askProbeAt(ctx, peer.LoadAddress, endpoints[0]) }()
	}
	for range peers {
		if <-answers {
			return true
		}
	}
	return false
}

// askProbeAt reports whether the gateway at an address reaches an endpoint.
func (g *Gateway) askProbeAt(ctx context.Context, address string, e fleet.Endpoint) bool {
	conn, err := g.cfg.Keys.Dial(address, maxUpdateBytes)
	if err != nil {
		return false
	}
	defer conn.Close()
	a, err := wiregen.NewOutstandingClient(conn).ProbeEndpoint(ctx, &wiregen.EndpointQuery{Endpoint: e.ID, Born: e.Born})
	return err == nil && a.GetReached()
}

// reachesAny reports whether an endpoint of the region can be connected to, and whether any is listed. Many may have ended at once, so
// that all are tried if the first ones fail.
func (g *Gateway) reachesAny(ctx context.Context) (connected, listed bool) {
	connected, listed = g.probeEndpoints(ctx, maxReachProbes)
	if !connected && listed {
		connected, _ = g.probeEndpoints(ctx, maxUnreachableProbes)
	}
	return connected, listed
}

// probeEndpoints tries to connect to some endpoints of the region, and reports whether one was reached and whether any is listed.
func (g *Gateway) probeEndpoints(ctx context.Context, n int) (connected, listed bool) {
	chosen := g.placer.probeTargets(g.view.Load().listed(""), n)
	return connectsToAny(ctx, chosen), len(chosen) > 0
}

// probeTargets returns at most n endpoints to be connected to, those that did not fail before if there are any.
func (p *placer) probeTargets(listed []fleet.Endpoint, n int) []fleet.Endpoint {
	drawn := sample(p, listed, len(listed))
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortStableFunc(drawn, func(a, b fleet.Endpoint) int {
		switch {
		case p.reach.failed[a.ID] == p.reach.failed[b.ID]:
			return 0
		case p.reach.failed[b.ID]:
			return -1
		default:
			return 1
		}
	})
	return drawn[:min(n, len(drawn))]
}

// listed returns the ready endpoints of the region except the one with an ID.
func (v *view) listed(except string) []fleet.Endpoint {
	var all []fleet.Endpoint
	for _, endpoints := range v.endpoints {
		for _, e := range endpoints {
			if e.ID != except {
				all = append(all, e)
			}
		}
	}
	return all
}

// reachingPeers returns the other gateways of the region that reach endpoints and may be tried.
func (p *placer) reachingPeers(now time.Time, v *view, tried map[string]bool) []fleet.Gateway {
	var peers []fleet.Gateway
	for _, g := range v.gateways {
		if g.Region == p.cfg.Region && g.Name != p.cfg.Name && !g.Stranded && !tried[g.Name] && p.gatewayBreakers.Allows(now, g.Name) {
			peers = append(peers, g)
		}
	}
	return fleet.Accepting(peers)
}
