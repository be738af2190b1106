package control

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"arbutusreel/clock"
	"arbutusreel/fleet"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Attend serves the session of a gateway.
func (c *Control) Attend(session grpc.BidiStreamingServer[wiregen.GatewayReport, wiregen.FleetUpdate]) error {
	ctx, cancel := context.WithCancel(session.Context())
	defer cancel()
	first, err := session.Recv()
	if err != nil {
		return err
	}
	if first.GetName() == "" || first.GetForwardAddress() == "" {
		return status.Error(codes.InvalidArgument, "the report names no gateway")
	}
	c.hearGateway(first)
	c.log.Info().Str("gateway", first.GetName()).Str("domain", first.GetFailureDomain()).Int64("routeVersion", first.GetRouteVersion()).Msg("gatewayAttends")
	ended := make(chan error, 1)
	go func() { ended <- c.hearReports(ctx, cancel, session) }()
	view := &gatewayView{control: c}
	for ctx.Err() == nil {
		if u := view.next(c.now()); u != nil {
			if err := session.Send(u); err != nil {
				break
			}
		}
		clock.Sleep(ctx, fleetPeriod)
	}
	cancel()
	c.log.Info().Str("gateway", first.GetName()).Msg("gatewayLeft")
	select {
	case err := <-ended:
		return err
	default:
		return nil
	}
}

// hearReports takes a gateway's reports until the stream ends or falls silent.
func (c *Control) hearReports(ctx context.Context, cancel context.CancelFunc, session grpc.BidiStreamingServer[wiregen.GatewayReport, wiregen.FleetUpdate]) error {
	defer cancel()
	silence := time.AfterFunc(2*gatewayLease, cancel)
	defer silence.Stop()
	for ctx.Err() == nil {
		report, err := session.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		silence.Reset(2 * gatewayLease)
		c.hearGateway(report)
	}
	return nil
}

func (c *Control) hearGateway(report *wiregen.GatewayReport) {
	now := c.now()
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways.Announce(wire.DecodeGateway(now, report))
	f.ownGateways[report.GetName()] = true
	if len(report.GetRoom()) > 0 {
		f.rooms[report.GetRegion()] = regionRoom{room: report.GetRoom(), heard: now, own: true}
	}
}

// gatewayView is what one gateway was told last.
type gatewayView struct {
	control   *Control
	endpoints int64
	gateways  int64
	version   int64
	evacuated []string
	controls  []string
	current   bool
	rooms     map[string]time.Time
	sentAt    time.Time
	begun     bool
}

// next returns the update to send, or nil if there is nothing to say yet.
func (v *gatewayView) next(now time.Time) *wiregen.FleetUpdate {
	c := v.control
	u := &wiregen.FleetUpdate{Current: c.Current(), Sender: c.cfg.Name}
	v.addTables(now, u)
	orders := c.quorum.Orders()
	if d := orders.Document(); d.Version > v.version {
		u.Document = encodeDocument(d)
		v.version = d.Version
	}
	if evacuated := orders.Evacuated(); !v.begun || !slices.Equal(evacuated, v.evacuated) {
		u.EvacuationsTold, u.Evacuated = true, evacuated
		v.evacuated = evacuated
	}
	if controls := c.controlAddresses(); !slices.Equal(controls, v.controls) {
		u.Controls = controls
		v.controls = controls
	}
	news := len(u.GetEndpoints()) > 0 || len(u.GetGateways()) > 0 || u.GetDocument() != nil || u.GetEvacuationsTold() ||
		len(u.GetControls()) > 0 || u.GetCurrent() != v.current || len(u.GetRooms()) > 0
	if !news && now.Sub(v.sentAt) < fleetSignOfLife {
		return nil
	}
	v.current, v.sentAt, v.begun = u.GetCurrent(), now, true
	return u
}

func (v *gatewayView) addTables(now time.Time, u *wiregen.FleetUpdate) {
	f := v.control.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var endpoints []fleet.Endpoint
	var gateways []fleet.GatewayChange
	endpoints, v.endpoints = f.endpoints.Since(v.endpoints)
	gateways, v.gateways = f.gateways.Since(v.gateways)
	u.Endpoints, u.Gateways = encodeEndpoints(now, endpoints), encodeGateways(now, gateways)
	if v.rooms == nil {
		v.rooms = map[string]time.Time{}
	}
	u.Rooms = f.roomsSince(now, v.rooms, func(regionRoom) bool { return true })
}

// roomsSince returns the regions' rooms that were heard after those in sent, which it brings up to date.
func (f *fleetState) roomsSince(now time.Time, sent map[string]time.Time, wanted func(regionRoom) bool) []*wiregen.RegionRoom {
	var all []*wiregen.RegionRoom
	for region, room := range f.rooms {
		if !wanted(room) || !room.heard.After(sent[region]) || now.Sub(room.heard) > roomAge {
			continue
		}
		sent[region] = room.heard
		all = append(all, &wiregen.RegionRoom{Region: region, AgeMillis: now.Sub(room.heard).Milliseconds(), Room: room.room})
	}
	return all
}
