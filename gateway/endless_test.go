package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

const (
	// endlessBytes is where an endpoint that writes without end stops if nobody cuts it off.
	endlessBytes = 32 << 20
	// cutOffBytes is more than the socket buffers on all sides and a gateway's own buffers hold.
	cutOffBytes = 12 << 20
)

// endless writes the start and then repeats the rest until the connection is closed or endlessBytes are written, and
// sends the number of bytes written.
func (c *endpointConn) endless(start, rest string, written chan<- int) bool {
	_ = c.Conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
	total, err := io.WriteString(c, start)
	block := strings.Repeat(rest, 1+(16<<10)/len(rest))
	for err == nil && total < endlessBytes {
		var n int
		n, err = io.WriteString(c, block)
		total += n
	}
	written <- total
	return false
}

// drip writes the start and then one more byte every few milliseconds until the connection is closed.
func (c *endpointConn) drip(start, rest string) bool {
	_, err := io.WriteString(c, start)
	for err == nil {
		time.Sleep(5 * time.Millisecond)
		_, err = io.WriteString(c, rest)
	}
	return false
}

func answeringEndpoint(t *testing.T, id string) *testEndpoint {
	t.Helper()
	return newEndpoint(t, id, func(c *endpointConn, r *http.Request, _ int) bool {
		if !strings.HasPrefix(r.URL.Path, "/stream/") {
			c.plain("request-1", 200, "answer")
			return true
		}
		c.head("request-1")
		for n := len(r.Header.Get("Last")); n < 3; n++ {
			c.event(n)
		}
		c.end()
		return true
	})
}

// TestEndlessAnswer sends requests to an endpoint whose bytes are no answer and never end: the endpoint is cut off at a
// bound, none of its bytes reach the caller, and only a request that may run again is sent to another endpoint.
func TestEndlessAnswer(t *testing.T) {
	signed := "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\n"
	events := signed + "Content-Type: text/event-stream\r\n\r\n"
	cases := []struct {
		name, path, start, rest string
		status                  int
		body                    string
	}{
		{"head, safe", "/safe/x", "", "HTTP/1.1 ", 200, "answer"},
		{"head, unsafe", "/unsafe/x", "", "HTTP/1.1 ", 502, ""},
		{"unmatched body, safe", "/safe/x", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x", 200, "answer"},
		{"unsigned error, safe", "/safe/x", "HTTP/1.1 500 Failed\r\nId: request-1\r\n\r\n", "x", 200, "answer"},
		{"unsigned error, unsafe", "/unsafe/x", "HTTP/1.1 404 Failed\r\nId: request-1\r\n\r\n", "x", 502, ""},
		{"unsigned success, safe", "/safe/x", "HTTP/1.1 200 OK\r\nId: request-1\r\n\r\n", "x", 200, "answer"},
		{"first event", "/stream/x", events + "data: ", "x", 200, pieces(0, 2)},
		{"lines of the first event", "/stream/x", events, "data: x\n", 200, pieces(0, 2)},
		{"later event", "/stream/x", events + pieces(0, 0) + "id: 1\ndata: ", "x", 200, pieces(0, 2)},
		{"lines of a later event", "/stream/x", events + pieces(0, 0), "id: 1\n", 200, pieces(0, 2)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			written := make(chan int, 8)
			a := newEndpoint(t, "a", func(e *endpointConn, _ *http.Request, _ int) bool { return e.endless(c.start, c.rest, written) })
			b := answeringEndpoint(t, "b")
			g := newGateway(t, testTable(t, nil), a, b)
			got := g.call(t.Context(), "POST", c.path, nil)
			if got.status != c.status || !got.whole || c.body != "" && got.body != c.body || strings.Contains(got.body, "xxx") {
				t.Errorf("status %d, %d bytes %.60q, error %v", got.status, len(got.body), got.body, got.err)
			}
			if n := <-written; n > cutOffBytes {
				t.Errorf("the endpoint could write %d bytes", n)
			}
			if want := min(len(c.body), 1); len(b.requests()) != want {
				t.Errorf("%d requests at the other endpoint", len(b.requests()))
			}
		})
	}
}

// TestLongAnswers checks that bounds leave alone long answers that are signed, and long events.
func TestLongAnswers(t *testing.T) {
	long := strings.Repeat("x", 8<<20)
	event := "id: 0\ndata: " + strings.Repeat("x", 64<<10) + "\n\n"
	cases := []struct {
		name, path, body string
		status           int
		streamed         bool
	}{
		{"body", "/safe/x", long, 200, false},
		{"signed error", "/unsafe/x", long, 404, false},
		{"event", "/stream/x", event, 200, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newEndpoint(t, "a", func(e *endpointConn, _ *http.Request, _ int) bool {
				if !c.streamed {
					e.plain("request-1", c.status, c.body)
					return true
				}
				e.head("request-1")
				e.chunk(c.body)
				e.end()
				return true
			})
			got := newGateway(t, testTable(t, nil), a).call(t.Context(), "POST", c.path, nil)
			if got.status != c.status || !got.whole || got.body != c.body {
				t.Errorf("status %d, %d bytes, error %v", got.status, len(got.body), got.err)
			}
		})
	}
}

// TestRejectionWithoutEnd rejects a request and never ends the body of the rejection: the request goes to another
// endpoint long before its deadline.
func TestRejectionWithoutEnd(t *testing.T) {
	for name, start := range map[string]string{
		"length":  "HTTP/1.1 503 Full\r\nRejected: 1\r\nContent-Length: 4000\r\n\r\n",
		"chunks":  "HTTP/1.1 503 Full\r\nRejected: 1\r\nTransfer-Encoding: chunked\r\n\r\nfa0\r\n",
		"neither": "HTTP/1.1 503 Full\r\nRejected: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			a := newEndpoint(t, "a", func(c *endpointConn, _ *http.Request, _ int) bool { return c.drip(start, "x") })
			g := newGateway(t, testTable(t, nil), a, answeringEndpoint(t, "b"))
			got := g.call(t.Context(), "POST", "/unsafe/x", nil)
			if got.status != 200 || !got.whole || got.body != "answer" {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
			<-a.closed
		})
	}
}

// TestForwardFailureWithoutEnd forwards a request to a gateway that reports a failure and never ends the body of the
// report: the caller is refused before the deadline.
func TestForwardFailureWithoutEnd(t *testing.T) {
	there := newEndpoint(t, "gateway-b", func(c *endpointConn, _ *http.Request, _ int) bool {
		return c.drip("HTTP/1.1 503 Full\r\n"+outcomeHeader+": notRun\r\nContent-Length: 4000\r\n\r\n", "x")
	})
	here := newGateway(t, testTable(t, func(r *routes.Route) { r.HomeRegions = []string{"there"} }))
	v := *here.view.Load()
	v.gateways = []fleet.Gateway{{Name: "gateway-b", Region: "there", ForwardAddress: there.address, Ready: true}}
	here.view.Store(&v)
	got := here.call(t.Context(), "POST", "/unsafe/x", nil)
	if got.status != http.StatusServiceUnavailable || strings.Contains(got.body, string(problem.PatienceExceeded)) {
		t.Errorf("%+v", got)
	}
	<-there.closed
}

// TestDrippingEndpoint checks that an endpoint that sends one byte after the other is cut off at the timeout of the
// route if the caller gives no patience, whatever it sends, and that the caller does not get the bytes for an answer.
func TestDrippingEndpoint(t *testing.T) {
	signed := "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\n"
	cases := []struct{ name, path, start, rest string }{
		{"status line", "/unsafe/x", "HTTP/1.1 200 ", "x"},
		{"header line", "/unsafe/x", signed + "X: ", "x"},
		{"informational responses", "/unsafe/x", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"unmatched body", "/unsafe/x", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		{"body", "/unsafe/x", signed + "\r\n", "x"},
		{"trailer", "/unsafe/x", signed + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x"},
		{"event", "/stream/x", signed + "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: ", "x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newEndpoint(t, "a", func(e *endpointConn, _ *http.Request, _ int) bool { return e.drip(c.start, c.rest) })
			table := testTable(t, func(r *routes.Route) { r.Timeout = 300 * time.Millisecond })
			g := newGateway(t, table, a)
			got := g.call(t.Context(), "POST", c.path, nil)
			if got.status < 500 || got.status == 503 || strings.Contains(got.body, "xxx") {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
			<-a.closed
		})
	}
}

// TestCallerLeavesEndlessAnswer checks that an endpoint whose bytes never end is cut off when the caller has left.
func TestCallerLeavesEndlessAnswer(t *testing.T) {
	signed := "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\n"
	for name, start := range map[string]string{"head": signed + "X: ", "body": signed + "\r\n", "event": signed + "Content-Type: text/event-stream\r\n\r\ndata: "} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			a := newEndpoint(t, "a", func(c *endpointConn, _ *http.Request, _ int) bool {
				// A caller that leaves before the endpoint has the request leaves nothing to cut off.
				time.AfterFunc(50*time.Millisecond, cancel)
				return c.drip(start, "x")
			})
			g := newGateway(t, testTable(t, func(r *routes.Route) { r.Timeout = time.Hour }), a)
			if got := g.call(ctx, "POST", "/stream/x", nil); got.whole {
				t.Errorf("status %d, body %q", got.status, got.body)
			}
			<-a.closed
		})
	}
}
