package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/keys"
)

// peers holds one connection to each other control daemon that this one calls. A connection whose call reached its deadline
// is replaced, as it may be dead without a reset.
type peers struct {
	keys *keys.Source

	mu          sync.Mutex
	connections map[string]*peerConnection
	// replaced holds the connections that no further call uses.
	replaced map[*peerConnection]bool
}

// peerConnection is a connection with the number of its calls in progress.
type peerConnection struct {
	*grpc.ClientConn
	calls int
}

func newPeers(source *keys.Source) *peers {
	return &peers{keys: source, connections: map[string]*peerConnection{}, replaced: map[*peerConnection]bool{}}
}

// begin returns the connection for a call, after which end must be called.
func (p *peers) begin(address string) (*peerConnection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.connections[address]
	if conn == nil {
		dialed, err := p.keys.Dial(address, maxMessageBytes)
		if err != nil {
			return nil, err
		}
		conn = &peerConnection{ClientConn: dialed}
		p.connections[address] = conn
	}
	conn.calls++
	return conn, nil
}

// end ends a call. A connection that is to be replaced is closed after its last call.
func (p *peers) end(address string, conn *peerConnection, replace bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.calls--
	if replace && p.connections[address] == conn {
		delete(p.connections, address)
		p.replaced[conn] = true
	}
	if conn.calls == 0 && p.replaced[conn] {
		delete(p.replaced, conn)
		_ = conn.Close()
	}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.connections {
		_ = conn.Close()
	}
	for conn := range p.replaced {
		_ = conn.Close()
	}
	p.connections, p.replaced = map[string]*peerConnection{}, map[*peerConnection]bool{}
}

// callPeer calls a control daemon, and replaces the connection if the call failed at its deadline. A call that was cancelled says
// nothing about the connection.
func callPeer[T any](ctx context.Context, p *peers, address string, call func(context.Context, grpc.ClientConnInterface) (T, error)) (T, error) {
	conn, err := p.begin(address)
	if err != nil {
		var zero T
		return zero, err
	}
	reply, err := call(ctx, conn)
	p.end(address, conn, err != nil && deadlinePassed(ctx, time.Now()))
	return reply, err
}

// deadlinePassed reports whether now is at or after the deadline of ctx. The peer may end a call at its deadline before the context
// of the caller has expired.
func deadlinePassed(ctx context.Context, now time.Time) bool {
	deadline, ok := ctx.Deadline()
	return ok && !now.Before(deadline)
}
