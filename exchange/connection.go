package exchange

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the connection is considered dead.
	userTimeout = 3 * time.Second
	// probeIdle, probeInterval and probeCount detect a peer that does not answer while it owes data. The count would do so within
	// 2.5 s; as userTimeout is set, the kernel goes by it instead, and gives up at the first probe after it.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of tcp(7).
	tcpUserTimeout  = 0x12
	readBufferBytes = 4 << 10
)

// connection is a connection to an endpoint; it carries one request at a time.
type connection struct {
	net.Conn
	address   string
	responses responseReader
	// requestCount is the number of requests completed on the connection.
	requestCount int
	// unmatched reports that a response to another request has arrived, so that more may follow.
	unmatched bool
	// idleSince is when the last response ended; idleLimit is how long the endpoint keeps the connection open from then
	// on.
	idleSince time.Time
	idleLimit time.Duration
}

func dial(ctx context.Context, address string, timeout time.Duration) (*connection, error) {
	d := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var option error
			err := raw.Control(func(fd uintptr) {
				option = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return option
		},
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConnection(conn, address), nil
}

func newConnection(conn net.Conn, address string) *connection {
	return &connection{Conn: conn, address: address, responses: responseReader{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}}
}

// reusable reports whether an idle connection is open and has no unread data; such data would belong to no request.
func (c *connection) reusable() bool {
	if c.responses.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}
