package gateway

import (
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/grpc"
)

// countReceived returns a dial option that adds the bytes received on the connection to a counter.
func countReceived(received *atomic.Int64) grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, received: received}, nil
	})
}

// countedConn is a connection that counts the bytes that it receives.
type countedConn struct {
	net.Conn

	received *atomic.Int64
}

// Read reads from the peer.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}
