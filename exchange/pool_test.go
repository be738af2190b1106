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

// silentAddress returns an address at which opening packets are dropped: its queue of new connections is full.
func silentAddress(t *testing.T) string {
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
	// A queue of length zero still takes one connection.
	d := net.Dialer{Timeout: 100 * time.Millisecond}
	for range 4 {
		c, err := d.DialContext(t.Context(), "tcp", address)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the queue of new connections does not fill")
	return ""
}

// TestConnectTime sends a request to an address that does not answer: the attempt ends by itself, and the request has
// surely not run.
func TestConnectTime(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	p := NewPool(Idle{}, 20*time.Millisecond, time.Now)
	_, err := p.Send(ctx, silentAddress(t), &Request{Method: http.MethodPost, Target: "/", Host: "host.example", Header: http.Header{}})
	var failure *Error
	if !errors.As(err, &failure) || failure.Stage != Connecting || failure.Outcome != problem.NotRun || ctx.Err() != nil {
		t.Errorf("error %v", err)
	}
}
