package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"arbutusreel/wiregen"
)

// Keepalive parameters of the connections between entries.
const (
	peerIdlePingPeriod = 5 * time.Second
	peerPingPeriod     = 10 * time.Second
	peerPingTimeout    = 5 * time.Second
	peerMinPingPeriod  = 2 * time.Second
)

// shutdownTimeout is how long shutdown waits for connections to close when no request is in progress.
const shutdownTimeout = 2 * time.Second

// servers holds the servers of an entry.
type servers struct {
	callers   *http.Server
	endpoints *http.Server
	peers     *grpc.Server
}

// newServers returns the servers; callers' requests are cancelled when the context requests ends.
func (n *Entry) newServers(requests context.Context) servers {
	s := servers{
		callers: &http.Server{
			Handler:           n.callerHandler(),
			MaxHeaderBytes:    n.cfg.MaxHeaderBytes + headerSlack,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       callerIdleTimeout,
			BaseContext:       func(net.Listener) context.Context { return requests },
		},
		endpoints: &http.Server{Handler: n.cfg.Connections.BoundBodies(n.endpointHandler()), ReadHeaderTimeout: headerTimeout},
		peers: grpc.NewServer(append(n.cfg.PeerConnections.ServerOptions(),
			grpc.Creds(n.cfg.Keys.Server()),
			grpc.MaxRecvMsgSize(maxForwardBytes+int(n.cfg.MaxBodyBytes)),
			grpc.KeepaliveParams(keepalive.ServerParameters{Time: peerIdlePingPeriod, Timeout: peerPingTimeout}),
			grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: peerMinPingPeriod, PermitWithoutStream: true}),
		)...),
	}
	n.cfg.Connections.Configure(s.callers)
	n.cfg.Connections.Configure(s.endpoints)
	wiregen.RegisterPeerServer(s.peers, n)
	wiregen.RegisterPlacementServer(s.peers, n)
	wiregen.RegisterLimitsServer(s.peers, limitsServer{limiter: n.limiter})
	return s
}

// shutdown closes the servers gracefully: requests that arrive meanwhile are answered within shutdownTimeout.
func (s servers) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	graceful := make(chan struct{})
	go func() {
		defer close(graceful)
		s.peers.GracefulStop()
	}()
	_ = s.callers.Shutdown(ctx)
	_ = s.endpoints.Shutdown(ctx)
	select {
	case <-graceful:
	case <-ctx.Done():
	}
	_ = s.callers.Close()
	_ = s.endpoints.Close()
	s.peers.Stop()
	<-graceful
}
