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
	// loadReportPeriod is the least interval at which changed loads are reported to the other gateways of the region.
	// With more of them the interval is loadReportPeriodPerPeer times their number, so that the total traffic grows with
	// the number of gateways and not with its square.
	loadReportPeriod        = 25 * time.Millisecond
	loadReportPeriodPerPeer = 7 * time.Millisecond
	// loadHeartbeatPeriod is the interval of empty reports from a gateway whose loads do not change.
	loadHeartbeatPeriod = 500 * time.Millisecond
	// loadSendTimeout bounds the sending of one report, after which the stream is closed.
	loadSendTimeout = time.Second
)

// reportLoads keeps a load stream to each other gateway of the region until ctx ends.
func (g *Gateway) reportLoads(ctx context.Context) {
	streams := map[string]*loadStream{}
	lastSent := time.Time{}
	for clock.Sleep(ctx, max(loadReportPeriod, time.Duration(len(streams))*loadReportPeriodPerPeer)) {
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
				streams[name] = g.openLoadStream(ctx, peer.LoadAddress)
			}
		}
		now := time.Now()
		m := g.placer.loadReport(now, g.born, false)
		if len(m.GetOutstanding()) == 0 && len(m.GetDepartures()) == 0 && now.Sub(lastSent) < loadHeartbeatPeriod {
			continue
		}
		lastSent = now
		for _, s := range streams {
			s.enqueue(m)
		}
	}
	for _, s := range streams {
		s.cancel()
	}
}

// loadStream sends reports to one gateway. If its queue is full, the report is dropped and the stream is reopened,
// which starts with a full report.
type loadStream struct {
	address string
	reports chan *wiregen.OutstandingReport
	cancel  context.CancelFunc
	restart chan struct{}
}

// reportQueueLength is the number of reports that may wait for one stream.
const reportQueueLength = 16

// enqueue adds a report to the queue, or requests a new stream if the queue is full.
func (s *loadStream) enqueue(m *wiregen.OutstandingReport) {
	select {
	case s.reports <- m:
	default:
		select {
		case s.restart <- struct{}{}:
		default:
		}
	}
}

// openLoadStream starts sending reports to an address and reconnects until it is canceled.
func (g *Gateway) openLoadStream(ctx context.Context, address string) *loadStream {
	ctx, cancel := context.WithCancel(ctx)
	s := &loadStream{address: address, reports: make(chan *wiregen.OutstandingReport, reportQueueLength), cancel: cancel, restart: make(chan struct{}, 1)}
	g.wg.Go(func() {
		for ctx.Err() == nil {
			if err := g.runLoadStream(ctx, s); err != nil && ctx.Err() == nil {
				g.log.Debug().Str("gateway", address).Err(err).Msg("load stream failed")
			}
			clock.Sleep(ctx, pollPeriod)
		}
	})
	return s
}

// runLoadStream sends a full report and then the queued ones, until an error or a requested restart.
func (g *Gateway) runLoadStream(ctx context.Context, s *loadStream) error {
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
		timer := time.AfterFunc(loadSendTimeout, cancel)
		defer timer.Stop()
		return stream.Send(m)
	}
	if err := send(g.placer.loadReport(time.Now(), g.born, true)); err != nil {
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

// Tell receives the load reports of another gateway.
func (g *Gateway) Tell(stream grpc.ClientStreamingServer[wiregen.OutstandingReport, wiregen.OutstandingReply]) error {
	name := ""
	for {
		m, err := stream.Recv()
		if err != nil {
			if name != "" {
				g.placer.removePeer(name)
			}
			if errors.Is(err, io.EOF) {
				return stream.SendAndClose(&wiregen.OutstandingReply{})
			}
			return err
		}
		g.placer.updatePeer(time.Now(), m, name == "")
		name = m.GetGateway()
	}
}
