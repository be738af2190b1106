package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"arbutusreel/fleet"
	"arbutusreel/routes"
)

// earlyEndpoint answers with the text as soon as the head of a request has arrived, ends the connection in order or resets it, and
// returns its address.
func earlyEndpoint(t *testing.T, text string, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				c := conn.(*net.TCPConn)
				if _, err := c.Read(make([]byte, 1<<10)); err != nil {
					return
				}
				_, _ = io.WriteString(c, text)
				if reset {
					_ = c.SetLinger(0)
					return
				}
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return l.Addr().String()
}

// upload sends a request with a body of 4 MB, which the socket buffers do not take.
func (g *testGateway) upload(t *testing.T, path string) result {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.server.URL+path, strings.NewReader(strings.Repeat("x", 4<<20)))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Id", "request-1")
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return result{status: a.StatusCode, header: a.Header, body: string(b), whole: err == nil, err: err}
}

// newGatewayBefore returns a gateway that sends requests to the address of an endpoint, or forwards them to it as to another gateway.
func newGatewayBefore(t *testing.T, address string, forwards bool) *testGateway {
	t.Helper()
	if !forwards {
		return newGateway(t, testTable(t, nil), &testEndpoint{id: "a", address: address})
	}
	g := newGateway(t, testTable(t, func(r *routes.Route) { r.HomeRegions = []string{"there"} }))
	g.changeView(func(v *view) {
		v.software.add(fleet.Endpoint{Service: "desk"}, "there", true)
		v.gateways = []fleet.Gateway{{Name: "gateway-b", Region: "there", ForwardAddress: address, Ready: true}}
	})
	return g
}

// TestAnswerResetDuringUpload has endpoints and other gateways answer a long request early and end the connection: an answer whose
// head states no length is complete only if the connection ended in order, and any other one once it has arrived.
func TestAnswerResetDuringUpload(t *testing.T) {
	const head, events = "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\n", "Content-Type: text/event-stream\r\n"
	text := pieces(0, 1)
	framings := map[string]string{
		"no length":         head + events + "\r\n" + text,
		"HTTP/1.0":          strings.Replace(head, "1.1", "1.0", 1) + events + "\r\n" + text,
		"connection: close": head + events + "Connection: close\r\n\r\n" + text,
		"length":            head + events + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text),
		"chunks":            head + events + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text),
	}
	for name, answer := range framings {
		for _, reset := range []bool{true, false} {
			for _, forwards := range []bool{false, true} {
				for _, path := range []string{"/unsafe/x", "/stream/x"} {
					t.Run(fmt.Sprintf("%s/reset %v/forwards %v%s", name, reset, forwards, path), func(t *testing.T) {
						t.Parallel()
						complete := !reset || name == "length" || name == "chunks"
						address := earlyEndpoint(t, answer, reset)
						for range 4 {
							got := newGatewayBefore(t, address, forwards).upload(t, path)
							if complete && (got.status != http.StatusOK || !got.whole || got.body != text) {
								t.Errorf("status %d, whole: %v, body %q", got.status, got.whole, got.body)
							}
							if !complete && got.status == http.StatusOK && got.whole {
								t.Errorf("a part of an answer passed as a whole one: %q", got.body)
							}
						}
					})
				}
			}
		}
	}
}
