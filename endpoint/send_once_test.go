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

// closingServer answers the first requests of each connection, and closes the connection after reading one more.
type closingServer struct {
	address  string
	requests atomic.Int32
	// answers is the number of requests answered on each connection.
	answers int
}

func newClosingServer(t *testing.T, answers int) *closingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c := &closingServer{address: l.Addr().String(), answers: answers}
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

func (c *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := range c.answers + 1 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		c.requests.Add(1)
		if i < c.answers {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// TestPlainCallNotResent checks that net/http sends a call again after the endpoint closed a reused connection, and
// that PlainClient does not.
func TestPlainCallNotResent(t *testing.T) {
	resending := newClosingServer(t, 1)
	client := &http.Client{}
	for range 2 {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+resending.address+"/", strings.NewReader("order"))
		req.Header.Set("Idempotency-Key", "k")
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	if n := resending.requests.Load(); n != 3 {
		t.Errorf("net/http sent two calls %d times, want 3: it no longer resends, which PlainClient guards against", n)
	}
	single := newClosingServer(t, 1)
	plain := NewPlainClient()
	for range 2 {
		if _, err := plain.Call(t.Context(), membership.Endpoint{Address: single.address}, dispatch.Request{Method: http.MethodPost, Path: "/", Body: []byte("order")}); err != nil {
			t.Errorf("a call on a connection of its own failed: %v", err)
		}
	}
	if n := single.requests.Load(); n != 2 {
		t.Errorf("two calls were sent %d times", n)
	}
}

func TestCallSentOnce(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	closing := newClosingServer(t, 0)
	tests := []struct {
		name    string
		ctx     context.Context
		address string
		sendBy  time.Time
		notSent bool
		read    int32
	}{
		{name: "closed after reading", ctx: t.Context(), address: closing.address, read: 1},
		{name: "too late to send", ctx: t.Context(), address: closing.address, sendBy: time.Now().Add(-time.Second), notSent: true},
		{name: "ended before sending", ctx: cancelled, address: closing.address, notSent: true},
		{name: "nobody listens", ctx: t.Context(), address: "127.0.0.1:1", notSent: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := closing.requests.Load()
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				r := dispatch.Request{Method: method, Path: "/", Body: []byte("order"), SendBy: test.sendBy}
				_, err := NewPlainClient().Call(test.ctx, membership.Endpoint{Address: test.address}, r)
				var notSent *NotSentError
				if errors.As(err, &notSent) != test.notSent || err == nil {
					t.Errorf("%s: error %v, want one that says not sent: %t", method, err, test.notSent)
				}
			}
			if n := closing.requests.Load() - before; n != 2*test.read {
				t.Errorf("two calls were read %d times, want %d", n, 2*test.read)
			}
		})
	}
}

// TestNoWriteAfterClose checks that the transport cannot write after the call was reported as not sent.
func TestNoWriteAfterClose(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	g := &sendOnce{}
	conn := &sendOnceConn{Conn: near, once: g}
	if g.close() {
		t.Error("a call without a byte is reported as sent")
	}
	if _, err := conn.Write([]byte("order")); err == nil {
		t.Error("a byte was sent after the call was reported as not sent")
	}
}
