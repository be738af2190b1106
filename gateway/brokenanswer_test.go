package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/rawresponse"
	"arbutusreel/routes"
)

// upload sends a request whose body of 4 MB exceeds the socket buffers.
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

// way is the route of a request from the caller's gateway to a server.
type way string

const (
	// direct sends the request to the server as to an endpoint.
	direct way = "direct"
	// throughGateway forwards it to a gateway of another region, which sends it to the server.
	throughGateway way = "through a gateway"
	// asGateway forwards it to the server as to a gateway of another region.
	asGateway way = "as to a gateway"
)

func ways() []way { return []way{direct, throughGateway, asGateway} }

// newGatewayBefore returns a gateway whose requests get to the server at the address in the given way.
func newGatewayBefore(t *testing.T, address string, w way) *testGateway {
	t.Helper()
	if w != asGateway {
		g := newGateway(t, testTable(t, nil), &testEndpoint{id: "a", address: address})
		if w == direct {
			return g
		}
		here := newGateway(t, testTable(t, nil))
		connectRegions(t, here, g)
		return here
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
		for _, end := range rawresponse.Ends() {
			for _, way := range ways() {
				for _, path := range []string{"/unsafe/x", "/stream/x"} {
					t.Run(fmt.Sprintf("%s/%s/%s%s", name, end, way, path), func(t *testing.T) {
						t.Parallel()
						complete := end.Orderly() || name == "length" || name == "chunks"
						address := rawresponse.Serve(t, answer, end)
						for range 4 {
							got := newGatewayBefore(t, address, way).upload(t, path)
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

// malformedAnswers returns answers to the test request whose head or trailer is not valid HTTP/1.
func malformedAnswers(body string) map[string]string {
	answers := rawresponse.Malformed("Id: request-1\r\nSigned: a\r\nContent-Type: text/event-stream\r\n", body)
	sized := fmt.Sprintf("Id: request-1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	answers["rejection of an endpoint"] = "HTTP/1.1 503 Full\r\nX Y: a\r\nRejected: 1\r\n" + sized
	answers["rejection of a gateway"] = "HTTP/1.1 503 Full\r\nX Y: a\r\n" + outcomeHeader + ": notRun\r\n" + sized
	return answers
}

// TestMalformedAnswer has endpoints and other gateways answer with heads or trailers that are not valid HTTP/1: no caller gets such an
// answer as a complete one, and a request that may not run twice counts as one that may have run.
func TestMalformedAnswer(t *testing.T) {
	for name, answer := range malformedAnswers(pieces(0, 1)) {
		for _, way := range ways() {
			for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x"} {
				t.Run(fmt.Sprintf("%s/%s%s", name, way, path), func(t *testing.T) {
					t.Parallel()
					got := newGatewayBefore(t, rawresponse.Serve(t, answer, rawresponse.Closed), way).call(t.Context(), http.MethodPost, path, nil)
					if path == "/stream/x" && strings.Contains(name, "trailer") {
						// Events are passed on before the trailer arrives.
						if got.whole {
							t.Errorf("status %d, body %q", got.status, got.body)
						}
						return
					}
					if got.status != http.StatusBadGateway || !got.whole || strings.Contains(got.body, "piece") {
						t.Errorf("status %d, whole: %v, body %q", got.status, got.whole, got.body)
					}
				})
			}
		}
	}
}

// TestMalformedAnswerReplaced has one endpoint answer with a head or trailer that is not valid HTTP/1: another one answers a request that
// may run again or goes on with its stream, and no other one gets a request that may not.
func TestMalformedAnswerReplaced(t *testing.T) {
	const wrong = "id: 2\ndata: wrong\n\n"
	for name, answer := range malformedAnswers(wrong) {
		malformed := answerWith([]string{answer})
		for _, path := range []string{"/unsafe/x", "/safe/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				b := newEndpoint(t, "b", answering())
				got := newGateway(t, testTable(t, nil), newEndpoint(t, "a", malformed), b).call(t.Context(), http.MethodPost, path, nil)
				want, runs := http.StatusOK, 1
				if path == "/unsafe/x" {
					want, runs = http.StatusBadGateway, 0
				}
				if got.status != want || !got.whole || got.body == wrong || len(b.requests()) != runs {
					t.Errorf("status %d, whole: %v, body %q, %d requests at the other endpoint", got.status, got.whole, got.body, len(b.requests()))
				}
			})
		}
		if strings.Contains(name, "trailer") {
			continue
		}
		t.Run(name+", resumed stream", func(t *testing.T) {
			t.Parallel()
			g := newGateway(t, testTable(t, fourRuns), newEndpoint(t, "a", broken(pieces(0, 1), true)), newEndpoint(t, "b", malformed), newEndpoint(t, "c", streamRest))
			if got := g.call(t.Context(), http.MethodPost, "/stream/x", nil); got.body != pieces(0, lastPiece) || !got.whole {
				t.Errorf("whole: %v, body %q", got.whole, got.body)
			}
		})
	}
}

// TestMalformedTrailer has an endpoint end an answer in chunks with a trailer that holds no field.
func TestMalformedTrailer(t *testing.T) {
	for _, trailer := range []string{"X Y: a", "Content-Length : 4", "X: a\r\n Y: b", "X\x01: a", "X"} {
		for _, path := range []string{"/unsafe/x", "/stream/x"} {
			t.Run(fmt.Sprintf("%q%s", trailer, path), func(t *testing.T) {
				t.Parallel()
				e := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
					c.head(r.Header.Get("Id"))
					c.event(0)
					time.Sleep(5 * time.Millisecond)
					fmt.Fprintf(c, "0\r\n%s\r\n\r\n", trailer)
					return false
				})
				got := newGateway(t, testTable(t, nil), e).call(t.Context(), http.MethodPost, path, nil)
				if got.status == http.StatusOK && got.whole {
					t.Errorf("passed as a whole answer: %q", got.body)
				}
			})
		}
	}
}

// TestResumedStreamResetDuringUpload has an endpoint go on with a broken stream by an answer without length, and reset the connection
// while the request of 4 MB is still being sent: what it sent is no end of the stream, which goes on at another endpoint.
func TestResumedStreamResetDuringUpload(t *testing.T) {
	const head, events = "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: b\r\n", "Content-Type: text/event-stream\r\n"
	for name, answer := range map[string]string{
		"no length":         head + events + "\r\n" + pieces(2, 2),
		"HTTP/1.0":          strings.Replace(head, "1.1", "1.0", 1) + events + "\r\n" + pieces(2, 2),
		"connection: close": head + events + "Connection: close\r\n\r\n" + pieces(2, 2),
	} {
		for _, end := range []rawresponse.End{rawresponse.Reset, rawresponse.ResetLater} {
			for _, remote := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/remote %v", name, end, remote), func(t *testing.T) {
					t.Parallel()
					for range 4 {
						part := &testEndpoint{id: "b", address: rawresponse.Serve(t, answer, end)}
						endpoints := []*testEndpoint{newEndpoint(t, "a", broken(pieces(0, 1), true)), part, newEndpoint(t, "c", streamRest)}
						for _, used := range [][]*testEndpoint{endpoints[:2], endpoints} {
							g := newGateway(t, testTable(t, fourRuns), used...)
							if remote {
								there := g
								g = newGateway(t, testTable(t, fourRuns))
								connectRegions(t, g, there)
							}
							got := g.upload(t, "/stream/x")
							if len(used) == 2 && got.status == http.StatusOK && got.whole {
								t.Errorf("a part of a stream passed as a whole one: %q", got.body)
							}
							if len(used) == 3 && (got.body != pieces(0, lastPiece) || !got.whole) {
								t.Errorf("status %d, whole: %v, body %q", got.status, got.whole, got.body)
							}
						}
					}
				})
			}
		}
	}
}
