package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"arbutusreel/acceptor"
	"arbutusreel/clock"
	"arbutusreel/fleet"
	"arbutusreel/keys"
	"arbutusreel/origin"
	"arbutusreel/wiregen"
)

const (
	// loadReportPeriod is the least interval at which changed loads are reported to the other gateways of the region.
	// With more links the interval is loadReportPeriodPerLink times their number, which bounds the messages of a
	// gateway.
	loadReportPeriod        = 25 * time.Millisecond
	loadReportPeriodPerLink = 4 * time.Millisecond
	// wholeReportPeriod is the interval of whole reports, which replace what earlier ones said.
	wholeReportPeriod = time.Second
	// linkCheckPeriod is the interval at which the links are compared with the gateways of the region.
	linkCheckPeriod = 200 * time.Millisecond
	// loadSendTimeout bounds the sending of one report, after which the stream is closed.
	loadSendTimeout = time.Second
	// loadUnackedTime is how long bytes to another gateway may stay unacknowledged on its connection.
	loadUnackedTime = 20 * time.Second
)

// reportLoads keeps a load stream to each gateway that this one is linked to until ctx ends. It sends nothing while there
// is nothing to report.
func (g *Gateway) reportLoads(ctx context.Context) {
	streams := map[string]*loadStream{}
	var sentAt, wholeAt, linkedAt time.Time
	logged := ""
	check := time.NewTicker(linkCheckPeriod)
	defer check.Stop()
	for {
		select {
		case <-g.relay.changed:
		case <-g.placer.loadsChanged:
		case <-g.origins.changed:
		case <-g.crashes.changed:
		case <-check.C:
			g.allotments.touch(time.Now())
		case <-ctx.Done():
			return
		}
		period := max(loadReportPeriod, time.Duration(len(streams))*loadReportPeriodPerLink)
		if !clock.Sleep(ctx, period-time.Since(sentAt)) {
			return
		}
		now := time.Now()
		if now.Sub(linkedAt) >= linkCheckPeriod {
			linkedAt = now
			g.updateLoadStreams(ctx, streams)
			logged = g.logSignatures(now, logged)
			g.placer.checkSilence(now)
		}
		whole := now.Sub(wholeAt) >= wholeReportPeriod
		if whole {
			wholeAt = now
		}
		if g.sendReports(streams, g.placer.loadReport(now, g.born, whole)) {
			sentAt = now
		}
	}
}

// sendReports sends the own report, which may be nil, and what else waits for the other gateways of the region. It
// reports whether there was anything to send.
func (g *Gateway) sendReports(streams map[string]*loadStream, own *wiregen.OutstandingReport) bool {
	messages := g.relay.take(own)
	if len(streams) > 0 {
		g.origins.takeInto(messages)
		g.crashes.takeInto(messages)
	}
	encoded := map[wiregen.ReportLink]encodedReport{}
	for _, s := range streams {
		m := messages[s.link]
		if m == nil {
			continue
		}
		if encoded[s.link] == nil {
			encoded[s.link] = g.encodeReport(m)
		}
		if !s.enqueue(encoded[s.link]) {
			g.origins.dropped.Add(int64(origin.Size(decodeOrigins(m.GetOrigins()))))
		}
	}
	return len(messages) > 0
}

// encodeReport encodes a message for the links of one kind.
func (g *Gateway) encodeReport(m *wiregen.OutstandingReport) encodedReport {
	b, err := proto.Marshal(m)
	if err != nil {
		g.log.Error().Err(err).Msg("load report cannot be encoded")
	}
	return b
}

// updateLoadStreams opens and closes streams according to the present links.
func (g *Gateway) updateLoadStreams(ctx context.Context, streams map[string]*loadStream) {
	links := fleet.NewLinks(g.self(), g.view.Load().peers(g.cfg.Region, g.cfg.Name))
	linked := map[string]bool{}
	for link, peers := range map[wiregen.ReportLink][]fleet.Gateway{
		wiregen.ReportLink_row: links.Row, wiregen.ReportLink_column: links.Column, wiregen.ReportLink_domain: links.Domains,
	} {
		for _, peer := range peers {
			linked[peer.LoadAddress] = true
			s := streams[peer.LoadAddress]
			if s == nil {
				s = g.openLoadStream(ctx, peer.LoadAddress)
				streams[peer.LoadAddress] = s
				if batches, _ := g.origins.ownRecords(time.Now(), -1); len(batches) > 0 {
					s.enqueue(g.encodeReport(&wiregen.OutstandingReport{Link: link, Origins: encodeOrigins(batches)}))
				}
			}
			s.link = link
			s.relayed.Store(int32(link))
		}
	}
	for address, s := range streams {
		if !linked[address] {
			s.cancel()
			delete(streams, address)
		}
	}
}

// loadStream sends reports to one gateway. If its queue is full, the report is dropped and the stream is reopened; the
// next whole reports make up for it.
type loadStream struct {
	address string
	// link is the link that the stream serves. Only the goroutine of reportLoads uses it.
	link wiregen.ReportLink
	// relayed is the same for the goroutine of the stream.
	relayed atomic.Int32
	reports chan encodedReport
	cancel  context.CancelFunc
	restart chan struct{}
}

// reportQueueLength is the number of reports that may wait for one stream.
const reportQueueLength = 16

// enqueue adds a report to the queue, or drops it, returns false and requests a new stream if the queue is full.
func (s *loadStream) enqueue(m encodedReport) bool {
	select {
	case s.reports <- m:
		return true
	default:
		signal(s.restart)
		return false
	}
}

// openLoadStream starts sending reports to an address and reconnects until it is canceled.
func (g *Gateway) openLoadStream(ctx context.Context, address string) *loadStream {
	ctx, cancel := context.WithCancel(ctx)
	s := &loadStream{address: address, reports: make(chan encodedReport, reportQueueLength), cancel: cancel, restart: make(chan struct{}, 1)}
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

// runLoadStream sends the queued reports, until an error or a requested restart.
func (g *Gateway) runLoadStream(ctx context.Context, s *loadStream) error {
	conn, err := g.cfg.Keys.Dial(s.address, maxUpdateBytes)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wiregen.NewOutstandingClient(conn).Tell(ctx, grpc.ForceCodecV2(newReportCodec()))
	if err != nil {
		return err
	}
	send := func(m any) error {
		timer := time.AfterFunc(loadSendTimeout, cancel)
		defer timer.Stop()
		return stream.SendMsg(m)
	}
	// Evidence that was lost with an earlier stream is replaced.
	if evidence, _ := g.crashes.since(-1); evidence != nil {
		if err := send(&wiregen.OutstandingReport{Link: wiregen.ReportLink(s.relayed.Load()), Crashes: evidence}); err != nil {
			return err
		}
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

// Tell serves the stream of load reports from another gateway, which holds its own reports and those it relays.
func (g *Gateway) Tell(stream grpc.ClientStreamingServer[wiregen.OutstandingReport, wiregen.OutstandingReply]) error {
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&wiregen.OutstandingReply{})
		}
		if err != nil {
			return err
		}
		now := time.Now()
		receiveReports(now, g.placer, g.relay, m)
		g.origins.receive(now, m.GetLink(), decodeOrigins(m.GetOrigins()))
		g.crashes.receive(now, m.GetLink(), m.GetCrashes())
	}
}

// newLoadServer returns the server of load reports and origin records.
func newLoadServer(source *keys.Source, connections *acceptor.Acceptor) *grpc.Server {
	return grpc.NewServer(append(connections.ServerOptions(),
		grpc.Creds(source.Server()), grpc.StaticStreamWindowSize(keys.WindowBytes), grpc.StaticConnWindowSize(keys.WindowBytes))...)
}
