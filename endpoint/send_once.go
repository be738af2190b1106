package endpoint

import (
	"context"
	"net"
	"sync"
	"time"

	"arbutusreel/exchange"
)

// sendOnce allows one call over one connection, and its first byte only until sendBy.
type sendOnce struct {
	mu     sync.Mutex
	sendBy time.Time
	dialed bool
	sent   bool
	closed bool
}

// newTransport returns a transport that opens at most one connection, for one call.
func (g *sendOnce) newTransport() *exchange.Transport {
	return newSingleTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		if !g.allowDial() {
			return nil, &ResendRefusedError{Address: address}
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &sendOnceConn{Conn: conn, once: g}, nil
	})
}

// allowDial reports whether a connection may be opened, which is true only the first time.
func (g *sendOnce) allowDial() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	allowed := !g.dialed
	g.dialed = true
	return allowed
}

// allowWrite reports whether bytes may be sent; if so, it records that some were sent.
func (g *sendOnce) allowWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := !g.sent && !g.sendBy.IsZero() && time.Now().After(g.sendBy)
	if late || g.closed {
		return false
	}
	g.sent = true
	return true
}

// close refuses all later writes and reports whether any byte can have been sent.
func (g *sendOnce) close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.sent
}

// sendOnceConn is a connection whose writes need the permission of a sendOnce.
type sendOnceConn struct {
	net.Conn
	once *sendOnce
}

// Write checks the clock directly before the first byte is sent. It returns *SendDeadlineError if the deadline for
// sending has passed or the call has ended.
func (c *sendOnceConn) Write(b []byte) (int, error) {
	if !c.once.allowWrite() {
		return 0, &SendDeadlineError{SendBy: c.once.sendBy}
	}
	return c.Conn.Write(b)
}
