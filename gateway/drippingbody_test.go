package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"arbutusreel/routes"
)

// TestDrippingBody sends bodies that arrive byte by byte, with a long length, a short one and in chunks: the request is refused as not run once its
// deadline has passed, and its connection is closed.
func TestDrippingBody(t *testing.T) {
	table := testTable(t, func(r *routes.Route) { r.Timeout = 300 * time.Millisecond })
	g := newGateway(t, table, answeringEndpoint(t, "a"))
	for name, framing := range map[string]string{"long": "Content-Length: 1000000\r\n\r\n", "short": "Content-Length: 100000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\nf0000\r\n"} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", g.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
			_, _ = io.WriteString(c, "POST /unsafe/x HTTP/1.1\r\nHost: "+testHost+"\r\nId: request-1\r\n"+framing)
			done := make(chan struct{})
			defer close(done)
			go func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(5 * time.Millisecond):
						_, _ = io.WriteString(c, "x")
					}
				}
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusRequestTimeout || !resp.Close {
				t.Errorf("status %d, closed %t", resp.StatusCode, resp.Close)
			}
		})
	}
}
