package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/keepalive"

	"arbutusreel/keys"
	"arbutusreel/wiregen"
)

// Limits of the connections to other entries.
const (
	peerConnectTimeout = time.Second
	peerBackoff        = 100 * time.Millisecond
	peerMaxBackoff     = time.Second
	peerBackoffFactor  = 1.6
	peerBackoffJitter  = 0.2
	maxForwardBytes    = 16 << 20
)

// peers manages the connections to the other entries.
type peers struct {
	state *state
	self  string
	keys  *keys.Source
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newPeers(s *state, self string, source *keys.Source) *peers {
	return &peers{state: s, self: self, keys: source, conns: map[string]*grpc.ClientConn{}}
}

// client returns a client of the peer at the address; the connection is established on first use.
func (p *peers) client(address string) (wiregen.PeerClient, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return wiregen.NewPeerClient(conn), nil
}

// connectedClient returns a client of the peer at the address once its connection is ready. Otherwise it returns an
// error, and nothing was sent.
func (p *peers) connectedClient(ctx context.Context, address string) (wiregen.PeerClient, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerConnectTimeout)
	defer cancel()
	conn.Connect()
	if conn.GetState() == connectivity.TransientFailure {
		conn.ResetConnectBackoff()
		conn.WaitForStateChange(ctx, connectivity.TransientFailure)
	}
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		if state == connectivity.TransientFailure || !conn.WaitForStateChange(ctx, state) {
			return nil, &PeerUnreachableError{Address: address}
		}
		conn.Connect()
	}
	return wiregen.NewPeerClient(conn), nil
}

func (p *peers) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.keys.Client(p.nameAt(address))),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: peerPingPeriod, Timeout: peerPingTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxForwardBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: peerBackoff, MaxDelay: peerMaxBackoff, Multiplier: peerBackoffFactor, Jitter: peerBackoffJitter},
			MinConnectTimeout: peerConnectTimeout,
		}))
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return conn, nil
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}
