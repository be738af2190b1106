package acceptor

import (
	"bytes"
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
	limits   func() HeadLimits
	// readsHead is set while the server reads the head of a request. Only then does the connection's one reader use the
	// following fields.
	readsHead    atomic.Bool
	head         intake.Head
	headDeadline time.Time
	// writes is odd during a write, and grows with each one.
	writes atomic.Int64
	// seenWrites and seenAt are the write that stalled has seen in progress, and when it saw it first.
	seenWrites int64
	seenAt     time.Time
	// heardAt is when a peer last sent a whole message, from the start of the acceptor; zero for other clients.
	heardAt atomic.Int64
}

// Read reads from the client. It returns a part of a head once there is room for it.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.readsHead.Load() {
		if err := c.countHead(b[:n]); err != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
		}
	}
	return n, err
}

// countHead counts a part of the head of a request. It returns an error if the head is too large and has been refused, or if
// the connection has been given up.
func (c *Conn) countHead(b []byte) error {
	limits := c.limits()
	if c.head.Size() == 0 && limits.Time > 0 && !bytes.Contains(b, []byte("\r\n\r\n")) {
		c.headDeadline = c.acceptor.now().Add(limits.Time)
		_ = c.TCPConn.SetReadDeadline(c.headDeadline)
	}
	c.head = c.head.With(b)
	if limits.Bytes > 0 && c.head.Size() > limits.Bytes {
		c.refuseHead()
		return errHeadTooLarge
	}
	if cost := c.head.Cost(); cost > 0 && !c.growHead(cost) {
		return net.ErrClosed
	}
	return nil
}

// growHead sets what the head costs so far, in bytes, and closes the connections that yield to it. It waits until these have
// ended, and returns false if the connection itself is given up.
func (c *Conn) growHead(cost int64) bool { return c.grow(c.acceptor.register.GrowHead, cost) }

// growBody is like growHead for the body of a request.
func (c *Conn) growBody(cost int64) bool { return c.grow(c.acceptor.register.GrowBody, cost) }

func (c *Conn) grow(grow func(*intake.Entry[*Conn], int64) ([]*intake.Entry[*Conn], bool), cost int64) bool {
	a := c.acceptor
	for began := a.now(); ; time.Sleep(placePeriod) {
		late := a.now().Sub(began) >= roomTime
		a.mu.Lock()
		closing, grown := grow(c.entry, cost)
		if late && !grown && a.register.GiveUp(c.entry) {
			closing = append(closing, c.entry)
		}
		givenUp := c.entry.GivenUp()
		a.mu.Unlock()
		for _, e := range closing {
			a.close(e.Conn)
		}
		if grown || givenUp {
			return grown
		}
	}
}

// tooLarge is the answer to a head that is too large.
const tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
	"431 Request Header Fields Too Large"

const (
	// refusalTime is how long a client that sends too large a head may take to receive the answer, and refusalBytes what
	// is read of it meanwhile: closing a connection with unread data resets it, which can destroy the answer.
	refusalTime  = 500 * time.Millisecond
	refusalBytes = 256 << 10
)

// refuseHead answers a head that is too large. No handler writes while a head is read.
func (c *Conn) refuseHead() {
	_ = c.SetDeadline(c.acceptor.now().Add(refusalTime))
	_, _ = io.WriteString(c.TCPConn, tooLarge)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.TCPConn, refusalBytes)
}

// SetReadDeadline sets the deadline of reads. While a head is incomplete, its own deadline applies.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.readsHead.Load() && !c.headDeadline.IsZero() && !t.IsZero() {
		t = c.headDeadline
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Write writes to the client.
func (c *Conn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(1)
	return c.TCPConn.Write(b)
}

// stalled reports whether the client does not read, as a write that an earlier call has seen is still in progress, or is a peer
// that sends no messages. It must be called with the acceptor locked.
func (c *Conn) stalled(now time.Time) bool {
	if heardAt := time.Duration(c.heardAt.Load()); heardAt > 0 && now.Sub(c.acceptor.started)-heardAt >= quietTime {
		return true
	}
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
