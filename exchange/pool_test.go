package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"arbutusreel/problem"
)

// unresponsiveAddress returns an address at which SYN packets are dropped because the accept queue is full.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	in, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("address %T", name)
	}
	address := netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String()
	// An accept queue of length zero still holds one connection.
	d := net.Dialer{Timeout: 100 * time.Millisecond}
	for range 4 {
		c, err := d.DialContext(t.Context(), "tcp", address)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the accept queue does not fill")
	return ""
}

// TestConnectTimeout checks that a request to an address that does not respond fails after the connect timeout, and
// that its outcome is NotRun.
func TestConnectTimeout(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	p := NewPool(IdleLimits{}, 20*time.Millisecond, time.Now)
	_, err := p.Send(ctx, unresponsiveAddress(t), &Request{Method: http.MethodPost, Target: "/", Host: "host.example", Header: http.Header{}})
	var failure *Error
	if !errors.As(err, &failure) || failure.Stage != Connecting || failure.Outcome != problem.NotRun || ctx.Err() != nil {
		t.Errorf("error %v", err)
	}
}
