package gateway

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/capacity"
	"arbutusreel/clock"
	"arbutusreel/configuration"
	"arbutusreel/fleet"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

const (
	// sessionSilence is the silence after which a control daemon is given up: three of its signs of life.
	sessionSilence = 1500 * time.Millisecond
	// raceTime is how long sessions with all control daemons compete. The first word of one in another region takes three
	// round trips.
	raceTime = time.Second
	// raceStarts is how often a session with each control daemon is begun in a race, raceStagger apart: an opening packet
	// that met a machine without power is sent again only after a second.
	raceStarts  = 3
	raceStagger = 250 * time.Millisecond
	// settleTime is how long a gateway without a session waits for one that is current once it has found another.
	settleTime = 150 * time.Millisecond
	// searchPeriod is how often a gateway looks for a control daemon that is current while its own is not.
	searchPeriod = 1200 * time.Millisecond
	// staleTime is how long a control daemon may be without a leader before another one is looked for.
	staleTime = 600 * time.Millisecond
	// reportPeriod is how often a gateway reports; the one that tells its region's load does so more often.
	reportPeriod     = 500 * time.Millisecond
	roomReportPeriod = 200 * time.Millisecond
	// changeCheck is how often a gateway looks whether its report has changed.
	changeCheck = 50 * time.Millisecond
	// staleDocumentTime is how long a gateway without any document waits for a control daemon that is current.
	staleDocumentTime = 500 * time.Millisecond
)

type attendance = grpc.BidiStreamingClient[wiregen.GatewayReport, wiregen.FleetUpdate]

// candidate is a session that competes to be the gateway's.
type candidate struct {
	address string
	conn    *grpc.ClientConn
	stream  attendance
	cancel  context.CancelFunc
	first   *wiregen.FleetUpdate
}

// close ends the session; a nil candidate has none.
func (c *candidate) close() {
	if c == nil {
		return
	}
	c.cancel()
	_ = c.conn.Close()
}

// maxUpdateBytes bounds one update, which may hold a large document.
const maxUpdateBytes = 64 << 20

// attend keeps a session with one control daemon until ctx ends.
func (g *Gateway) attend(ctx context.Context) {
	var c *candidate
	for ctx.Err() == nil {
		if c == nil {
			c = g.race(ctx, false)
		}
		if c == nil {
			clock.Sleep(ctx, changeCheck)
			continue
		}
		g.log.Info().Str("control", c.address).Bool("current", c.first.GetCurrent()).Msg("controlAttended")
		better, err := g.follow(ctx, c)
		c.close()
		g.log.Warn().Str("control", c.address).Bool("replaced", better != nil).Err(err).Msg("controlLost")
		c = better
	}
	if c != nil {
		c.close()
	}
}

// race opens sessions with all known control daemons and returns the first that is current. If any will do, it returns
// another one soon after it was found.
func (g *Gateway) race(ctx context.Context, onlyCurrent bool) *candidate {
	ctx, cancel := context.WithTimeout(ctx, raceTime)
	defer cancel()
	addresses, starts := g.controlAddresses(), raceStarts
	if onlyCurrent {
		starts = 1
	}
	arrived := make(chan *candidate, len(addresses)*starts)
	for _, address := range addresses {
		for i := range starts {
			go func() {
				clock.Sleep(ctx, time.Duration(i)*raceStagger)
				arrived <- g.open(ctx, address)
			}()
		}
	}
	var best *candidate
	for range len(addresses) * starts {
		c := <-arrived
		if c == nil {
			continue
		}
		if onlyCurrent && !c.first.GetCurrent() {
			c.close()
			continue
		}
		if !onlyCurrent {
			time.AfterFunc(settleTime, cancel)
		}
		if best != nil && (best.first.GetCurrent() || !c.first.GetCurrent()) {
			c.close()
			continue
		}
		if best != nil {
			best.close()
		}
		best = c
		if c.first.GetCurrent() {
			cancel()
		}
	}
	return best
}

// open opens a session and returns it once its first update has arrived, or nil.
func (g *Gateway) open(race context.Context, address string) *candidate {
	if race.Err() != nil {
		return nil
	}
	conn, err := g.cfg.Keys.Dial(address, maxUpdateBytes)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(g.work)
	c := &candidate{address: address, conn: conn, cancel: cancel}
	lost := context.AfterFunc(race, cancel)
	c.stream, err = wiregen.NewFleetClient(conn).Attend(ctx)
	if err == nil {
		err = c.stream.Send(g.report(time.Now(), false))
	}
	if err == nil {
		c.first, err = c.stream.Recv()
	}
	if err != nil || !lost() {
		c.close()
		return nil
	}
	return c
}

// controlAddresses returns the control daemons that are known.
func (g *Gateway) controlAddresses() []string {
	g.controlsMu.Lock()
	defer g.controlsMu.Unlock()
	all := slices.Concat(g.controls, g.cfg.Controls)
	slices.Sort(all)
	return slices.Compact(all)
}

// follow takes updates and sends reports until the session ends or falls silent. While its control daemon has no leader
// it looks for one that has, and returns that.
func (g *Gateway) follow(ctx context.Context, c *candidate) (better *candidate, err error) {
	// What an earlier control daemon told of gateways that have gone since would never be taken back.
	clear(g.beliefs.gateways)
	g.take(c.address, c.first)
	now := time.Now()
	s := &session{
		gateway: g, candidate: c, updates: make(chan *wiregen.FleetUpdate, queuedUpdates), failed: make(chan error, 1),
		found: make(chan *candidate, 1), heard: now, currentAt: now,
	}
	go s.receive()
	defer s.leave()
	check := time.NewTicker(changeCheck)
	defer check.Stop()
	for {
		select {
		case u := <-s.updates:
			s.take(u)
		case err := <-s.failed:
			return nil, err
		case other := <-s.found:
			s.searching = false
			if other != nil && other.first.GetCurrent() && time.Since(s.currentAt) > staleTime {
				return other, &StaleControlError{Address: c.address, Behind: time.Since(s.currentAt)}
			}
			other.close()
		case now := <-check.C:
			if err := s.check(ctx, now); err != nil {
				return nil, err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// queuedUpdates is the number of updates that wait to be taken.
const queuedUpdates = 16

// session is what a gateway knows of its session with a control daemon.
type session struct {
	gateway   *Gateway
	candidate *candidate
	updates   chan *wiregen.FleetUpdate
	failed    chan error
	// found brings the result of a search for a control daemon that is current.
	found     chan *candidate
	searching bool
	searched  time.Time
	heard     time.Time
	currentAt time.Time
	reported  time.Time
	// ready and lingering are what was reported last.
	ready, lingering bool
}

// receive hands updates over until the stream ends.
func (s *session) receive() {
	for {
		u, err := s.candidate.stream.Recv()
		if err != nil {
			s.failed <- err
			close(s.updates)
			return
		}
		s.updates <- u
	}
}

// leave frees what still runs for the session; closing the candidate ends its stream.
func (s *session) leave() {
	go func() {
		for range s.updates {
			continue
		}
	}()
	if s.searching {
		go func() { (<-s.found).close() }()
	}
}

func (s *session) take(u *wiregen.FleetUpdate) {
	if u == nil {
		return
	}
	s.gateway.take(s.candidate.address, u)
	s.heard = time.Now()
	if u.GetCurrent() {
		s.currentAt = s.heard
	}
}

// check returns an error if the control daemon is silent; it begins a search if it is behind, and reports if that is due.
func (s *session) check(ctx context.Context, now time.Time) error {
	g := s.gateway
	if now.Sub(s.heard) > sessionSilence {
		return &SilentControlError{Address: s.candidate.address, Silence: now.Sub(s.heard)}
	}
	if now.Sub(s.currentAt) > staleTime && now.Sub(s.searched) > searchPeriod && !s.searching {
		s.searched, s.searching = now, true
		go func() { s.found <- g.race(ctx, true) }()
	}
	tells := g.tellsRoom()
	ready, lingering := g.Ready(), g.lingering(now)
	due := now.Sub(s.reported) >= reportPeriod || tells && now.Sub(s.reported) >= roomReportPeriod
	if !due && ready == s.ready && lingering == s.lingering {
		return nil
	}
	s.ready, s.lingering, s.reported = ready, lingering, now
	return s.candidate.stream.Send(g.report(now, tells))
}

func (g *Gateway) report(now time.Time, tells bool) *wiregen.GatewayReport {
	v := g.view.Load()
	m := wire.EncodeGateway(fleet.Gateway{
		Name: g.cfg.Name, Born: g.born, CallerAddress: g.cfg.CallerAddress, LoadAddress: g.cfg.LoadAddress,
		ForwardAddress: g.cfg.ForwardAddress, FailureDomain: g.cfg.FailureDomain, Region: g.cfg.Region, Ready: g.Ready(), Lingering: g.lingering(now),
	})
	m.RouteVersion = v.version()
	if tells {
		m.Room = g.placer.room(now, v)
	}
	return m
}

// tellsRoom reports whether this gateway tells its region's load: the first by name that is ready.
func (g *Gateway) tellsRoom() bool {
	if !g.Ready() {
		return false
	}
	for _, peer := range g.view.Load().peers(g.cfg.Region, g.cfg.Name) {
		if peer.Ready && peer.Name < g.cfg.Name {
			return false
		}
	}
	return true
}

// take brings the beliefs up to date.
func (g *Gateway) take(control string, u *wiregen.FleetUpdate) {
	now := time.Now()
	b := g.beliefs
	g.takeEndpoints(now, control, u.GetEndpoints())
	g.takeGateways(now, control, u.GetGateways())
	if u.GetEvacuationsTold() && (u.GetCurrent() || len(b.evacuated) == 0) {
		if !slices.Equal(b.evacuated, u.GetEvacuated()) {
			g.log.Info().Strs("evacuated", u.GetEvacuated()).Str("control", control).Msg("evacuationsChanged")
		}
		b.takeEvacuations(now, u.GetEvacuated())
	}
	for _, m := range u.GetRooms() {
		b.rooms[m.GetRegion()] = decodeRoom(now, m)
	}
	if len(u.GetControls()) > 0 {
		g.controlsMu.Lock()
		g.controls = u.GetControls()
		g.controlsMu.Unlock()
	}
	g.takeDocument(now, u)
	before := g.view.Load()
	v := b.refresh(now, u, before)
	v.heard, v.current, v.control = now, u.GetCurrent(), control
	if len(u.GetRooms()) > 0 {
		if regained := g.placer.roomsTold(now, before, u.GetRooms()); len(regained) > 0 {
			g.log.Info().Strs("regions", regained).Str("control", control).Msg("regionsHeardAgain")
		}
	}
	g.view.Store(v)
	if before.table == nil && v.table != nil {
		g.log.Info().Int64("routeVersion", v.version()).Msg("ready")
	}
}

func (g *Gateway) takeEndpoints(now time.Time, control string, records []*wiregen.EndpointRecord) {
	for _, m := range records {
		e := wire.DecodeFleetEndpoint(now, m)
		if g.beliefs.takeEndpoint(e) {
			g.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("state", e.State.String()).Str("address", e.Address).
				Dur("silent", now.Sub(e.Heard)).Bool("cold", e.Cold(now)).Str("control", control).Msg("endpointBelieved")
		}
		if e.State == fleet.Gone {
			g.pool.Drop(e.Address)
		}
	}
}

func (g *Gateway) takeGateways(now time.Time, control string, records []*wiregen.GatewayRecord) {
	known := g.beliefs.gateways
	for _, m := range records {
		told := wire.DecodeGateway(now.Add(-time.Duration(m.GetSilentMillis())*time.Millisecond), m.GetReport())
		if !m.GetGone() {
			known[told.Name] = told
			continue
		}
		if known[told.Name].Born <= told.Born {
			delete(known, told.Name)
			g.log.Info().Str("gateway", told.Name).Str("control", control).Msg("gatewayGone")
		}
	}
}

// takeDocument takes the document of an update. A gateway that has none yet waits for a while for a control daemon that
// is current, since another may be behind.
func (g *Gateway) takeDocument(now time.Time, u *wiregen.FleetUpdate) {
	b := g.beliefs
	if m := u.GetDocument(); m != nil {
		g.offered = configuration.Document{Version: m.GetVersion(), Content: m.GetContent()}
	}
	if g.offered.Version == 0 || !u.GetCurrent() && now.Sub(g.started) < staleDocumentTime {
		return
	}
	changed, err := b.takeDocument(g.offered)
	if err != nil {
		g.log.Error().Err(err).Int64("routeVersion", g.offered.Version).Msg("documentUnreadable")
	}
	if changed {
		g.log.Info().Int64("routeVersion", g.offered.Version).Bool("current", u.GetCurrent()).Msg("documentInForce")
	}
	g.offered = configuration.Document{}
}

func decodeRoom(now time.Time, m *wiregen.RegionRoom) regionRoom {
	room := regionRoom{heard: now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond), services: map[string]capacity.Room{}}
	for _, s := range m.GetRoom() {
		told := capacity.Room{
			Region: m.GetRegion(), PromptTokens: s.GetPromptTokens(), Endpoints: int(s.GetEndpoints()), Busy: float64(s.GetBusyPermille()) / permille,
		}
		for rank, wait := range s.GetWaitMillis()[:min(len(s.GetWaitMillis()), capacity.Ranks)] {
			told.Wait[rank] = time.Duration(wait) * time.Millisecond
		}
		room.services[s.GetService()] = told
	}
	return room
}
