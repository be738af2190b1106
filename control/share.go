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

// shareWith tells another control daemon what this one hears itself, until ctx ends. Nothing is passed on that another
// one told, so that no word goes round.
func (c *Control) shareWith(ctx context.Context, address string) {
	reachable := true
	for ctx.Err() == nil {
		err := c.shareOnce(ctx, address, func() {
			if !reachable {
				c.log.Info().Str("control", address).Msg("controlReachable")
			}
			reachable = true
		})
		if reachable && ctx.Err() == nil {
			c.log.Warn().Str("control", address).Err(err).Msg("controlUnreachable")
			reachable = false
		}
		clock.Sleep(ctx, linkBackoff)
	}
}

func (c *Control) shareOnce(ctx context.Context, address string, reached func()) error {
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
	view := &peerView{control: c, rooms: map[string]time.Time{}}
	for clock.Sleep(ctx, fleetPeriod) {
		u := view.next(c.now())
		if u == nil {
			continue
		}
		stuck := time.AfterFunc(fleetSilence, cancel)
		err := stream.Send(u)
		stuck.Stop()
		if err != nil {
			_, closed := stream.CloseAndRecv()
			return errors.Join(err, closed)
		}
		reached()
	}
	return ctx.Err()
}

// peerView is what one other control daemon was told last.
type peerView struct {
	control   *Control
	endpoints int64
	gateways  int64
	renewed   time.Time
	// gatewaysRenewed is when every gateway was told last; their leases are shorter than those of endpoints.
	gatewaysRenewed time.Time
	rooms           map[string]time.Time
	sentAt          time.Time
}

func (v *peerView) next(now time.Time) *wiregen.FleetUpdate {
	f := v.control.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var endpoints []fleet.Endpoint
	var gateways []fleet.GatewayChange
	endpoints, v.endpoints = f.endpoints.Since(v.endpoints)
	gateways, v.gateways = f.gateways.Since(v.gateways)
	if now.Sub(v.renewed) >= renewalPeriod {
		endpoints = append(endpoints, f.endpoints.Heard(v.renewed)...)
		v.renewed = now
	}
	if now.Sub(v.gatewaysRenewed) >= fleetSignOfLife {
		v.gatewaysRenewed = now
		for _, g := range f.gateways.Live() {
			gateways = append(gateways, fleet.GatewayChange{Gateway: g})
		}
	}
	u := &wiregen.FleetUpdate{Sender: v.control.cfg.Name}
	for _, e := range endpoints {
		if f.ownEndpoints[e.ID] {
			u.Endpoints = append(u.Endpoints, wire.EncodeFleetEndpoint(now, e))
		}
	}
	for _, g := range gateways {
		if f.ownGateways[g.Gateway.Name] {
			u.Gateways = append(u.Gateways, encodeGateways(now, []fleet.GatewayChange{g})...)
		}
	}
	u.Rooms = f.roomsSince(now, v.rooms, func(r regionRoom) bool { return r.own })
	if len(u.GetEndpoints()) == 0 && len(u.GetGateways()) == 0 && len(u.GetRooms()) == 0 && now.Sub(v.sentAt) < fleetSignOfLife {
		return nil
	}
	v.sentAt = now
	return u
}

// Share takes what another control daemon heard itself.
func (c *Control) Share(stream grpc.ClientStreamingServer[wiregen.FleetUpdate, wiregen.ShareReply]) error {
	for {
		u, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&wiregen.ShareReply{})
		}
		if err != nil {
			return err
		}
		c.fleet.learn(c.now(), u)
	}
}

// learn takes what another control daemon heard; what this one heard itself later goes first.
func (f *fleetState) learn(now time.Time, u *wiregen.FleetUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range u.GetEndpoints() {
		if e := wire.DecodeFleetEndpoint(now, m); f.endpoints.Announce(e) {
			delete(f.ownEndpoints, e.ID)
		}
	}
	for _, m := range u.GetGateways() {
		g := wire.DecodeGateway(now.Add(-time.Duration(m.GetSilentMillis())*time.Millisecond), m.GetReport())
		f.learnGateway(g, m.GetGone())
	}
	for _, m := range u.GetRooms() {
		heard := now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond)
		if heard.After(f.rooms[m.GetRegion()].heard) {
			f.rooms[m.GetRegion()] = regionRoom{room: m.GetRoom(), heard: heard}
		}
	}
}

// learnGateway takes the word of another control daemon of a gateway, which may have moved its session to this one.
func (f *fleetState) learnGateway(g fleet.Gateway, gone bool) {
	if !gone {
		f.gateways.Announce(g)
		return
	}
	for _, known := range f.gateways.Live() {
		if known.Name == g.Name && !known.Heard.After(g.Heard) {
			f.gateways.Leave(g.Name, g.Born)
		}
	}
}
