package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// guard lets one call through one connection, and its first byte only in time.
type guard struct {
	mu     sync.Mutex
	sendBy time.Time
	dialed bool
	sent   bool
	ended  bool
}

// transport returns a transport that makes one connection at most, for one call.
func (g *guard) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if !g.dial() {
				return nil, &ResendRefusedError{Address: address}
			}
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn, guard: g}, nil
		},
	}
}

// dial reports whether a connection may be made, which is true once.
func (g *guard) dial() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := !g.dialed
	g.dialed = true
	return first
}

// send reports whether bytes may be sent, and notes that some were.
func (g *guard) send() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := !g.sent && !g.sendBy.IsZero() && time.Now().After(g.sendBy)
	if late || g.ended {
		return false
	}
	g.sent = true
	return true
}

// end lets no more bytes through, and reports whether one can have left.
func (g *guard) end() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	return g.sent
}

// guardedConn is the connection of a guard.
type guardedConn struct {
	net.Conn
	guard *guard
}

// Write reads the clock directly before the first byte is sent; it returns *LateError if the time for it is over or the call has ended.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.guard.send() {
		return 0, &LateError{SendBy: c.guard.sendBy}
	}
	return c.Conn.Write(b)
}
