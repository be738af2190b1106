package acceptor

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"arbutusreel/intake"
)

// Conn is a connection from a client.
type Conn struct {
	*net.TCPConn

	acceptor *Acceptor
	entry    *intake.Entry[*Conn]
	// readsHead is set while the server reads the head of a request. Only then does the connection's one reader use head.
	readsHead atomic.Bool
	head      intake.Head
	// writes is odd during a write, and grows with each one.
	writes atomic.Int64
	// seenWrites and seenAt are the write that stalled has seen in progress, and when it saw it first.
	seenWrites int64
	seenAt     time.Time
}

// Read reads from the client.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.readsHead.Load() {
		c.countHead(b[:n])
	}
	return n, err
}

// countHead counts a part of the head of a request. If that closes the connection, the next read of the server fails.
func (c *Conn) countHead(b []byte) {
	c.head = c.head.With(b)
	cost := c.head.Cost()
	if cost == 0 {
		return
	}
	a := c.acceptor
	a.mu.Lock()
	closing := a.register.GrowHead(c.entry, cost)
	a.mu.Unlock()
	for _, e := range closing {
		a.close(e.Conn)
	}
}

// Write writes to the client.
func (c *Conn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(1)
	return c.TCPConn.Write(b)
}

// stalled reports whether the client does not read: a write that an earlier call has seen is still in progress. It must be
// called with the acceptor locked.
func (c *Conn) stalled(now time.Time) bool {
	writes := c.writes.Load()
	if writes%2 == 0 {
		return false
	}
	if writes != c.seenWrites {
		c.seenWrites, c.seenAt = writes, now
		return false
	}
	return now.Sub(c.seenAt) >= stallTime
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.acceptor.mu.Lock()
	c.acceptor.register.Close(c.entry)
	c.acceptor.mu.Unlock()
	return c.TCPConn.Close()
}

// ReadFrom copies from r to the client.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	c.writes.Add(1)
	defer c.writes.Add(1)
	return c.TCPConn.ReadFrom(r)
}
