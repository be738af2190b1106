package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusreel/pressure"
)

// TestSlowReaderEnded guards against answers that a caller leaves unread while the memory is used up, against the end of
// an answer that looks complete, and against an endpoint that goes on writing to nobody.
func TestSlowReaderEnded(t *testing.T) {
	written := make(chan int, 1)
	a := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.URL.Path, "/safe/") {
			c.plain("request-1", 200, "answer")
			return true
		}
		return c.endless("HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\nContent-Type: text/event-stream\r\n\r\n", "data: "+strings.Repeat("x", 1000)+"\n\n", written)
	})
	g := newGateway(t, testTable(t, nil), a)
	g.answers.budget = pressure.NewBudget(1 << 20)
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /stream/x HTTP/1.1\r\nHost: %s\r\nId: request-1\r\nContent-Length: 0\r\n\r\n", testHost)
	waitFor(t, "a write that waits for the caller", func() bool { g.answers.relieve(time.Now()); return g.answers.paused.Load() == 1 })
	if n := g.answers.relieve(time.Now().Add(2 * pressure.SlowAfter)); n != 0 {
		t.Errorf("%d answers ended within the budget", n)
	}
	g.answers.budget.Hold(1 << 20)
	if got := g.call(t.Context(), "POST", "/safe/x", nil); got.err == nil && got.status == http.StatusServiceUnavailable {
		t.Errorf("a request without a body was refused: %+v", got)
	}
	body := io.LimitReader(strings.NewReader(strings.Repeat("x", pressure.LargeBodyBytes+1)), pressure.LargeBodyBytes+1)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.server.URL+"/safe/x", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Host, r.ContentLength = testHost, pressure.LargeBodyBytes+1
	if answer, err := http.DefaultTransport.RoundTrip(r); err == nil {
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
			t.Errorf("a large body got status %d, Retry-After %q", answer.StatusCode, answer.Header.Get("Retry-After"))
		}
	}
	if n := g.answers.relieve(time.Now().Add(2 * pressure.SlowAfter)); n != 1 {
		t.Errorf("%d answers ended", n)
	}
	if n := <-written; n > cutOffBytes {
		t.Errorf("the endpoint could write %d bytes", n)
	}
	got, _ := io.ReadAll(conn)
	if len(got) == 0 || strings.HasSuffix(string(got), "0\r\n\r\n") {
		t.Errorf("%d bytes received that end like a complete answer", len(got))
	}
}
