package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

// refusal is the answer of an endpoint that has not run the request with the ID.
func refusal(id string) string {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Full\r\n" + id + "Rejected: 1\r\nContent-Length: 0\r\n\r\n"
}

// ranAt returns the number of times that an endpoint has read a request.
func (e *testEndpoint) ranAt(id string) int {
	n := 0
	for _, r := range e.requests() {
		if r.Header.Get("Id") == id {
			n++
		}
	}
	return n
}

// repeatingEndpoint answers its first request and then follows the script on the same connection.
func repeatingEndpoint(t *testing.T, id string, script func(c *endpointConn, r *http.Request) bool) *testEndpoint {
	t.Helper()
	var kept net.Conn
	return newEndpoint(t, id, func(c *endpointConn, r *http.Request, n int) bool {
		if n == 0 {
			kept = c.Conn
			return answering()(c, r, n)
		}
		if kept != c.Conn {
			t.Error("the connection was not kept")
		}
		return script(c, r)
	})
}

// TestRepeatedRefusal guards against an earlier refusal, written once more on a kept connection, that is taken for the refusal of
// a request that the endpoint runs.
func TestRepeatedRefusal(t *testing.T) {
	kinds := []struct {
		name, path            string
		resumable, repeatable bool
	}{{"unsafe", "/unsafe/x", false, false}, {"safe", "/safe/x", false, true}, {"stream", "/stream/x", false, false}, {"resumable stream", "/stream/x", true, true}}
	chunked := func(c *endpointConn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: a\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	}
	moments := []struct {
		name string
		// script follows the reading of the request; answers reports that the endpoint answers it in the end.
		script  func(c *endpointConn, r *http.Request, stale string) bool
		answers bool
	}{
		{"before the answer", func(c *endpointConn, r *http.Request, stale string) bool {
			fmt.Fprint(c, stale)
			return answering()(c, r, 1)
		}, true},
		{"during the run", func(c *endpointConn, r *http.Request, stale string) bool {
			fmt.Fprint(c, stale[:20])
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(c, stale[20:])
			time.Sleep(20 * time.Millisecond)
			return answering()(c, r, 1)
		}, true},
		{"four times", func(c *endpointConn, r *http.Request, stale string) bool {
			fmt.Fprint(c, strings.Repeat(stale, 4))
			return answering()(c, r, 1)
		}, true},
		{"again and again", func(c *endpointConn, r *http.Request, stale string) bool {
			fmt.Fprint(c, strings.Repeat(stale, 20))
			return answering()(c, r, 1)
		}, false},
		{"then closed", func(c *endpointConn, _ *http.Request, stale string) bool {
			fmt.Fprint(c, stale)
			return false
		}, false},
		{"then reset", func(c *endpointConn, _ *http.Request, stale string) bool {
			fmt.Fprint(c, stale)
			time.Sleep(20 * time.Millisecond)
			return c.reset()
		}, false},
		{"in a body", func(c *endpointConn, r *http.Request, stale string) bool {
			chunked(c, r.Header.Get("Id"))
			c.chunk("id: 0")
			fmt.Fprint(c, stale)
			return false
		}, false},
	}
	for _, kind := range kinds {
		for _, moment := range moments {
			for _, id := range []string{"", "request-0"} {
				t.Run(fmt.Sprintf("%s/%s/id %q", kind.name, moment.name, id), func(t *testing.T) {
					t.Parallel()
					a := repeatingEndpoint(t, "a", func(c *endpointConn, r *http.Request) bool { return moment.script(c, r, refusal(id)) })
					b := newEndpoint(t, "b", answering())
					g := newGateway(t, testTable(t, func(r *routes.Route) { r.Resumable = kind.resumable }), a, b)
					g.call(t.Context(), http.MethodPost, kind.path, map[string]string{"Id": "request-0"})
					got := g.call(t.Context(), http.MethodPost, kind.path, nil)
					want, second := http.StatusOK, 0
					switch {
					case moment.answers:
					case kind.repeatable:
						second = 1
					default:
						want = http.StatusBadGateway
					}
					if got.status != want || !got.whole || a.ranAt("request-1") != 1 || b.ranAt("request-1") != second {
						t.Errorf("status %d, whole: %v, sent to a %d times, to b %d times", got.status, got.whole, a.ranAt("request-1"), b.ranAt("request-1"))
					}
				})
			}
		}
	}
}

// TestRefusalOnIdleConnection guards against the reuse of a connection on which an earlier refusal came again before the next
// request.
func TestRefusalOnIdleConnection(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			written := make(chan struct{})
			var conns []net.Conn
			a := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, n int) bool {
				conns = append(conns, c.Conn)
				if n > 0 {
					return answering()(c, r, n)
				}
				answering()(c, r, n)
				time.Sleep(pause)
				_, _ = io.WriteString(c, refusal(""))
				close(written)
				return true
			})
			b := newEndpoint(t, "b", answering())
			g := newGateway(t, testTable(t, nil), a, b)
			g.call(t.Context(), http.MethodPost, "/unsafe/x", map[string]string{"Id": "request-0"})
			<-written
			got := g.call(t.Context(), http.MethodPost, "/unsafe/x", nil)
			if got.status != http.StatusOK || a.ranAt("request-1") != 1 || b.ranAt("request-1") != 0 || slices.Index(conns[1:], conns[0]) >= 0 {
				t.Errorf("status %d, sent to a %d times, to b %d times", got.status, a.ranAt("request-1"), b.ranAt("request-1"))
			}
		})
	}
}

// TestRepeatedForwardRefusal guards against the refusal of an earlier forwarded request, written once more on a kept connection
// between gateways, that is taken for the refusal of one that the other gateway has sent to an endpoint.
func TestRepeatedForwardRefusal(t *testing.T) {
	stale := func(id string) string {
		if id != "" {
			id = requestHeader + ": " + id + "\r\n"
		}
		return "HTTP/1.1 503 Full\r\n" + id + outcomeHeader + ": " + string(problem.NotRun) + "\r\nContent-Length: 0\r\n\r\n"
	}
	for name, c := range map[string]struct {
		text    string
		answers bool
		want    int
	}{
		"earlier, then the answer":                 {stale("request-0"), true, http.StatusOK},
		"earlier, then the own one":                {stale("request-0") + stale("request-1"), false, http.StatusServiceUnavailable},
		"earlier":                                  {stale("request-0"), false, http.StatusBadGateway},
		"without an ID, as of an earlier version":  {stale(""), false, http.StatusBadGateway},
		"of an endpoint, without an ID":            {refusal(""), false, http.StatusBadGateway},
		"of an endpoint, earlier, then the answer": {refusal("request-0"), true, http.StatusOK},
		"own": {stale("request-1"), false, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			there := repeatingEndpoint(t, "gateway-b", func(conn *endpointConn, r *http.Request) bool {
				_, _ = io.WriteString(conn, c.text)
				return c.answers && answering()(conn, r, 1)
			})
			here := newGateway(t, testTable(t, func(r *routes.Route) { r.HomeRegions = []string{"there"} }))
			here.changeView(func(v *view) {
				v.gateways = []fleet.Gateway{{Name: "gateway-b", Region: "there", ForwardAddress: there.address, Ready: true}}
			})
			here.call(t.Context(), http.MethodPost, "/unsafe/x", map[string]string{"Id": "request-0"})
			got := here.call(t.Context(), http.MethodPost, "/unsafe/x", nil)
			if got.status != c.want || !got.whole || got.header.Get(requestHeader) != "" {
				t.Errorf("status %d, whole: %v, header %v", got.status, got.whole, got.header)
			}
		})
	}
}

// TestForwardRefusalNamesRequest guards against a refusal of a forwarded request that the forwarding gateway could not match.
func TestForwardRefusalNamesRequest(t *testing.T) {
	for name, table := range map[string]*routes.Table{"no capacity": testTable(t, nil), "not ready": nil} {
		t.Run(name, func(t *testing.T) {
			there := newGateway(t, table)
			there.server.URL = "http://" + newForwardServer(t, there)
			got := there.call(t.Context(), http.MethodPost, "/unsafe/x", nil)
			if got.status != http.StatusServiceUnavailable || got.header.Get(requestHeader) != "request-1" {
				t.Errorf("status %d, header %v", got.status, got.header)
			}
		})
	}
}
