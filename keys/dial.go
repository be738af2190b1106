package keys

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

const (
	// firstDialDelay and maxDialDelay bound the waits between connection attempts, so that a peer is reached soon
	// after a partition.
	firstDialDelay = 100 * time.Millisecond
	maxDialDelay   = time.Second
	dialMultiplier = 1.6
	dialJitter     = 0.2
	// dialTimeout bounds one connection attempt.
	dialTimeout = 2 * time.Second
)

// WindowBytes is the flow control window of connections between processes: a fixed one. For a window that adapts, gRPC pings the peer
// with each small message, which took 40% of the processor time of one. It allows 25 MB/s over a round trip of 160 ms.
const WindowBytes = 4 << 20

// Dial returns a connection to another process of the system that reconnects automatically; maxBytes bounds one
// received message. Further options are applied as well.
func (s *Source) Dial(address string, maxBytes int, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, append([]grpc.DialOption{
		grpc.WithTransportCredentials(s.Client(address)),
		grpc.WithStaticStreamWindowSize(WindowBytes),
		grpc.WithStaticConnWindowSize(WindowBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstDialDelay, Multiplier: dialMultiplier, Jitter: dialJitter, MaxDelay: maxDialDelay},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxBytes)),
	}, options...)...)
}
