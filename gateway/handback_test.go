package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/routes"
)

// TestAnswerNotHandedBackCut guards against forwarded answers that are ended early, as if they were handed back, although they end
// within the grace period and nobody can go on with them.
func TestAnswerNotHandedBackCut(t *testing.T) {
	const size = 3 << 19
	for _, c := range []struct{ name, path, begin, end string }{
		{"long answer", "/safe/x", strings.Repeat("x", size-10), strings.Repeat("x", 10)},
		{"stream without event IDs", "/stream/x", "data: a\n\n", "data: b\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g *testGateway
			begun := make(chan struct{})
			endpoint := newEndpoint(t, "a", func(conn *endpointConn, r *http.Request, _ int) bool {
				write := func(part string) { _, _ = io.WriteString(conn, part) }
				if c.path == "/stream/x" {
					conn.head(r.Header.Get("Id"))
					write = conn.chunk
				} else {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: a\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), size)
				}
				write(c.begin)
				close(begun)
				<-g.answerCtx.Done()
				time.Sleep(30 * time.Millisecond)
				write(c.end)
				if c.path == "/stream/x" {
					conn.end()
				}
				return false
			})
			g = newGateway(t, testTable(t, nil), endpoint)
			g.cfg.Grace = 1500 * time.Millisecond
			s := serveTCP(t, g, true)
			caller := newRawCaller(t, s.address)
			fmt.Fprintf(caller.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nId: r\r\nPatience: 5000\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", c.path, testHost, takesBackHeader)
			body := make(chan string, 1)
			go func() {
				a, err := http.ReadResponse(caller.in, nil)
				if err != nil {
					body <- err.Error()
					return
				}
				defer a.Body.Close()
				b, err := io.ReadAll(a.Body)
				if err != nil {
					b = fmt.Appendf(nil, "%d bytes, %v", len(b), err)
				}
				body <- string(b)
			}()
			<-begun
			time.Sleep(100 * time.Millisecond)
			g.stop()
			g.closeServers(time.Unix(0, g.stopBeganNanos.Load()).Add(g.cfg.Grace-stopMargin), s.Server)
			if got := <-body; got != c.begin+c.end {
				t.Errorf("the answer is not whole: %.100s", got)
			}
		})
	}
}

// TestEndpointHandsStreamBack guards against streams that an endpoint ends with the comment by which gateways hand them back.
func TestEndpointHandsStreamBack(t *testing.T) {
	endpoint := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
		c.head(r.Header.Get("Id"))
		c.event(0)
		c.chunk(string(formatHandBack(1)))
		c.event(1)
		c.end()
		return true
	})
	homeRegions := func(r *routes.Route) { r.HomeRegions = []string{"there"} }
	there := newGateway(t, testTable(t, homeRegions), endpoint)
	there.cfg.Region, there.placer.cfg.Region = "there", "there"
	here := newGateway(t, testTable(t, homeRegions))
	here.view.Load().software.add(fleet.Endpoint{Service: "desk"}, "there", true)
	v := *here.view.Load()
	v.gateways = []fleet.Gateway{{Name: "gateway-b", Region: "there", ForwardAddress: newForwardServer(t, there), Ready: true}}
	here.view.Store(&v)
	if got := here.call(t.Context(), "POST", "/stream/x", nil); !got.whole || got.body != pieces(0, 1) || len(endpoint.requests()) != 1 {
		t.Errorf("%+v after %d runs", got, len(endpoint.requests()))
	}
}

// flushHeldWriter calls hold before each flush.
type flushHeldWriter struct {
	http.ResponseWriter

	hold func()
}

func (w *flushHeldWriter) FlushError() error {
	w.hold()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *flushHeldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestFirstEventAtGraceEndNotHandedBack guards against a forwarded stream that is not handed back because a stopping gateway hands
// streams back while the first event is on its way to the other gateway.
func TestFirstEventAtGraceEndNotHandedBack(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	endpoint := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
		c.head(r.Header.Get("Id"))
		c.event(0)
		<-release
		return false
	})
	g := newGateway(t, testTable(t, nil), endpoint)
	hold := sync.OnceFunc(g.endAnswersAndWait)
	g.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.serve(&flushHeldWriter{ResponseWriter: w, hold: hold}, r, true)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	got := g.call(ctx, "POST", "/stream/x", map[string]string{takesBackHeader: "1"})
	if want := pieces(0, 0) + string(formatHandBack(1)); got.body != want {
		t.Errorf("body %q, want %q", got.body, want)
	}
}
