package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"arbutusreel/fleet"
	"arbutusreel/routes"
)

// cutPoints returns the lengths at which a head is cut off: in the middle and at the end of each line, and at each of the last bytes
// before it is whole.
func cutPoints(head string) []int {
	points := []int{0}
	at := 0
	for line := range strings.Lines(head) {
		points = append(points, at+len(line)/2, at+len(line))
		at += len(line)
	}
	for n := len(head) - 4; n < len(head); n++ {
		points = append(points, n)
	}
	slices.Sort(points)
	points = slices.Compact(points)
	return points[:len(points)-1]
}

// TestAnswerCutInHead has an endpoint, or another gateway, stop within the head of its answer and close the connection: the caller
// never gets a success, and a request that must not run again is not sent again.
func TestAnswerCutInHead(t *testing.T) {
	signed := "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\n"
	heads := map[string]string{
		"length":                 signed + "Content-Length: 16\r\n\r\n",
		"chunks":                 signed + "Transfer-Encoding: chunked\r\n\r\n",
		"neither":                signed + "Connection: close\r\n\r\n",
		"lines that end with LF": strings.ReplaceAll(signed, "\r\n", "\n") + "Content-Length: 16\n\n",
		"after another head":     "HTTP/1.1 103 Early Hints\r\n\r\n" + signed + "Content-Length: 16\r\n\r\n",
		"HTTP/1.0":               "HTTP/1.0 200 OK\r\nId: request-1\r\nSigned: a\r\n\r\n",
	}
	for name, head := range heads {
		for _, forwarded := range []bool{false, true} {
			for _, path := range []string{"/unsafe/x", "/stream/x"} {
				if path == "/stream/x" {
					head = strings.Replace(head, "Signed: a", "Signed: a\r\nContent-Type: text/event-stream", 1)
				}
				t.Run(name+path+" forwarded "+strconv.FormatBool(forwarded), func(t *testing.T) {
					t.Parallel()
					var wg sync.WaitGroup
					for _, length := range cutPoints(head) {
						wg.Go(func() { checkCutHead(t, path, head[:length], forwarded) })
					}
					wg.Wait()
				})
			}
		}
	}
}

// checkCutHead sends a request to an endpoint, or forwards it to a gateway, that answers with a part of a head.
func checkCutHead(t *testing.T, path, head string, forwarded bool) {
	t.Helper()
	a := newEndpoint(t, "a", func(c *endpointConn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, head)
		return false
	})
	table := testTable(t, func(r *routes.Route) {
		r.Resumable, r.MaxAttempts = false, 1
		if forwarded {
			r.HomeRegions = []string{"there"}
		}
	})
	g := newGateway(t, table, a)
	v := *g.view.Load()
	v.gateways = []fleet.Gateway{{Name: "gateway-b", Region: "there", ForwardAddress: a.address, Ready: true}}
	g.view.Store(&v)
	got := g.call(t.Context(), "POST", path, nil)
	if got.status < 500 || got.status == http.StatusServiceUnavailable || !got.whole || len(a.requests()) != 1 {
		t.Errorf("after %q: %d, %q, error %v, sent %d times", head, got.status, got.body, got.err, len(a.requests()))
	}
}
