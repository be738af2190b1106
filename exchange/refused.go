package exchange

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"arbutusreel/clock"
)

// checkDelays returns the waits before each attempt to connect to an address whose connections broke. The process may
// still be closing its sockets at the first one.
func checkDelays() []time.Duration {
	return []time.Duration{20 * time.Millisecond, 80 * time.Millisecond, 300 * time.Millisecond}
}

// RefusesConnections reports whether connections to an address are refused after others broke: no process listens there any
// more, or this process is cut off from it. One that is silent for the timeout may be cut off.
func RefusesConnections(ctx context.Context, address string, timeout time.Duration) bool {
	for _, delay := range checkDelays() {
		if !clock.Sleep(ctx, delay) {
			return false
		}
		if connected, refused := Probe(ctx, address, timeout); connected || refused {
			return refused
		}
	}
	return false
}

// Probe tries to connect to an address once, and reports whether that succeeded or was refused. It reports neither if nothing
// answers within the timeout.
func Probe(ctx context.Context, address string, timeout time.Duration) (connected, refused bool) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return true, false
}
