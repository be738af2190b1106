package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestRequestCutAtEarlyEnd guards against a stopping gateway that ends early and cuts off a request which it has read and passed on
// since it last looked whether there was any.
func TestRequestCutAtEarlyEnd(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			began, release := make(chan struct{}), make(chan struct{})
			endpoint := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, n int) bool {
				id := r.Header.Get("Id")
				if r.URL.Path != "/stream/x" {
					if n > 0 {
						close(began)
						<-release
					}
					c.plain(id, http.StatusOK, "answer")
					return true
				}
				c.head(id)
				c.event(0)
				if n > 0 {
					close(began)
					<-release
				}
				c.event(1)
				c.end()
				return true
			})
			g := newGateway(t, testTable(t, nil), endpoint)
			server := g.Gateway.server(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, false) })
			server.ConnState = g.active.record
			l, err := listen(t.Context(), "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go g.serveHTTP(server, l)
			caller, idle := newRawCaller(t, l.Addr().String()), newRawCaller(t, l.Addr().String())
			if got := caller.send("kept", path); got.err != nil || got.status != http.StatusOK {
				t.Fatalf("in calm: %+v", got)
			}
			answers, closed := make(chan rawAnswer, 1), make(chan struct{})
			go func() { answers <- caller.send("crossing", path) }()
			<-began
			go func() {
				defer close(closed)
				g.closeServers(time.Now().Add(10*time.Second), server)
			}()
			for {
				conn, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					break
				}
				_ = conn.Close()
			}
			if got := idle.send("late", path); got.err == nil {
				t.Errorf("on an idle connection: %+v", got)
			}
			close(release)
			if got := <-answers; got.err != nil || got.status != http.StatusOK {
				t.Errorf("read before the end: %+v", got)
			}
			<-closed
			if n := len(endpoint.requests()); n != 2 {
				t.Errorf("%d requests reached the endpoint, want 2", n)
			}
		})
	}
}
