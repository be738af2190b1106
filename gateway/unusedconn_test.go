package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"arbutusreel/exchange"
)

// distantLink carries connections to a target. That the target has closed one is seen after a delay, as between regions; closing
// receives a value at once.
type distantLink struct {
	address string
	opened  chan struct{}
	closing chan struct{}
}

func newDistantLink(t *testing.T, target string, delay time.Duration) *distantLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &distantLink{address: listener.Addr().String(), opened: make(chan struct{}, 16), closing: make(chan struct{}, 16)}
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	wg.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			l.opened <- struct{}{}
			wg.Go(func() {
				_, _ = io.Copy(far, near)
				_ = far.Close()
			})
			wg.Go(func() {
				_, _ = io.Copy(near, far)
				l.closing <- struct{}{}
				time.Sleep(delay)
				_ = near.Close()
			})
		}
	})
	return l
}

// TestForwardAsUnusedConnectionCloses guards against a request that is lost because the other gateway closes a connection on
// which no request has come yet while this gateway still uses it.
func TestForwardAsUnusedConnectionCloses(t *testing.T) {
	endpoint := newEndpoint(t, "endpoint-a", func(c *endpointConn, r *http.Request, _ int) bool {
		c.plain(r.Header.Get("Id"), http.StatusOK, "done")
		return true
	})
	there := newGateway(t, testTable(t, nil), endpoint)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := there.Gateway.server(func(w http.ResponseWriter, r *http.Request) { there.serve(w, r, true) })
	go there.serveHTTP(server, listener)
	t.Cleanup(func() { _ = server.Close() })
	l := newDistantLink(t, listener.Addr().String(), 500*time.Millisecond)

	here := newGateway(t, testTable(t, nil))
	t.Cleanup(here.peers.Close)
	here.peers.KeepWarm(map[string]int{l.address: 1})
	<-l.opened
	select {
	case <-l.closing:
	case <-time.After(readHeaderTimeout + time.Second):
	}
	here.peers.KeepWarm(nil)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	answer, err := here.peers.Send(ctx, l.address, &exchange.Request{
		Method: http.MethodPost, Target: "/unsafe/1", Host: testHost, Header: http.Header{"Id": {"request-1"}}, ID: "request-1", ResponseID: here.cfg.Headers.ResponseID,
	})
	if err != nil {
		t.Fatalf("a request sent over a connection that was never used: %v", err)
	}
	answer.Close()
}
