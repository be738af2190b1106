package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"arbutusreel/capacity"
	"arbutusreel/clock"
	"arbutusreel/configuration"
	"arbutusreel/fleet"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

const (
	// controlTimeout is the time without an update after which a session is closed: three heartbeat periods of a
	// control daemon.
	controlTimeout = 1500 * time.Millisecond
	// raceTimeout bounds the concurrent connection attempts to all control daemons. The first update from another
	// region takes three round trips.
	raceTimeout = time.Second
	// raceAttempts is the number of connection attempts to each control daemon in a race, started raceStagger apart: a
	// SYN that is lost, for example to a machine without power, is retransmitted only after a second.
	raceAttempts = 3
	raceStagger  = 250 * time.Millisecond
	// unresponsiveDelay is the time after the others at which a race tries unresponsive control daemons.
	unresponsiveDelay = 400 * time.Millisecond
	// currentPreferenceTime is how long a gateway without a session waits for a current control daemon once a stale one
	// has answered. A control daemon is current while it is in contact with the leader, and stale otherwise.
	currentPreferenceTime = 150 * time.Millisecond
	// searchPeriod is the interval at which a gateway searches for a current control daemon while the one of its session
	// is stale.
	searchPeriod = 1200 * time.Millisecond
	// staleControlTime is how long a control daemon may be without a leader before another one is searched for.
	staleControlTime = 600 * time.Millisecond
	// reportPeriod is the interval between a gateway's reports, and capacityReportPeriod that of the gateway which also
	// reports its region's capacity.
	reportPeriod         = 500 * time.Millisecond
	capacityReportPeriod = 200 * time.Millisecond
	// pollPeriod is the interval at which a gateway checks for changes to report and repeats its waiting loops.
	pollPeriod = 50 * time.Millisecond
	// currentDocumentWait is how long after its start a gateway without a document waits for one from a current control
	// daemon.
	currentDocumentWait = 500 * time.Millisecond
)

// controlStream is the bidirectional stream of a session with a control daemon.
type controlStream = grpc.BidiStreamingClient[wiregen.GatewayReport, wiregen.FleetUpdate]

// controlConn is a connection to a control daemon whose first update has arrived.
type controlConn struct {
	address     string
	conn        *grpc.ClientConn
	stream      controlStream
	cancel      context.CancelFunc
	firstUpdate *wiregen.FleetUpdate
	// received is the number of bytes that have arrived.
	received *atomic.Int64
}

// close ends the stream and the connection; it does nothing on nil.
func (c *controlConn) close() {
	if c == nil {
		return
	}
	c.cancel()
	_ = c.conn.Close()
}

// maxUpdateBytes bounds the size of one update, which may contain a large document.
const maxUpdateBytes = 64 << 20

// subscribe keeps a session with one control daemon at a time until ctx ends.
func (g *Gateway) subscribe(ctx context.Context) {
	var c *controlConn
	for ctx.Err() == nil {
		began := time.Now()
		if c == nil {
			c = g.connectAny(ctx, false)
		}
		if c == nil {
			g.log.Warn().Dur("after", time.Since(began)).Msg("no control daemon has sent its first update")
			clock.Sleep(ctx, pollPeriod)
			continue
		}
		g.log.Info().Str("control", c.address).Bool("current", c.firstUpdate.GetCurrent()).Dur("after", time.Since(began)).
			Msg("subscribed to control daemon")
		better, err := g.runSession(ctx, c)
		c.close()
		g.log.Warn().Str("control", c.address).Bool("replaced", better != nil).Err(err).Msg("control daemon connection lost")
		c = better
	}
	if c != nil {
		c.close()
	}
}

// connectAny connects to all known control daemons concurrently and returns the first that is current. Unless
// onlyCurrent is set, it returns a stale one if no current one answers within currentPreferenceTime of it. It tries
// unresponsive ones unresponsiveDelay after the others, and not at all if onlyCurrent is set.
func (g *Gateway) connectAny(ctx context.Context, onlyCurrent bool) *controlConn {
	ctx, cancel := context.WithTimeout(ctx, raceTimeout)
	defer cancel()
	results, attempts := g.startAttempts(ctx, onlyCurrent)
	var best *controlConn
	for range attempts {
		c := <-results
		if c == nil {
			continue
		}
		if onlyCurrent && !c.firstUpdate.GetCurrent() {
			c.close()
			continue
		}
		if !onlyCurrent {
			time.AfterFunc(currentPreferenceTime, cancel)
		}
		if best != nil && (best.firstUpdate.GetCurrent() || !c.firstUpdate.GetCurrent()) {
			c.close()
			continue
		}
		if best != nil {
			best.close()
		}
		best = c
		if c.firstUpdate.GetCurrent() {
			cancel()
		}
	}
	return best
}

// startAttempts starts the connection attempts of connectAny, and returns the channel of their results and their number.
func (g *Gateway) startAttempts(ctx context.Context, onlyCurrent bool) (results chan *controlConn, attempts int) {
	addresses, starts := g.controlAddresses(), raceAttempts
	if onlyCurrent {
		starts = 1
	}
	results = make(chan *controlConn, len(addresses)*starts)
	unresponsive, now := g.unresponsiveControls(), time.Now()
	for _, address := range addresses {
		var delay time.Duration
		if unresponsive.Has(now, address) {
			if onlyCurrent {
				continue
			}
			delay = unresponsiveDelay
		}
		attempts += starts
		for i := range starts {
			go func() {
				clock.Sleep(ctx, delay+time.Duration(i)*raceStagger)
				results <- g.connect(ctx, address)
			}()
		}
	}
	return results, attempts
}

// connect opens a session and returns it once its first update has arrived, or nil if that fails. The first update is brief:
// several control daemons are asked at once, and the state of one of them may take most of what the link carries.
func (g *Gateway) connect(raceCtx context.Context, address string) *controlConn {
	if raceCtx.Err() != nil {
		return nil
	}
	received := &atomic.Int64{}
	conn, err := g.cfg.Keys.Dial(address, maxUpdateBytes, countReceived(received))
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(g.workCtx)
	c := &controlConn{address: address, conn: conn, cancel: cancel, received: received}
	stopCancel := context.AfterFunc(raceCtx, cancel)
	c.stream, err = wiregen.NewFleetClient(conn).Attend(ctx)
	if err == nil {
		report := g.report(time.Now(), false)
		report.Probing = true
		err = c.stream.Send(report)
	}
	if err == nil {
		c.firstUpdate, err = c.stream.Recv()
	}
	if err != nil || !stopCancel() {
		c.close()
		return nil
	}
	return c
}

// fetchState opens a session with a current control daemon that is not unresponsive, and returns it once its state has arrived, or
// nil if that fails.
func (g *Gateway) fetchState(ctx context.Context) *controlConn {
	c := g.connectAny(ctx, true)
	if c == nil || !c.firstUpdate.GetBrief() {
		return c
	}
	stopCancel := context.AfterFunc(ctx, c.cancel)
	if err := c.receiveState(g); err != nil || !c.firstUpdate.GetCurrent() || !stopCancel() {
		c.close()
		return nil
	}
	return c
}

// receiveState receives the state of a control daemon that has answered a search, and sends reports until then.
func (c *controlConn) receiveState(g *Gateway) error {
	done := make(chan error, 1)
	send := func(now time.Time) error { return c.stream.Send(g.report(now, false)) }
	progressAt, counted := time.Now(), int64(0)
	if err := send(progressAt); err != nil {
		return err
	}
	go func() {
		var err error
		for err == nil && c.firstUpdate.GetBrief() {
			c.firstUpdate, err = c.stream.Recv()
		}
		done <- err
	}()
	reports := time.NewTicker(reportPeriod)
	defer reports.Stop()
	for {
		select {
		case err := <-done:
			return err
		case now := <-reports.C:
			if received := c.received.Load(); received-counted >= progressBytes {
				progressAt, counted = now, received
			}
			if silence := now.Sub(progressAt); silence > controlTimeout {
				g.recordUnresponsive(now, c.address)
				return &SilentControlError{Address: c.address, Silence: silence}
			}
			if err := send(now); err != nil {
				return err
			}
		}
	}
}

// controlAddresses returns the addresses of all known control daemons.
func (g *Gateway) controlAddresses() []string {
	g.controlsMu.Lock()
	defer g.controlsMu.Unlock()
	all := slices.Concat(g.controls, g.cfg.Controls)
	slices.Sort(all)
	return slices.Compact(all)
}

// unresponsiveControls returns the control daemons that did not send their state in time within the last seconds.
func (g *Gateway) unresponsiveControls() fleet.Unresponsive {
	g.controlsMu.Lock()
	defer g.controlsMu.Unlock()
	return g.unresponsive
}

// recordUnresponsive records that a control daemon answered a search and has not sent its state in time.
func (g *Gateway) recordUnresponsive(now time.Time, address string) {
	g.controlsMu.Lock()
	defer g.controlsMu.Unlock()
	g.unresponsive = g.unresponsive.With(now, address)
}

// runSession receives updates and sends reports until the session fails or times out. While its control daemon is
// stale, it searches for a current one, which it returns.
func (g *Gateway) runSession(ctx context.Context, c *controlConn) (better *controlConn, err error) {
	now := time.Now()
	s := &session{
		gateway: g, control: c, updates: make(chan *wiregen.FleetUpdate, updateQueueLength), failed: make(chan error, 1),
		found: make(chan *controlConn, 1), second: make(chan *controlConn, 1), secondRequest: fleet.NewSecondRequest(now), beganAt: now, updatedAt: now, currentAt: now, current: c.firstUpdate.GetCurrent(),
	}
	if !c.firstUpdate.GetBrief() {
		s.handleUpdate(c.firstUpdate)
	} else if err := s.sendReport(now, false); err != nil {
		return nil, err
	}
	go s.receive()
	defer s.release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	check := time.NewTicker(pollPeriod)
	defer check.Stop()
	for {
		select {
		case u := <-s.updates:
			s.handleUpdate(u)
		case err := <-s.failed:
			return nil, err
		case found := <-s.found:
			g.log.Info().Dur("after", time.Since(s.searchedAt)).Bool("found", found != nil).Msg("searched for a current control daemon")
			if s.replacedBy(found) {
				return found, &StaleControlError{Address: c.address, Behind: time.Since(s.currentAt)}
			}
			found.close()
		case second := <-s.second:
			if s.precededBy(second) {
				return second, &SlowControlError{Address: c.address, Waited: time.Since(s.beganAt)}
			}
			second.close()
		case now := <-check.C:
			if err := s.check(ctx, now); err != nil {
				return nil, err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// updateQueueLength is the number of received updates that may wait.
const updateQueueLength = 16

// session is the state of a session with a control daemon.
type session struct {
	gateway *Gateway
	control *controlConn
	updates chan *wiregen.FleetUpdate
	failed  chan error
	// found receives the result of a search for a current control daemon.
	found      chan *controlConn
	searching  bool
	searchedAt time.Time
	// second receives another control daemon whose state has arrived, or nil if that fails.
	second chan *controlConn
	// askingSecond is set while another one is asked for its state, and askedSecond once one was.
	askingSecond, askedSecond bool
	secondRequest             fleet.SecondRequest
	beganAt                   time.Time
	// hasState is set once the state of the control daemon has been applied.
	hasState bool
	// updatedAt is when the last update arrived, and receivedAt when progressBytes had last arrived in addition to counted ones.
	updatedAt, receivedAt time.Time
	counted               int64
	// current reports whether the control daemon was current by its last update, and currentAt is the last time at which it was.
	current    bool
	currentAt  time.Time
	reportedAt time.Time
	// ready, lingering, closing and stranded are the values in the last report.
	ready, lingering, closing, stranded bool
}

// receive queues updates until the stream ends.
func (s *session) receive() {
	for {
		u, err := s.control.stream.Recv()
		if err != nil {
			s.failed <- err
			close(s.updates)
			return
		}
		s.updates <- u
	}
}

// release drains the channels that goroutines of the session may still send to. The receiving goroutine ends when the
// caller of runSession closes the connection.
func (s *session) release() {
	go func() {
		for range s.updates {
			continue
		}
	}()
	if s.searching {
		go func() { (<-s.found).close() }()
	}
	if s.askingSecond {
		go func() { (<-s.second).close() }()
	}
}

// handleUpdate applies an update; nil marks a closed channel.
func (s *session) handleUpdate(u *wiregen.FleetUpdate) {
	if u == nil {
		return
	}
	if !s.hasState {
		// The table of gateways starts empty, as those that have gone since the previous session would never be reported as
		// gone in this one.
		clear(s.gateway.state.gateways)
		s.hasState = true
		s.gateway.log.Info().Str("control", s.control.address).Int("bytes", proto.Size(u)).Bool("current", u.GetCurrent()).
			Dur("after", time.Since(s.beganAt)).Msg("state of control daemon received")
	}
	s.gateway.applyUpdate(s.control.address, u)
	s.updatedAt, s.current = time.Now(), u.GetCurrent()
	if s.current {
		s.currentAt = s.updatedAt
	}
}

// replacedBy reports whether a control daemon that a search has found takes the place of the present one, which may have become
// current itself.
func (s *session) replacedBy(found *controlConn) bool {
	s.searching = false
	if found == nil || !found.firstUpdate.GetCurrent() {
		return false
	}
	if found.address == s.control.address {
		s.current, s.currentAt = true, time.Now()
		return false
	}
	return time.Since(s.currentAt) > staleControlTime
}

// askSecond asks another control daemon for its state if the present one has not sent all of it in time.
func (s *session) askSecond(ctx context.Context, now time.Time) {
	if s.hasState || s.askingSecond || !s.secondRequest.Due(now) {
		return
	}
	s.gateway.recordUnresponsive(now, s.control.address)
	s.askingSecond, s.askedSecond = true, true
	go func() { s.second <- s.gateway.fetchState(ctx) }()
}

// precededBy reports whether another control daemon, nil if none, has sent its state before the present one.
func (s *session) precededBy(second *controlConn) bool {
	s.askingSecond = false
	if second == nil {
		s.secondRequest = s.secondRequest.WithFailure(time.Now())
	}
	return second != nil && !s.hasState
}

const (
	// progressBytes is the number of bytes that show that an update is arriving: more than a connection without updates carries
	// within controlTimeout.
	progressBytes = 4 << 10
	// maxUpdateTime bounds the time that one update takes to arrive, and maxSharedUpdateTime that of a state beside which
	// another one was asked for: both may share the gateway's link.
	maxUpdateTime       = 10 * time.Second
	maxSharedUpdateTime = 2 * maxUpdateTime
)

// recordProgress records that a part of an update has arrived.
func (s *session) recordProgress(now time.Time) {
	received, limit := s.control.received.Load(), maxUpdateTime
	if !s.hasState && s.askedSecond {
		limit = maxSharedUpdateTime
	}
	if received-s.counted < progressBytes || now.Sub(s.updatedAt) > limit {
		return
	}
	s.counted, s.receivedAt = received, now
	if s.current {
		s.currentAt = now
	}
}

// check returns an error if the control daemon has timed out. It starts a search if the daemon is stale, and sends a
// report if one is due.
func (s *session) check(ctx context.Context, now time.Time) error {
	g := s.gateway
	s.recordProgress(now)
	silence := now.Sub(laterOf(s.updatedAt, s.receivedAt))
	if silence > staleControlTime && !s.hasState {
		g.recordUnresponsive(now, s.control.address)
	}
	if silence > controlTimeout {
		return &SilentControlError{Address: s.control.address, Silence: silence}
	}
	if now.Sub(s.currentAt) > staleControlTime && now.Sub(s.searchedAt) > searchPeriod && !s.searching {
		s.searchedAt, s.searching = now, true
		go func() { s.found <- g.connectAny(ctx, true) }()
	}
	s.askSecond(ctx, now)
	withCapacity := g.reportsCapacity(now)
	ready, lingering, closing, stranded := g.Ready(), g.lingering(now), g.closing(now), g.placer.isStranded()
	due := now.Sub(s.reportedAt) >= reportPeriod || withCapacity && now.Sub(s.reportedAt) >= capacityReportPeriod
	if !due && ready == s.ready && lingering == s.lingering && closing == s.closing && stranded == s.stranded {
		return nil
	}
	s.ready, s.lingering, s.closing, s.stranded = ready, lingering, closing, stranded
	return s.sendReport(now, withCapacity)
}

// sendReport sends a report, which asks for the state if it is the first one of the session.
func (s *session) sendReport(now time.Time, withCapacity bool) error {
	s.reportedAt = now
	return s.control.stream.Send(s.gateway.report(now, withCapacity))
}

// report returns the report to the control daemon, with the region's capacity if requested.
func (g *Gateway) report(now time.Time, withCapacity bool) *wiregen.GatewayReport {
	v := g.view.Load()
	g.reportMu.Lock()
	g.reportSequence++
	m := wire.EncodeGateway(fleet.Gateway{
		Name: g.cfg.Name, Born: g.born, Sequence: g.reportSequence, CallerAddress: g.cfg.CallerAddress, LoadAddress: g.cfg.LoadAddress,
		ForwardAddress: g.cfg.ForwardAddress, FailureDomain: g.cfg.FailureDomain, Region: g.cfg.Region, Ready: g.Ready(), Lingering: g.lingering(now), Closing: g.closing(now), Stranded: g.placer.isStranded(),
		Weight: g.cfg.Weight, InFlight: int(g.inFlight.Load()),
	})
	g.reportMu.Unlock()
	m.RouteVersion = v.version()
	if withCapacity {
		m.Room = g.placer.localCapacity(now, v)
	}
	return m
}

// reportsCapacity reports whether this gateway reports its region's capacity: of the region's gateways that accept
// requests, the first in the order of names does, and one that reaches endpoints rather than a stranded one.
func (g *Gateway) reportsCapacity(now time.Time) bool {
	self := fleet.Gateway{Name: g.cfg.Name, Ready: g.Ready(), Lingering: g.lingering(now), Closing: g.closing(now), Stranded: g.placer.isStranded()}
	all := fleet.Reaching(fleet.Accepting(append(g.view.Load().peers(g.cfg.Region, g.cfg.Name), self)))
	return slices.ContainsFunc(all, func(a fleet.Gateway) bool { return a.Name == self.Name }) &&
		!slices.ContainsFunc(all, func(a fleet.Gateway) bool { return a.Name < self.Name })
}

// applyUpdate merges an update into the fleet state and publishes the new view.
func (g *Gateway) applyUpdate(control string, u *wiregen.FleetUpdate) {
	now := time.Now()
	st := g.state
	g.updateEndpoints(now, control, u.GetEndpoints())
	g.updateGateways(now, control, u.GetGateways())
	g.updateEvacuations(now, control, u)
	for _, m := range u.GetRooms() {
		st.capacities[m.GetRegion()] = decodeRegionCapacity(now, m)
	}
	if len(u.GetControls()) > 0 {
		g.controlsMu.Lock()
		g.controls = u.GetControls()
		g.controlsMu.Unlock()
	}
	g.updateDocument(now, u)
	before := g.view.Load()
	v := st.refresh(now, u, before)
	v.updatedAt, v.current, v.completeFor, v.control = now, u.GetCurrent(), time.Duration(u.GetCompleteMillis())*time.Millisecond, control
	v.currentAt = before.currentAt
	if v.current {
		v.currentAt = now
	}
	if len(u.GetRooms()) > 0 {
		if regained := g.placer.updateRegionCapacities(now, before, u.GetRooms()); len(regained) > 0 {
			g.log.Info().Strs("regions", regained).Str("control", control).Msg("region capacity reports resumed")
		}
	}
	g.view.Store(v)
	g.origins.observe(now, v)
	g.allotments.observe(now, v)
	if before.table == nil && v.table != nil {
		g.log.Info().Int64("routeVersion", v.version()).Msg("ready")
	}
}

// updateEvacuations applies the evacuations that a control daemon sent in this update, or in an earlier one of the session when it
// was not current.
func (g *Gateway) updateEvacuations(now time.Time, control string, u *wiregen.FleetUpdate) {
	st := g.state
	if u.GetEvacuationsTold() {
		st.receivedEvacuations = decodeEvacuations(u)
	}
	received := st.receivedEvacuations
	after := st.evacuations.With(received, u.GetCurrent())
	if u.GetEvacuationsTold() && !slices.Equal(after.Domains, received.Domains) {
		g.log.Info().Strs("evacuated", received.Domains).Int64("index", received.Index).Int64("knownIndex", after.Index).Bool("current", u.GetCurrent()).
			Str("control", control).Msg("outdated evacuations ignored")
	}
	if after.Equal(st.evacuations) {
		return
	}
	g.log.Info().Strs("evacuated", after.Domains).Int64("index", after.Index).Bool("current", u.GetCurrent()).Str("control", control).
		Msg("evacuated failure domains changed")
	st.updateEvacuations(now, after)
}

// decodeEvacuations decodes the evacuations of an update that has them.
func decodeEvacuations(u *wiregen.FleetUpdate) configuration.Evacuations {
	e := configuration.Evacuations{Index: configuration.UnknownIndex, Domains: u.GetEvacuated()}
	if u.EvacuationsIndex != nil {
		e.Index = u.GetEvacuationsIndex()
	}
	return e
}

// updateEndpoints merges endpoint records into the fleet state, and drops the connections to endpoints that are gone.
func (g *Gateway) updateEndpoints(now time.Time, control string, records []*wiregen.EndpointRecord) {
	for _, m := range records {
		e := wire.DecodeFleetEndpoint(now, m)
		if g.state.updateEndpoint(e) {
			g.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("state", e.State.String()).Str("address", e.Address).
				Dur("silent", now.Sub(e.LastSeen)).Bool("cold", e.Cold(now)).Str("control", control).Msg("endpoint state updated")
		}
		if e.State == fleet.Gone {
			g.pool.CloseIdle(g.state.endpoints[e.ID].Address)
		}
	}
}

// updateGateways merges gateway records into the fleet state.
func (g *Gateway) updateGateways(now time.Time, control string, records []*wiregen.GatewayRecord) {
	known := g.state.gateways
	for _, m := range records {
		peer := wire.DecodeGateway(now.Add(-time.Duration(m.GetSilentMillis())*time.Millisecond), m.GetReport())
		if !m.GetGone() {
			known[peer.Name] = peer
			continue
		}
		if known[peer.Name].Born <= peer.Born {
			delete(known, peer.Name)
			g.log.Info().Str("gateway", peer.Name).Str("control", control).Msg("gateway removed")
		}
	}
}

// updateDocument puts the document of an update into force. A gateway without a document first waits up to
// currentDocumentWait for one from a current control daemon, since a stale daemon may offer an old one.
func (g *Gateway) updateDocument(now time.Time, u *wiregen.FleetUpdate) {
	st := g.state
	if m := u.GetDocument(); m.GetVersion() > g.pendingDocument.Version {
		g.pendingDocument = configuration.Document{Version: m.GetVersion(), Content: m.GetContent()}
	}
	if g.pendingDocument.Version == 0 || !u.GetCurrent() && now.Sub(g.started) < currentDocumentWait {
		return
	}
	changed, err := st.updateDocument(g.pendingDocument)
	if err != nil {
		g.log.Error().Err(err).Int64("routeVersion", g.pendingDocument.Version).Msg("routing document invalid")
	}
	if changed {
		g.log.Info().Int64("routeVersion", g.pendingDocument.Version).Bool("current", u.GetCurrent()).Msg("routing document in force")
	}
	g.pendingDocument = configuration.Document{}
}

// decodeRegionCapacity decodes the reported capacity of a region.
func decodeRegionCapacity(now time.Time, m *wiregen.RegionRoom) regionCapacity {
	rc := regionCapacity{reportedAt: now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond), services: map[string]capacity.RegionCapacity{}}
	for _, s := range m.GetRoom() {
		sc := capacity.RegionCapacity{
			Region: m.GetRegion(), PromptTokens: s.GetPromptTokens(), Endpoints: int(s.GetEndpoints()), Busy: float64(s.GetBusyPermille()) / permille,
			Occupied: float64(s.GetOccupiedPermille()) / permille,
		}
		for rank, wait := range s.GetWaitMillis()[:min(len(s.GetWaitMillis()), capacity.Ranks)] {
			sc.Wait[rank] = time.Duration(wait) * time.Millisecond
		}
		rc.services[s.GetService()] = sc
	}
	return rc
}
