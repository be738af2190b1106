package control

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/clock"
	"arbutusreel/fleet"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// maintainShareStream sends the reports received directly by this daemon to another control daemon until ctx ends,
// and reconnects when the stream fails. Reports received from other control daemons are not forwarded, which rules
// out loops.
func (c *Control) maintainShareStream(ctx context.Context, address string) {
	reachable := true
	for ctx.Err() == nil {
		err := c.shareUpdates(ctx, address, func() {
			if !reachable {
				c.log.Info().Str("control", address).Msg("control daemon reachable")
			}
			reachable = true
		})
		if reachable && ctx.Err() == nil {
			c.log.Warn().Str("control", address).Err(err).Msg("control daemon unreachable")
			reachable = false
		}
		clock.Sleep(ctx, linkBackoff)
	}
}

func (c *Control) shareUpdates(ctx context.Context, address string, onSent func()) error {
	conn, err := c.cfg.Keys.Dial(address, maxMessageBytes)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wiregen.NewFleetClient(conn).Share(ctx)
	if err != nil {
		return err
	}
	go c.checkShareConnection(ctx, cancel, conn, address)
	state := &peerSendState{control: c, sentCapacities: map[string]time.Time{}}
	for clock.Sleep(ctx, fleetPeriod) {
		u := state.next(c.now())
		if u == nil {
			continue
		}
		sendTimer := time.AfterFunc(fleetSendTimeout, cancel)
		err := stream.Send(u)
		sendTimer.Stop()
		if err != nil {
			_, closed := stream.CloseAndRecv()
			return errors.Join(err, closed)
		}
		onSent()
	}
	return ctx.Err()
}

const (
	// shareCheckPeriod is the interval at which the connection of a share stream is checked, and shareCheckTimeout the time after
	// which a check has failed. Together they are shorter than the time after which a disturbance counts as over.
	shareCheckPeriod  = 2 * time.Second
	shareCheckTimeout = 1500 * time.Millisecond
)

// checkShareConnection ends a share stream whose connection has gone silent. The receiver of a share stream sends nothing, and sends into
// a silent connection succeed until its window is full, so the check is a call over the same connection.
func (c *Control) checkShareConnection(ctx context.Context, cancel context.CancelFunc, conn *grpc.ClientConn, address string) {
	for clock.Sleep(ctx, shareCheckPeriod) {
		callCtx, cancelCall := context.WithTimeout(ctx, shareCheckTimeout)
		_, err := wiregen.NewFleetClient(conn).LastHeartbeat(callCtx, &wiregen.EndpointQuery{})
		cancelCall()
		if err != nil && ctx.Err() == nil {
			c.log.Warn().Str("control", address).Err(err).Msg("share stream is silent")
			cancel()
			return
		}
	}
}

// peerSendState records what was last sent to another control daemon.
type peerSendState struct {
	control            *Control
	endpointsSequence  int64
	gatewaysSequence   int64
	endpointsRenewedAt time.Time
	// gatewaysRenewedAt is when all gateways were last sent. Their leases are shorter than those of endpoints and are
	// renewed more often.
	gatewaysRenewedAt time.Time
	sentCapacities    map[string]time.Time
	sentAt            time.Time
}

func (v *peerSendState) next(now time.Time) *wiregen.FleetUpdate {
	f := v.control.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var endpoints []fleet.Endpoint
	var gateways []fleet.GatewayChange
	endpoints, v.endpointsSequence = f.endpoints.Since(v.endpointsSequence)
	gateways, v.gatewaysSequence = f.gateways.Since(v.gatewaysSequence)
	if now.Sub(v.endpointsRenewedAt) >= renewalPeriod {
		endpoints = append(endpoints, f.endpoints.SeenAfter(v.endpointsRenewedAt)...)
		v.endpointsRenewedAt = now
	}
	if now.Sub(v.gatewaysRenewedAt) >= fleetHeartbeat {
		v.gatewaysRenewedAt = now
		for _, g := range f.gateways.Live() {
			gateways = append(gateways, fleet.GatewayChange{Gateway: g})
		}
	}
	u := &wiregen.FleetUpdate{Sender: v.control.cfg.Name}
	for _, e := range endpoints {
		if f.localEndpoints[e.ID] {
			u.Endpoints = append(u.Endpoints, wire.EncodeFleetEndpoint(now, e))
		}
	}
	for _, g := range gateways {
		if f.localGateways[g.Gateway.Name] {
			u.Gateways = append(u.Gateways, encodeGateways(now, []fleet.GatewayChange{g})...)
		}
	}
	u.Rooms = f.capacitiesSince(now, v.sentCapacities, func(r regionCapacity) bool { return r.local })
	if len(u.GetEndpoints()) == 0 && len(u.GetGateways()) == 0 && len(u.GetRooms()) == 0 && now.Sub(v.sentAt) < fleetHeartbeat {
		return nil
	}
	v.sentAt = now
	return u
}

// Share receives the reports that another control daemon received directly.
func (c *Control) Share(stream grpc.ClientStreamingServer[wiregen.FleetUpdate, wiregen.ShareReply]) error {
	for {
		u, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&wiregen.ShareReply{})
		}
		if err != nil {
			return err
		}
		for _, e := range c.fleet.merge(c.now(), u) {
			c.log.Info().Str("endpoint", e.ID).Int64("born", e.Born).Str("state", e.State.String()).Str("control", u.GetSender()).Msg("endpoint state received")
		}
	}
}

// merge applies an update from another control daemon and returns the endpoints whose state or incarnation changed. A newer
// report that this daemon received directly takes precedence.
func (f *fleetState) merge(now time.Time, u *wiregen.FleetUpdate) (changed []fleet.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range u.GetEndpoints() {
		e := wire.DecodeFleetEndpoint(now, m)
		old, known := f.endpoints.Get(e.ID)
		accept := f.endpoints.Announce
		if e.Leaves() {
			accept = func(e fleet.Endpoint) bool { return f.endpoints.Leave(e.LastSeen, e.ID, 0) }
		}
		if !accept(e) {
			continue
		}
		delete(f.localEndpoints, e.ID)
		if !known || old.State != e.State || old.Born != e.Born {
			changed = append(changed, e)
		}
	}
	for _, m := range u.GetGateways() {
		g := wire.DecodeGateway(now.Add(-time.Duration(m.GetSilentMillis())*time.Millisecond), m.GetReport())
		f.mergeGateway(g, m.GetGone())
	}
	for _, m := range u.GetRooms() {
		receivedAt := now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond)
		if receivedAt.After(f.capacities[m.GetRegion()].receivedAt) {
			f.capacities[m.GetRegion()] = regionCapacity{services: m.GetRoom(), receivedAt: receivedAt}
		}
	}
	return changed
}

// mergeGateway applies a report about a gateway from another control daemon. A gateway reported as gone may have
// moved its session to this daemon, so it is removed only if no newer report exists.
func (f *fleetState) mergeGateway(g fleet.Gateway, gone bool) {
	if !gone {
		// Two daemons that each pass on what the other one has passed on would renew the lease by the transit time.
		if f.gateways.Announce(g) {
			delete(f.localGateways, g.Name)
		}
		return
	}
	for _, known := range f.gateways.Live() {
		if known.Name == g.Name && !known.LastSeen.After(g.LastSeen) {
			f.gateways.Leave(g.Name, g.Born)
		}
	}
}
