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

// Attend serves the session of a gateway: it receives the gateway's reports and sends it updates of the fleet. A gateway that
// probes this daemon gets a brief update, and the state once it reports again.
func (c *Control) Attend(session grpc.BidiStreamingServer[wiregen.GatewayReport, wiregen.FleetUpdate]) error {
	ctx, cancel := context.WithCancel(session.Context())
	defer cancel()
	first, err := session.Recv()
	if err != nil {
		return err
	}
	if first.GetName() == "" || first.GetForwardAddress() == "" {
		return status.Error(codes.InvalidArgument, "the report has no gateway name or no forward address")
	}
	reports := make(chan *wiregen.GatewayReport, 1)
	if first.GetProbing() {
		if err := session.Send(&wiregen.FleetUpdate{Brief: true, Current: c.Current(), Sender: c.cfg.Name}); err != nil {
			return err
		}
	} else {
		c.updateGateway(first)
		reports <- first
	}
	ended := make(chan error, 1)
	go func() { ended <- c.receiveReports(ctx, cancel, session, reports) }()
	select {
	case report := <-reports:
		c.sendUpdates(ctx, session, report)
	case <-ctx.Done():
	}
	cancel()
	select {
	case err := <-ended:
		return err
	default:
		return nil
	}
}

// sendUpdates sends a gateway the state that it lacks by its first report, and then all changes, until ctx or the stream ends.
func (c *Control) sendUpdates(ctx context.Context, session grpc.BidiStreamingServer[wiregen.GatewayReport, wiregen.FleetUpdate], first *wiregen.GatewayReport) {
	c.log.Info().Str("gateway", first.GetName()).Str("domain", first.GetFailureDomain()).Int64("routeVersion", first.GetRouteVersion()).Msg("gateway connected")
	state := &gatewaySendState{control: c, documentVersion: first.GetRouteVersion()}
	for ctx.Err() == nil {
		if u := state.next(c.now()); u != nil {
			if err := session.Send(u); err != nil {
				break
			}
		}
		clock.Sleep(ctx, fleetPeriod)
	}
	c.log.Info().Str("gateway", first.GetName()).Msg("gateway disconnected")
}

// receiveReports receives a gateway's reports until the stream ends or no report arrives within two gateway leases. It offers
// each to reports, of which only the first is taken.
func (c *Control) receiveReports(
	ctx context.Context, cancel context.CancelFunc, session grpc.BidiStreamingServer[wiregen.GatewayReport, wiregen.FleetUpdate], reports chan<- *wiregen.GatewayReport,
) error {
	defer cancel()
	idleTimer := time.AfterFunc(2*gatewayLease, cancel)
	defer idleTimer.Stop()
	for ctx.Err() == nil {
		report, err := session.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		idleTimer.Reset(2 * gatewayLease)
		c.updateGateway(report)
		select {
		case reports <- report:
		default:
		}
	}
	return nil
}

// LastHeartbeat returns the age of the last heartbeat that this control daemon received from an incarnation of an endpoint.
func (c *Control) LastHeartbeat(_ context.Context, m *wiregen.EndpointQuery) (*wiregen.HeartbeatAge, error) {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.endpoints.Get(m.GetEndpoint())
	if !ok || e.Born != m.GetBorn() {
		return &wiregen.HeartbeatAge{}, nil
	}
	return &wiregen.HeartbeatAge{Known: true, SilentMillis: c.now().Sub(e.LastSeen).Milliseconds()}, nil
}

func (c *Control) updateGateway(report *wiregen.GatewayReport) {
	now := c.now()
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways.Announce(wire.DecodeGateway(now, report))
	f.localGateways[report.GetName()] = true
	if len(report.GetRoom()) > 0 {
		f.capacities[report.GetRegion()] = regionCapacity{services: report.GetRoom(), receivedAt: now, local: true}
	}
}

// gatewaySendState records what was last sent to a gateway.
type gatewaySendState struct {
	control           *Control
	endpointsSequence int64
	gatewaysSequence  int64
	// endpointsRenewedAt is when the endpoints without changes were last sent.
	endpointsRenewedAt time.Time
	documentVersion    int64
	evacuationsIndex   int64
	controls           []string
	current            bool
	sentCapacities     map[string]time.Time
	sentAt             time.Time
	started            bool
}

// next returns the next update to send, or nil if nothing changed and no heartbeat is due.
func (v *gatewaySendState) next(now time.Time) *wiregen.FleetUpdate {
	c := v.control
	u := &wiregen.FleetUpdate{Current: c.Current(), Sender: c.cfg.Name}
	v.addEndpointsAndGateways(now, u)
	orders := c.quorum.Orders()
	if d := orders.Document(); d.Version > v.documentVersion {
		u.Document = encodeDocument(d)
		v.documentVersion = d.Version
	}
	// Gateways of earlier versions ignore the evacuations of a stale daemon.
	becameCurrent := u.GetCurrent() && !v.current
	if e := orders.Evacuations(); !v.started || e.Index != v.evacuationsIndex || becameCurrent {
		u.EvacuationsTold, u.Evacuated, u.EvacuationsIndex = true, e.Domains, &e.Index
		v.evacuationsIndex = e.Index
	}
	if controls := c.controlAddresses(); !slices.Equal(controls, v.controls) {
		u.Controls = controls
		v.controls = controls
	}
	changed := len(u.GetEndpoints()) > 0 || len(u.GetGateways()) > 0 || u.GetDocument() != nil || u.GetEvacuationsTold() ||
		len(u.GetControls()) > 0 || u.GetCurrent() != v.current || len(u.GetRooms()) > 0
	if !changed && now.Sub(v.sentAt) < fleetHeartbeat {
		return nil
	}
	v.current, v.sentAt, v.started = u.GetCurrent(), now, true
	return u
}

func (v *gatewaySendState) addEndpointsAndGateways(now time.Time, u *wiregen.FleetUpdate) {
	f := v.control.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var endpoints []fleet.Endpoint
	var gateways []fleet.GatewayChange
	endpoints, v.endpointsSequence = f.endpoints.Since(v.endpointsSequence)
	if v.endpointsRenewedAt.IsZero() {
		v.endpointsRenewedAt = now
	}
	if now.Sub(v.endpointsRenewedAt) >= gatewayRenewalPeriod {
		endpoints = append(endpoints, f.endpoints.SeenAfter(v.endpointsRenewedAt)...)
		v.endpointsRenewedAt = now
	}
	gateways, v.gatewaysSequence = f.gateways.Since(v.gatewaysSequence)
	if f.complete(now, u.GetCurrent()) {
		u.CompleteMillis = now.Sub(f.runningSince).Milliseconds()
	}
	u.Endpoints, u.Gateways = encodeEndpoints(now, endpoints), encodeGateways(now, gateways)
	if v.sentCapacities == nil {
		v.sentCapacities = map[string]time.Time{}
	}
	u.Rooms = f.capacitiesSince(now, v.sentCapacities, func(regionCapacity) bool { return true })
}

// capacitiesSince returns the regional capacities received after the times in sent, which it updates. Expired ones
// are left out.
func (f *fleetState) capacitiesSince(now time.Time, sent map[string]time.Time, include func(regionCapacity) bool) []*wiregen.RegionRoom {
	var all []*wiregen.RegionRoom
	for region, capacity := range f.capacities {
		if !include(capacity) || !capacity.receivedAt.After(sent[region]) || now.Sub(capacity.receivedAt) > capacityMaxAge {
			continue
		}
		sent[region] = capacity.receivedAt
		all = append(all, &wiregen.RegionRoom{
			Region: region, AgeMillis: now.Sub(capacity.receivedAt).Milliseconds(), Room: capacity.services,
		})
	}
	return all
}
