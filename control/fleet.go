package control

import (
	"context"
	"sync"
	"time"

	"arbutusreel/clock"
	"arbutusreel/configuration"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

const (
	// gatewayLease is how long a gateway is listed to callers after its last heartbeat: six missed heartbeats.
	gatewayLease = 3 * time.Second
	// fleetPeriod is how often a stream checks for changes to send; it bounds the delay that a control daemon adds.
	fleetPeriod = 50 * time.Millisecond
	// fleetHeartbeat is how often a stream without changes sends a heartbeat.
	fleetHeartbeat = 500 * time.Millisecond
	// fleetSendTimeout is the time after which a blocked send ends the stream: three heartbeats.
	fleetSendTimeout = 1500 * time.Millisecond
	// renewalPeriod is how often endpoint heartbeats without a change are reported to the other control daemons.
	renewalPeriod = 2 * time.Second
	// gatewayRenewalPeriod is how often they are reported to gateways, which drop an endpoint after two minutes without any.
	gatewayRenewalPeriod = 30 * time.Second
	// leaderMaxAge is the time since the last contact with a leader, and since this daemon last knew what the leader had committed,
	// after which it no longer counts as current.
	leaderMaxAge = 1200 * time.Millisecond
	// staleTolerance is how long this daemon may be no longer current, as during an election, before its list of gateways
	// counts as interrupted. Together with leaderMaxAge it is shorter than a lease.
	staleTolerance = time.Second
	// capacityMaxAge is the age after which the reported free capacity of a region expires and is no longer sent.
	capacityMaxAge = 3 * time.Second
)

// regionCapacity is the free capacity of a region as reported by one of its gateways; local reports whether the
// gateway reported it to this daemon.
type regionCapacity struct {
	services   []*wiregen.ServiceRoom
	receivedAt time.Time
	local      bool
}

// fleetState holds the known endpoints, gateways and regional capacities; it is safe for concurrent use.
type fleetState struct {
	now func() time.Time

	mu         sync.Mutex
	endpoints  *fleet.Endpoints
	gateways   *fleet.Gateways
	capacities map[string]regionCapacity
	// runningSince is since when this daemon has run and been current without interruption, checkedAt when this was last
	// checked, and currentAt when the daemon was last found to be current.
	runningSince, checkedAt, currentAt time.Time
	// coverage is that of the lists of gateways so far.
	coverage fleet.Coverage
	// localEndpoints and localGateways hold the names of those that report to this daemon directly. A name is removed when
	// a newer report arrives from another control daemon.
	localEndpoints map[string]bool
	localGateways  map[string]bool
}

func newFleetState(now func() time.Time) *fleetState {
	return &fleetState{
		now: now, endpoints: fleet.NewEndpoints(), gateways: fleet.NewGateways(gatewayLease),
		capacities: map[string]regionCapacity{}, localEndpoints: map[string]bool{}, localGateways: map[string]bool{},
	}
}

// Announce updates an endpoint from its heartbeat; an outdated heartbeat is dropped.
func (c *Control) Announce(e fleet.Endpoint) {
	c.fleet.mu.Lock()
	old, known := c.fleet.endpoints.Get(e.ID)
	applied := c.fleet.endpoints.Announce(e)
	if applied {
		c.fleet.localEndpoints[e.ID] = true
	}
	c.fleet.mu.Unlock()
	if !applied {
		c.log.Info().Str("endpoint", e.ID).Int64("sequence", e.Sequence).Int64("born", e.Born).Str("address", e.Address).Msg("outdated heartbeat dropped")
		return
	}
	if !known || old.State != e.State || old.Born != e.Born {
		c.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("address", e.Address).Str("domain", e.FailureDomain).
			Str("state", e.State.String()).Int64("sequence", e.Sequence).Dur("coldFor", max(e.ColdUntil.Sub(e.LastSeen), 0)).Msg("endpoint state changed")
	}
}

// Gateways returns the gateways with a valid lease, whichever control daemon they are connected to, and those that are
// restarting, which are neither ready nor lingering nor closing. The list is complete while this daemon is current and has
// been for a lease without interruption, within which every gateway reports.
func (c *Control) Gateways() ([]fleet.Gateway, fleet.Coverage) {
	now, current := c.now(), c.Current()
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.list(now, current)
}

// list returns the gateways that are live or expected back, and the coverage of this list.
func (f *fleetState) list(now time.Time, current bool) ([]fleet.Gateway, fleet.Coverage) {
	all := append(f.gateways.Live(), f.gateways.Restarting(now)...)
	f.coverage = f.coverage.With(all, f.complete(now, current))
	return all, f.coverage
}

// complete reports whether no live gateway can be missing. A suspension of half a lease, or longer than staleTolerance
// without being current, is an interruption after which the reports of a lease are awaited.
func (f *fleetState) complete(now time.Time, current bool) bool {
	if now.Sub(f.checkedAt) > gatewayLease/2 || current && now.Sub(f.currentAt) > staleTolerance {
		f.runningSince = now
	}
	f.checkedAt = now
	if current {
		f.currentAt = now
	}
	return current && now.Sub(f.runningSince) >= gatewayLease
}

// Document returns the newest routing document known to this daemon; the quorum may have accepted a newer one.
func (c *Control) Document() configuration.Document {
	if c.quorum == nil {
		return configuration.Document{}
	}
	return c.quorum.Orders().Document()
}

// Current reports whether this daemon leads with a valid lease, or has had recent contact with the leader and what the leader has
// committed.
func (c *Control) Current() bool {
	if c.quorum == nil {
		return false
	}
	status := c.quorum.Status()
	now := c.now()
	if status.IsLeader {
		_, _, ok := c.quorum.Lease(now)
		return ok
	}
	return status.Leader.Name != "" && now.Sub(status.LastLeaderContact) < leaderMaxAge && now.Sub(status.CaughtUpAt) < leaderMaxAge
}

// runFleet expires endpoints and gateways, keeps a Share stream to each other control daemon, submits undecided departures
// and maintains this daemon's membership.
func (c *Control) runFleet(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	streams := map[string]context.CancelFunc{}
	wg.Go(func() { c.maintainMembership(ctx) })
	wg.Go(func() { c.replaceFailed(ctx) })
	wg.Go(func() { c.decideLater(ctx) })
	for clock.Sleep(ctx, fleetHeartbeat) {
		now, current := c.now(), c.Current()
		c.fleet.mu.Lock()
		c.fleet.endpoints.Expire(now)
		c.fleet.gateways.Expire(now)
		c.fleet.list(now, current)
		c.fleet.mu.Unlock()
		others := map[string]bool{}
		for _, m := range c.quorum.Status().Members {
			if m.ID.Name == c.cfg.Name {
				continue
			}
			others[m.Address] = true
			if streams[m.Address] == nil {
				shareCtx, cancel := context.WithCancel(ctx)
				streams[m.Address] = cancel
				wg.Go(func() { c.maintainShareStream(shareCtx, m.Address) })
			}
		}
		for address, cancel := range streams {
			if !others[address] {
				cancel()
				delete(streams, address)
			}
		}
	}
	for _, cancel := range streams {
		cancel()
	}
}

// controlAddresses returns the peer addresses of all members, including this one.
func (c *Control) controlAddresses() []string {
	var all []string
	for _, m := range c.quorum.Status().Members {
		all = append(all, m.Address)
	}
	return all
}
