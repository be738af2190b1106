package control

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	"arbutusreel/keys"
)

// peers holds one connection to each other control daemon that this one calls. A connection whose call timed out is
// replaced, as it may be dead without a reset.
type peers struct {
	keys *keys.Source

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

func newPeers(source *keys.Source) *peers {
	return &peers{keys: source, connections: map[string]*grpc.ClientConn{}}
}

func (p *peers) get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.connections[address]; conn != nil {
		return conn, nil
	}
	conn, err := p.keys.Dial(address, maxMessageBytes)
	if err != nil {
		return nil, err
	}
	p.connections[address] = conn
	return conn, nil
}

// drop closes a connection whose call timed out.
func (p *peers) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.connections[address]; conn != nil {
		_ = conn.Close()
		delete(p.connections, address)
	}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.connections {
		_ = conn.Close()
	}
	p.connections = map[string]*grpc.ClientConn{}
}

// callPeer calls a control daemon and drops the connection if the call's context has ended.
func callPeer[T any](ctx context.Context, p *peers, address string, call func(context.Context, grpc.ClientConnInterface) (T, error)) (T, error) {
	var zero T
	conn, err := p.get(address)
	if err != nil {
		return zero, err
	}
	reply, err := call(ctx, conn)
	if ctx.Err() != nil {
		p.drop(address)
	}
	return reply, err
}
