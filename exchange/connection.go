package exchange

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged before the connection counts as dead.
	userTimeout = 3 * time.Second
	// probeIdle, probeInterval and probeCount find a silent peer within about two seconds.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of tcp(7).
	tcpUserTimeout = 0x12
	readBuffer     = 4 << 10
)

// connection is one connection to an endpoint; it carries one request at a time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// served is the number of requests that it has carried before.
	served int
	// idleSince is when its last answer ended, and idleLimit how long the endpoint keeps it open from then on.
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
	return &connection{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

// quiet reports whether a kept connection is open and has nothing to read; bytes that wait belong to no request.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
