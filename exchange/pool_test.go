package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
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

// TestKeepWarm sends requests to an address to which connections are kept: each finds an idle one, and the one that it
// takes is replaced while it is in use.
func TestKeepWarm(t *testing.T) {
	accepted := make(chan string, 100)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			accepted <- conn.RemoteAddr().String()
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	p := NewPool(IdleLimits{Repeatable: time.Minute, NonRepeatable: time.Minute, Unannounced: time.Minute}, time.Second, time.Now)
	t.Cleanup(p.Close)
	idle := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idleConns[address])
	}
	waitIdle := func(n int) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); idle() != n; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d idle connections, want %d", idle(), n)
			}
		}
	}
	p.KeepWarm(map[string]int{address: 2})
	waitIdle(2)
	var taken []*connection
	for range 3 {
		c := p.getIdle(address, false)
		if c == nil {
			t.Fatal("no idle connection")
		}
		taken = append(taken, c)
		waitIdle(2)
	}
	for _, c := range taken {
		p.putIdle(c)
	}
	waitIdle(5)
	p.KeepWarm(nil)
	for range 5 {
		if c := p.getIdle(address, false); c == nil || c.Close() != nil {
			t.Fatal("no idle connection")
		}
	}
	waitIdle(0)
	// A connected client may still wait to be accepted. Connections are accepted in order.
	last, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer last.Close()
	opened := 0
	for <-accepted != last.LocalAddr().String() {
		opened++
	}
	if opened != 5 {
		t.Errorf("%d connections were opened", opened)
	}
}
