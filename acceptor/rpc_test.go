package acceptor

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"arbutusreel/intake"
	"arbutusreel/wiregen"
)

type tellServer struct {
	wiregen.UnimplementedOutstandingServer

	// received counts messages.
	received *atomic.Int64
}

func (s tellServer) Tell(stream grpc.ClientStreamingServer[wiregen.OutstandingReport, wiregen.OutstandingReply]) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return stream.SendAndClose(&wiregen.OutstandingReply{})
		}
		s.received.Add(1)
	}
}

func newRPCServer(t *testing.T, limits intake.Limits) (a *Acceptor, address string) {
	t.Helper()
	return newClockedRPCServer(t, limits, time.Now, &atomic.Int64{})
}

func newClockedRPCServer(t *testing.T, limits intake.Limits, now func() time.Time, received *atomic.Int64) (a *Acceptor, address string) {
	t.Helper()
	a = New(limits, zerolog.Nop(), now)
	const window = 4 << 20
	s := grpc.NewServer(append(a.ServerOptions(), grpc.StaticStreamWindowSize(window), grpc.StaticConnWindowSize(window))...)
	wiregen.RegisterOutstandingServer(s, tellServer{received: received})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(a.RPCListener(l, waitTime)) }()
	t.Cleanup(s.Stop)
	return a, l.Addr().String()
}

// tell opens a stream of load reports over a new connection and sends one message.
func tell(t *testing.T, address string) grpc.ClientStreamingClient[wiregen.OutstandingReport, wiregen.OutstandingReply] {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), waitTime)
	t.Cleanup(cancel)
	stream, err := wiregen.NewOutstandingClient(conn).Tell(ctx, grpc.WaitForReady(true))
	if err == nil {
		err = stream.Send(&wiregen.OutstandingReport{})
	}
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// TestPeerLockedOut guards against connections without a whole message that take the places of peers, or end their calls.
func TestPeerLockedOut(t *testing.T) {
	a, address := newRPCServer(t, intake.Limits{Connections: 3})
	first := tell(t, address)
	until(t, "the first peer's message was read", func() bool { return a.Counts().Serving == 1 })
	for range 10 {
		dial(t, address).send(http2.ClientPreface)
	}
	second := tell(t, address)
	until(t, "the second peer's message was read", func() bool { return a.Counts().Serving == 2 })
	for _, stream := range []grpc.ClientStreamingClient[wiregen.OutstandingReport, wiregen.OutstandingReply]{first, second} {
		if _, err := stream.CloseAndRecv(); err != nil {
			t.Error(err)
		}
	}
}

// greet begins HTTP/2 on a new connection, and sends an empty message as the first of a call.
func greet(t *testing.T, received *atomic.Int64, address string) (framer *http2.Framer, head []byte) {
	t.Helper()
	var b bytes.Buffer
	encoder := hpack.NewEncoder(&b)
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", wiregen.Outstanding_Tell_FullMethodName}, {":authority", "a"}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
		_ = encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	c := dial(t, address)
	go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
	c.send(http2.ClientPreface)
	framer = http2.NewFramer(c.Conn, nil)
	before := received.Load()
	_ = framer.WriteSettings()
	_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: b.Bytes(), EndHeaders: true})
	_ = framer.WriteData(1, false, make([]byte, 5))
	until(t, "the message was read", func() bool { return received.Load() > before })
	return framer, b.Bytes()
}

// TestCallsAfterMessage guards against calls that are opened without end on connections whose first message was whole.
func TestCallsAfterMessage(t *testing.T) {
	const bound = 4 << 20
	var received atomic.Int64
	a, address := newClockedRPCServer(t, intake.Limits{Connections: 100, HeadBytes: bound, ServingYield: true}, time.Now, &received)
	for range 4 {
		framer, head := greet(t, &received, address)
		for i := range uint32(200) {
			_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*i + 3, BlockFragment: head, EndHeaders: true})
		}
	}
	until(t, "the calls fill the bound", func() bool { return a.Counts().HeadBytes > bound*3/4 })
	if got := a.Counts().HeadBytes; got > bound {
		t.Errorf("calls take %d bytes", got)
	}
	if _, err := tell(t, address).CloseAndRecv(); err != nil {
		t.Error(err)
	}
}

// TestPartMessagesAfterMessage guards against parts of messages that don't count on connections whose first message was whole:
// the oldest connections with such parts yield, and what ended or became whole counts no more.
func TestPartMessagesAfterMessage(t *testing.T) {
	const bound, part = 4 << 20, 1 << 20
	var received atomic.Int64
	a, address := newClockedRPCServer(t, intake.Limits{Connections: 100, HeadBytes: bound, ServingYield: true}, time.Now, &received)
	first, head := greet(t, &received, address)
	begin := func(framer *http2.Framer, stream uint32) {
		_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: head, EndHeaders: true})
		message := make([]byte, 16<<10)
		binary.BigEndian.PutUint32(message[1:], part+16<<10-5)
		for range part / len(message) {
			_ = framer.WriteData(stream, false, message)
			clear(message)
		}
	}
	begin(first, 3)
	until(t, "a part of a message counts", func() bool { return a.Counts().HeadBytes > part })
	_ = first.WriteData(3, false, make([]byte, 16<<10))
	until(t, "the whole message does not count", func() bool { return a.Counts().HeadBytes == 0 })
	begin(first, 5)
	until(t, "a part of a message counts", func() bool { return a.Counts().HeadBytes > part })
	_ = first.WriteRSTStream(5, http2.ErrCodeCancel)
	until(t, "a message of a call that was cancelled does not count", func() bool { return a.Counts().HeadBytes == 0 })
	var framers []*http2.Framer
	for range 8 {
		framer, _ := greet(t, &received, address)
		framers = append(framers, framer)
	}
	for _, framer := range framers {
		begin(framer, 3)
	}
	until(t, "connections yield", func() bool { return a.Counts().Shed > 0 && a.Counts().HeadBytes > bound/2 })
	if got := a.Counts().HeadBytes; got > bound {
		t.Errorf("parts of messages take %d bytes", got)
	}
	if _, err := tell(t, address).CloseAndRecv(); err != nil {
		t.Error(err)
	}
}

// TestQuietPeers guards against places of peers that are held by connections whose clients send messages no more; those that do
// keep theirs.
func TestQuietPeers(t *testing.T) {
	var passed, received atomic.Int64
	a, address := newClockedRPCServer(t, intake.Limits{Connections: 2}, func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }, &received)
	reporting := tell(t, address)
	until(t, "the first message was read", func() bool { return a.Counts().Serving == 1 })
	quiet := tell(t, address)
	until(t, "the second message was read", func() bool { return a.Counts().Serving == 2 })
	passed.Store(int64(quietTime))
	if err := reporting.Send(&wiregen.OutstandingReport{}); err != nil {
		t.Fatal(err)
	}
	until(t, "the report was read", func() bool { return received.Load() == 3 })
	if _, err := tell(t, address).CloseAndRecv(); err != nil {
		t.Errorf("a new peer has no place: %v", err)
	}
	if _, err := quiet.CloseAndRecv(); err == nil {
		t.Error("the quiet peer kept its place")
	}
	if _, err := reporting.CloseAndRecv(); err != nil {
		t.Errorf("the reporting peer lost its place: %v", err)
	}
}

// TestStreamsWithoutMessages guards against calls that are opened without end and never send a message.
func TestStreamsWithoutMessages(t *testing.T) {
	const bound = 4 << 20
	a, address := newRPCServer(t, intake.Limits{Connections: 100, HeadBytes: bound})
	var head bytes.Buffer
	encoder := hpack.NewEncoder(&head)
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", wiregen.Outstanding_Tell_FullMethodName}, {":authority", "a"}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
		_ = encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	for range 4 {
		c := dial(t, address)
		go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
		c.send(http2.ClientPreface)
		framer := http2.NewFramer(c.Conn, nil)
		_ = framer.WriteSettings()
		for i := range uint32(200) {
			_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: head.Bytes(), EndHeaders: true})
		}
	}
	until(t, "the calls fill the bound", func() bool { return a.Counts().HeadBytes > bound*3/4 })
	if got := a.Counts().HeadBytes; got > bound {
		t.Errorf("calls without a message take %d bytes", got)
	}
	if _, err := tell(t, address).CloseAndRecv(); err != nil {
		t.Error(err)
	}
}
