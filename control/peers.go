package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"arbutusreel/keys"
)

// peers holds one connection to each other control daemon that this one calls. A connection whose call ran out of time
// is replaced, as it may have gone silent without a reset.
type peers struct {
	keys *keys.Source

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

func newPeers(source *keys.Source) *peers {
	return &peers{keys: source, connections: map[string]*grpc.ClientConn{}}
}

// peerBackoff bounds the waits between attempts to connect, so that a peer is found soon after a partition.
func peerBackoff() backoff.Config {
	return backoff.Config{BaseDelay: linkBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}
}

// dialPeer returns a connection to a control daemon that reconnects by itself.
func dialPeer(source *keys.Source, address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(source.Client(address)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: peerBackoff(), MinConnectTimeout: linkConnectTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
}

func (p *peers) get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.connections[address]; conn != nil {
		return conn, nil
	}
	conn, err := dialPeer(p.keys, address)
	if err != nil {
		return nil, err
	}
	p.connections[address] = conn
	return conn, nil
}

// drop closes a connection that did not answer in time.
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

// callPeer calls a control daemon and gives its connection up if the call ran out of time.
func callPeer[T any](ctx context.Context, p *peers, address string, call func(context.Context, grpc.ClientConnInterface) (T, error)) (T, error) {
	var none T
	conn, err := p.get(address)
	if err != nil {
		return none, err
	}
	reply, err := call(ctx, conn)
	if ctx.Err() != nil {
		p.drop(address)
	}
	return reply, err
}
