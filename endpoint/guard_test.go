package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/membership"
)

// closer is a server that answers the first request of each kept connection and closes it after reading the second.
type closer struct {
	address string
	read    atomic.Int32
	// answers is how many requests of a connection are answered.
	answers int
}

func newCloser(t *testing.T, answers int) *closer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c := &closer{address: l.Addr().String(), answers: answers}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

func (c *closer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := range c.answers + 1 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		c.read.Add(1)
		if i < c.answers {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// TestResendTrap shows that net/http sends a call again after a kept connection was closed, and that Plain does not.
func TestResendTrap(t *testing.T) {
	trap := newCloser(t, 1)
	client := &http.Client{}
	for range 2 {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+trap.address+"/", strings.NewReader("order"))
		req.Header.Set("Idempotency-Key", "k")
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	if n := trap.read.Load(); n != 3 {
		t.Errorf("net/http sent two calls %d times; the trap that Plain avoids is gone", n)
	}
	s := newCloser(t, 1)
	plain := NewPlain()
	for range 2 {
		if _, err := plain.Call(t.Context(), membership.Endpoint{Address: s.address}, dispatch.Request{Method: http.MethodPost, Path: "/", Body: []byte("order")}); err != nil {
			t.Errorf("a call on a connection of its own failed: %v", err)
		}
	}
	if n := s.read.Load(); n != 2 {
		t.Errorf("two calls were sent %d times", n)
	}
}

func TestCallSentOnce(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	refusing := newCloser(t, 0)
	tests := []struct {
		name    string
		ctx     context.Context
		address string
		sendBy  time.Time
		notSent bool
		read    int32
	}{
		{name: "closed after reading", ctx: t.Context(), address: refusing.address, read: 1},
		{name: "too late to send", ctx: t.Context(), address: refusing.address, sendBy: time.Now().Add(-time.Second), notSent: true},
		{name: "ended before sending", ctx: ended, address: refusing.address, notSent: true},
		{name: "nobody listens", ctx: t.Context(), address: "127.0.0.1:1", notSent: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := refusing.read.Load()
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				r := dispatch.Request{Method: method, Path: "/", Body: []byte("order"), SendBy: test.sendBy}
				_, err := NewPlain().Call(test.ctx, membership.Endpoint{Address: test.address}, r)
				var notSent *NotSentError
				if errors.As(err, &notSent) != test.notSent || err == nil {
					t.Errorf("%s: error %v, want one that says not sent: %t", method, err, test.notSent)
				}
			}
			if n := refusing.read.Load() - before; n != 2*test.read {
				t.Errorf("two calls were read %d times, want %d", n, 2*test.read)
			}
		})
	}
}

// TestGuardRefusesAfterEnd lets the transport write after the call was reported as not sent.
func TestGuardRefusesAfterEnd(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	g := &guard{}
	conn := &guardedConn{Conn: near, guard: g}
	if g.end() {
		t.Error("a call without a byte is reported as sent")
	}
	if _, err := conn.Write([]byte("order")); err == nil {
		t.Error("a byte was sent after the call was reported as not sent")
	}
}
