package acceptor

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"arbutusreel/intake"
)

const (
	// maxStreams bounds the calls in progress on one connection.
	maxStreams = 1024
	// maxCallHeadBytes bounds the head of a call.
	maxCallHeadBytes = 16 << 10
	// handshakeTime bounds the start of a connection.
	handshakeTime = 5 * time.Second
	// streamCost is the memory for a call on a connection without a whole message, in bytes, and callCost that for one in progress
	// on others.
	streamCost = 64 << 10
	callCost   = 16 << 10
	// uncountedBytes is what a connection may take without being counted: one call before its first whole message, and four after
	// it.
	uncountedBytes = streamCost + 4<<10
)

// RPCListener returns a listener for a gRPC server within the bounds; the server needs ServerOptions. A connection counts as
// waiting until the first message of a call is whole, and what it has sent until then counts as a head. After that its calls in
// progress count, and if it is not encrypted the parts of messages that are not whole; its place may be taken when it has sent no
// message for quietTime. A connection ends when sent bytes are not acknowledged for unackedTime, which gRPC sets only on
// connections of package net. A nil acceptor sets no bounds and returns l.
func (a *Acceptor) RPCListener(l net.Listener, unackedTime time.Duration) net.Listener {
	if a == nil {
		return l
	}
	return rpcListener{listener: newListener(l, a, nil), unackedTime: unackedTime}
}

// ServerOptions returns the options of a gRPC server that uses RPCListener.
func (a *Acceptor) ServerOptions() []grpc.ServerOption {
	bounds := []grpc.ServerOption{grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxCallHeadBytes), grpc.ConnectionTimeout(handshakeTime)}
	if a == nil {
		return bounds
	}
	return append(bounds,
		grpc.InTapHandle(func(ctx context.Context, _ *tap.Info) (context.Context, error) {
			if c := rpcConnOf(ctx); c != nil && !c.admit(ctx) {
				return nil, status.Error(codes.ResourceExhausted, "too many calls")
			}
			return ctx, nil
		}),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
			if c := rpcConnOf(ctx); c != nil {
				c.markWhole()
			}
			return handler(ctx, req)
		}),
		grpc.ChainStreamInterceptor(func(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
			if c := rpcConnOf(stream.Context()); c != nil && !c.whole.Load() {
				stream = firstMessage{ServerStream: stream, conn: c}
			}
			return handler(srv, stream)
		}),
	)
}

type rpcListener struct {
	listener

	unackedTime time.Duration
}

// Accept returns the next connection that is not refused.
func (l rpcListener) Accept() (net.Conn, error) {
	nc, err := l.listener.Accept()
	if err != nil {
		return nil, err
	}
	c, ok := nc.(*Conn)
	if !ok {
		return nc, nil
	}
	c.readsHead.Store(false)
	setUnackedTime(c.TCPConn, l.unackedTime)
	return &rpcConn{Conn: c}, nil
}

func setUnackedTime(c *net.TCPConn, d time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// rpcConn is a connection to a gRPC server.
type rpcConn struct {
	*Conn

	// whole is set once a message was whole; received counts what came before, in bytes.
	whole    atomic.Bool
	received atomic.Int64
	// calls counts the calls in progress, and counted is set while what the connection takes counts.
	calls   atomic.Int64
	counted atomic.Bool
	// mu guards messages.
	mu       sync.Mutex
	messages messages
}

// rpcAddr is the address of a client, by which the calls of a connection find it.
type rpcAddr struct {
	net.Addr

	conn *rpcConn
}

// RemoteAddr returns the address of the client.
func (c *rpcConn) RemoteAddr() net.Addr { return rpcAddr{Addr: c.Conn.RemoteAddr(), conn: c} }

// Read reads from the client.
func (c *rpcConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.receive(b[:n]) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.Conn.RemoteAddr(), Err: net.ErrClosed}
	}
	return n, err
}

// Write writes to the client.
func (c *rpcConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.messages.send(b)
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// receive counts what the client has sent. It returns false if the connection has been given up.
func (c *rpcConn) receive(b []byte) bool {
	c.mu.Lock()
	before := c.messages.held.Whole()
	c.messages.receive(b)
	heard := c.messages.opaque || c.messages.held.Whole() > before
	c.mu.Unlock()
	if heard {
		c.heardAt.Store(int64(max(c.acceptor.now().Sub(c.acceptor.started), 1)))
	}
	if !c.whole.Load() {
		c.received.Add(int64(len(b)))
	}
	return c.settle()
}

// cost returns what the connection takes, in bytes.
func (c *rpcConn) cost() int64 {
	if !c.whole.Load() {
		return c.received.Load()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return callCost*c.calls.Load() + c.messages.held.Size()
}

// settle counts what the connection takes. It returns false if the connection has been given up.
func (c *rpcConn) settle() bool {
	if cost := c.cost(); cost > uncountedBytes {
		c.counted.Store(true)
		return c.growHead(cost)
	}
	if !c.counted.Swap(false) {
		return true
	}
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.acceptor.register.EndHead(c.entry)
	return !c.entry.GivenUp()
}

// admit counts a call, which ends with its context; it returns false if there is no room for it. Closing the connection instead
// would let clients have calls started and torn down without end.
func (c *rpcConn) admit(ctx context.Context) bool {
	a := c.acceptor
	added := int64(streamCost)
	if c.whole.Load() {
		added = callCost
	}
	if cost := c.cost() + added; cost > uncountedBytes {
		a.mu.Lock()
		fits := a.register.Fits(c.entry, cost)
		a.mu.Unlock()
		if !fits {
			return false
		}
	}
	c.calls.Add(1)
	context.AfterFunc(ctx, func() {
		c.calls.Add(-1)
		if c.whole.Load() {
			c.settle()
		}
	})
	if !c.whole.Load() {
		c.received.Add(streamCost)
	}
	return c.settle()
}

// markWhole records that a message of a call was whole.
func (c *rpcConn) markWhole() {
	if !c.whole.CompareAndSwap(false, true) {
		return
	}
	a := c.acceptor
	a.mu.Lock()
	a.register.Enter(c.entry, intake.Serving)
	a.mu.Unlock()
	c.settle()
}

func rpcConnOf(ctx context.Context) *rpcConn {
	if p, ok := peer.FromContext(ctx); ok {
		if addr, ok := p.Addr.(rpcAddr); ok {
			return addr.conn
		}
	}
	return nil
}

// firstMessage is a stream on a connection without a whole message.
type firstMessage struct {
	grpc.ServerStream

	conn *rpcConn
}

// RecvMsg receives a message.
func (s firstMessage) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	if err == nil {
		s.conn.markWhole()
	}
	return err
}
