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
	// gatewayLease is how long a gateway is told to callers after its last sign of life: six missed signs.
	gatewayLease = 3 * time.Second
	// fleetPeriod is how often changes are looked for; what a caller waits for passes on within it.
	fleetPeriod = 50 * time.Millisecond
	// fleetSignOfLife is how often a stream without changes says that its sender is alive.
	fleetSignOfLife = 500 * time.Millisecond
	// fleetSilence is the silence after which a stream is given up: three signs of life.
	fleetSilence = 1500 * time.Millisecond
	// renewalPeriod is how often heartbeats that said nothing new are told to the other control daemons.
	renewalPeriod = 2 * time.Second
	// leaderSilence is the age of the word of a leader after which this daemon no longer counts as current.
	leaderSilence = 1200 * time.Millisecond
	// roomAge is the age after which what a region has left to give is no longer told.
	roomAge = 3 * time.Second
)

// regionRoom is what a gateway told of its region.
type regionRoom struct {
	room  []*wiregen.ServiceRoom
	heard time.Time
	own   bool
}

// fleetState is what this daemon knows of endpoints and gateways; it is safe for concurrent use.
type fleetState struct {
	now func() time.Time

	mu        sync.Mutex
	endpoints *fleet.Endpoints
	gateways  *fleet.Gateways
	rooms     map[string]regionRoom
	// own holds the endpoints and gateways that this daemon heard of itself.
	ownEndpoints map[string]bool
	ownGateways  map[string]bool
}

func newFleetState(now func() time.Time) *fleetState {
	return &fleetState{
		now: now, endpoints: fleet.NewEndpoints(), gateways: fleet.NewGateways(gatewayLease), rooms: map[string]regionRoom{},
		ownEndpoints: map[string]bool{}, ownGateways: map[string]bool{},
	}
}

// Announce takes the heartbeat of an endpoint.
func (c *Control) Announce(e fleet.Endpoint) {
	c.fleet.mu.Lock()
	old, known := c.fleet.endpoints.Get(e.ID)
	taken := c.fleet.endpoints.Announce(e)
	if taken {
		c.fleet.ownEndpoints[e.ID] = true
	}
	c.fleet.mu.Unlock()
	if !taken {
		c.log.Info().Str("endpoint", e.ID).Int64("sequence", e.Sequence).Int64("born", e.Born).Str("address", e.Address).Msg("oldHeartbeatDropped")
		return
	}
	if !known || old.State != e.State || old.Born != e.Born {
		c.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("address", e.Address).Str("domain", e.FailureDomain).
			Str("state", e.State.String()).Int64("sequence", e.Sequence).Dur("coldFor", max(e.ColdUntil.Sub(e.Heard), 0)).Msg("endpointChanged")
	}
}

// Depart takes the farewell of an endpoint; a born of zero means the incarnation that is known.
func (c *Control) Depart(id string, born int64) {
	c.fleet.mu.Lock()
	departed := c.fleet.endpoints.Depart(c.now(), id, born)
	if departed {
		c.fleet.ownEndpoints[id] = true
	}
	c.fleet.mu.Unlock()
	c.log.Info().Str("endpoint", id).Int64("born", born).Bool("known", departed).Msg("endpointLeft")
}

// Gateways returns the gateways that are in touch with a control daemon.
func (c *Control) Gateways() []fleet.Gateway {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.gateways.Live()
}

// Document returns the newest routing document that this daemon knows of, which another one may have replaced.
func (c *Control) Document() configuration.Document {
	if c.quorum == nil {
		return configuration.Document{}
	}
	return c.quorum.Orders().Document()
}

// Current reports whether this daemon has heard of the quorum's leader lately.
func (c *Control) Current() bool {
	if c.quorum == nil {
		return false
	}
	status := c.quorum.Status()
	now := c.now()
	if status.Leads {
		_, _, ok := c.quorum.Lease(now)
		return ok
	}
	return status.Leader.Name != "" && now.Sub(status.Heard) < leaderSilence
}

// runFleet expires what fell silent, keeps streams to the other control daemons and keeps this one a member.
func (c *Control) runFleet(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	sharing := map[string]context.CancelFunc{}
	wg.Go(func() { c.keepMember(ctx) })
	wg.Go(func() { c.replaceSilent(ctx) })
	for clock.Sleep(ctx, fleetSignOfLife) {
		now := c.now()
		c.fleet.mu.Lock()
		c.fleet.endpoints.Expire(now)
		c.fleet.gateways.Expire(now)
		c.fleet.mu.Unlock()
		others := map[string]bool{}
		for _, m := range c.quorum.Status().Members {
			if m.ID.Name == c.cfg.Name {
				continue
			}
			others[m.Address] = true
			if sharing[m.Address] == nil {
				shareCtx, cancel := context.WithCancel(ctx)
				sharing[m.Address] = cancel
				wg.Go(func() { c.shareWith(shareCtx, m.Address) })
			}
		}
		for address, cancel := range sharing {
			if !others[address] {
				cancel()
				delete(sharing, address)
			}
		}
	}
	for _, cancel := range sharing {
		cancel()
	}
}

// controlAddresses returns the peer addresses of the quorum's members, this one included.
func (c *Control) controlAddresses() []string {
	var all []string
	for _, m := range c.quorum.Status().Members {
		all = append(all, m.Address)
	}
	return all
}
