package gateway

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/keys"
	"arbutusreel/wiregen"
)

// tellSink receives load reports and drops them.
type tellSink struct {
	wiregen.UnimplementedOutstandingServer

	received chan struct{}
}

func (s *tellSink) Tell(stream grpc.ClientStreamingServer[wiregen.OutstandingReport, wiregen.OutstandingReply]) error {
	for {
		switch _, err := stream.Recv(); {
		case errors.Is(err, io.EOF):
			return stream.SendAndClose(&wiregen.OutstandingReply{})
		case err != nil:
			return err
		}
		s.received <- struct{}{}
	}
}

// BenchmarkLoadMessage measures the processor time of sender and receiver for one load report over a connection on loopback, at the
// pace of load reports of 40 links.
func BenchmarkLoadMessage(b *testing.B) {
	const links = 40
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	sink := &tellSink{received: make(chan struct{}, links)}
	server := newLoadServer(keys.Plain(), nil)
	wiregen.RegisterOutstandingServer(server, sink)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	var streams []grpc.ClientStreamingClient[wiregen.OutstandingReport, wiregen.OutstandingReply]
	for range links {
		conn, err := keys.Plain().Dial(listener.Addr().String(), maxUpdateBytes)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		stream, err := wiregen.NewOutstandingClient(conn).Tell(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		streams = append(streams, stream)
	}
	m := &wiregen.OutstandingReport{Gateway: "gateway-1", Sequence: 1, Outstanding: []*wiregen.EndpointOutstanding{{Endpoint: "engine-one-1", Requests: 3, HeldTokens: 9000}}}
	before := processorTime(b)
	rounds := 0
	for b.Loop() {
		for _, stream := range streams {
			if err := stream.Send(m); err != nil {
				b.Fatal(err)
			}
		}
		for range links {
			<-sink.received
		}
		rounds++
		time.Sleep(loadReportPeriod)
	}
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(rounds*links), "cpu-ns/message")
}
