package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/clock"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

const (
	// loadPeriod is how often changed loads are told to the other gateways of the region at least, and loadPeriodEach the
	// time for each of them: what all of them send then grows with their number, not with its square.
	loadPeriod     = 25 * time.Millisecond
	loadPeriodEach = 7 * time.Millisecond
	// loadSignOfLife is how often a gateway without changes says that it is alive.
	loadSignOfLife = 500 * time.Millisecond
	// loadStuck is how long one report may take before the stream is given up.
	loadStuck = time.Second
)

// tellLoads keeps a stream to each other gateway of the region until ctx ends.
func (g *Gateway) tellLoads(ctx context.Context) {
	streams := map[string]*loadStream{}
	all := time.Time{}
	for clock.Sleep(ctx, max(loadPeriod, time.Duration(len(streams))*loadPeriodEach)) {
		peers := map[string]fleet.Gateway{}
		for _, peer := range g.view.Load().peers(g.cfg.Region, g.cfg.Name) {
			peers[peer.Name] = peer
		}
		for name, s := range streams {
			if peer, ok := peers[name]; !ok || peer.LoadAddress != s.address {
				s.cancel()
				delete(streams, name)
			}
		}
		for name, peer := range peers {
			if streams[name] == nil {
				streams[name] = g.openLoads(ctx, peer.LoadAddress)
			}
		}
		now := time.Now()
		changes := g.placer.outstandingChanges(now, false)
		if len(changes) == 0 && now.Sub(all) < loadSignOfLife {
			continue
		}
		all = now
		m := &wiregen.OutstandingReport{Gateway: g.cfg.Name, Born: g.born, Outstanding: changes}
		for _, s := range streams {
			s.offer(m)
		}
	}
	for _, s := range streams {
		s.cancel()
	}
}

// loadStream carries reports to one gateway; reports that do not fit are dropped with the stream, which begins anew
// with everything.
type loadStream struct {
	address string
	reports chan *wiregen.OutstandingReport
	cancel  context.CancelFunc
	restart chan struct{}
}

// queuedReports is the number of reports that wait for one stream.
const queuedReports = 16

func (s *loadStream) offer(m *wiregen.OutstandingReport) {
	select {
	case s.reports <- m:
	default:
		select {
		case s.restart <- struct{}{}:
		default:
		}
	}
}

func (g *Gateway) openLoads(ctx context.Context, address string) *loadStream {
	ctx, cancel := context.WithCancel(ctx)
	s := &loadStream{address: address, reports: make(chan *wiregen.OutstandingReport, queuedReports), cancel: cancel, restart: make(chan struct{}, 1)}
	g.wg.Go(func() {
		for ctx.Err() == nil {
			if err := g.runLoads(ctx, s); err != nil && ctx.Err() == nil {
				g.log.Debug().Str("gateway", address).Err(err).Msg("loadStreamLost")
			}
			clock.Sleep(ctx, changeCheck)
		}
	})
	return s
}

func (g *Gateway) runLoads(ctx context.Context, s *loadStream) error {
	conn, err := g.cfg.Keys.Dial(s.address, maxUpdateBytes)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wiregen.NewOutstandingClient(conn).Tell(ctx)
	if err != nil {
		return err
	}
	send := func(m *wiregen.OutstandingReport) error {
		stuck := time.AfterFunc(loadStuck, cancel)
		defer stuck.Stop()
		return stream.Send(m)
	}
	if err := send(&wiregen.OutstandingReport{Gateway: g.cfg.Name, Born: g.born, Outstanding: g.placer.outstandingChanges(time.Now(), true)}); err != nil {
		return err
	}
	for {
		select {
		case m := <-s.reports:
			if err := send(m); err != nil {
				return err
			}
		case <-s.restart:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Tell takes the loads of another gateway.
func (g *Gateway) Tell(stream grpc.ClientStreamingServer[wiregen.OutstandingReport, wiregen.OutstandingReply]) error {
	name := ""
	for {
		m, err := stream.Recv()
		if err != nil {
			if name != "" {
				g.placer.peerGone(name)
			}
			if errors.Is(err, io.EOF) {
				return stream.SendAndClose(&wiregen.OutstandingReply{})
			}
			return err
		}
		g.placer.peerTold(time.Now(), m, name == "")
		name = m.GetGateway()
	}
}
