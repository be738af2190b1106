package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/routes"
)

// lastPiece is the ID of the last event of the streams in these tests.
const lastPiece = 3

// nextEvent returns the ID of the first event that a request asks for.
func nextEvent(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last"))
	if err != nil {
		return 0
	}
	return last + 1
}

// streamRest sends the events that a request asks for, and the end.
func streamRest(c *endpointConn, r *http.Request, _ int) bool {
	c.head(r.Header.Get("Id"))
	for n := nextEvent(r); n <= lastPiece; n++ {
		c.event(n)
	}
	c.end()
	return true
}

// streamBreaks are the places where a stream that has begun is broken off: what is sent of it, and the whole events in that.
func streamBreaks() map[string]struct{ sent, events string } {
	partial := pieces(0, 1) + "id: 2\ndata: pie"
	return map[string]struct{ sent, events string }{
		"between events":       {pieces(0, 1), pieces(0, 1)},
		"inside an event":      {partial, pieces(0, 1)},
		"before an empty line": {partial + "ce 2\n", pieces(0, 1)},
		"before the end":       {pieces(0, lastPiece), pieces(0, lastPiece)},
	}
}

// broken returns a script that breaks a stream off after the given bytes, in order or by a reset.
func broken(sent string, reset bool) endpointScript {
	return func(c *endpointConn, r *http.Request, _ int) bool {
		c.head(r.Header.Get("Id"))
		if sent != "" {
			c.chunk(sent)
		}
		time.Sleep(10 * time.Millisecond)
		return reset && c.reset()
	}
}

// errorText is the body of the errors in these tests, which looks like an event, and so may be taken for one.
const errorText = "event: error\ndata: overloaded\n\n"

// errorAnswers are answers that do not go on with a stream. The text {ID} stands for that of the request.
func errorAnswers() map[string][]string {
	answers := map[string][]string{}
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(errorText), errorText)
	for _, status := range []int{400, 421, 429, 500, 503, 504} {
		for name, header := range map[string]string{"rejected": "Rejected: 1\r\n", "signed": "Signed: b\r\n", "unsigned": "", "from a gateway": outcomeHeader + ": notRun\r\n"} {
			answers[fmt.Sprint(status, " ", name)] = []string{fmt.Sprintf("HTTP/1.1 %d Status\r\nId: {ID}\r\n%s%s", status, header, length)}
		}
	}
	const failed, ok, events = "HTTP/1.1 503 Status\r\nId: {ID}\r\n", "HTTP/1.1 200 OK\r\nId: {ID}\r\nSigned: b\r\n", "Content-Type: text/event-stream\r\n"
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(errorText), errorText)
	for name, answer := range map[string][]string{
		"error in chunks":                   {failed + chunked + "0\r\n\r\n"},
		"error in chunks, cut":              {failed + chunked},
		"error without length":              {failed + "Connection: close\r\n\r\n" + errorText},
		"error of another length":           {failed + "Content-Length: 900\r\n\r\n" + errorText},
		"error whose head comes in pieces":  {"HTTP/1.1 50", "3 Status\r\nId: {I", "D}\r\nContent-Le", "ngth: 4\r\n\r\nfull"},
		"head cut":                          {"HTTP/1.1 503 Sta"},
		"informational response and error":  {"HTTP/1.1 103 Early Hints\r\n\r\n" + failed + length},
		"informational response only":       {"HTTP/1.1 103 Early Hints\r\n\r\n"},
		"other protocol":                    {"HTTP/1.1 101 Switching Protocols\r\nId: {ID}\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + errorText},
		"no HTTP":                           {errorText},
		"no answer":                         {},
		"success that is not a stream":      {ok + length},
		"unsigned success":                  {"HTTP/1.1 200 OK\r\nId: {ID}\r\n" + events + length},
		"success with an encoding":          {ok + events + "Content-Encoding: gzip\r\n" + length},
		"event without ID":                  {ok + events + length},
		"event of another length":           {ok + events + "Content-Length: 900\r\n\r\n" + errorText},
		"event without ID in chunks":        {ok + events + chunked + "0\r\n\r\n"},
		"event without ID before the rest":  {ok + events + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(errorText+pieces(2, 3)), errorText+pieces(2, 3)) + "0\r\n\r\n"},
		"stream from its start":             {ok + events + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(pieces(0, 3)), pieces(0, 3))},
		"stream with a gap":                 {ok + events + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(pieces(9, 9)), pieces(9, 9))},
		"stream without length or event":    {ok + events + "\r\n"},
		"stream without length, part of it": {ok + events + "\r\nid: 2\n"},
	} {
		answers[name] = answer
	}
	return answers
}

// answerWith returns a script that sends an answer in pieces and closes the connection.
func answerWith(parts []string) endpointScript {
	return func(c *endpointConn, r *http.Request, _ int) bool {
		for _, part := range parts {
			fmt.Fprint(c, strings.ReplaceAll(part, "{ID}", r.Header.Get("Id")))
			if len(parts) > 1 {
				time.Sleep(2 * time.Millisecond)
			}
		}
		return false
	}
}

// checkBroken reports a stream that holds anything but whole events in order, the given ones at least, or that looks
// complete without the last one.
func checkBroken(t *testing.T, got result, atLeast string) {
	t.Helper()
	all := pieces(0, lastPiece)
	if got.status != http.StatusOK || !strings.HasPrefix(all, got.body) || len(got.body)%len(pieces(0, 0)) != 0 || !strings.HasPrefix(got.body, atLeast) {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
	if got.whole && got.body != all {
		t.Errorf("looks complete after %q", got.body)
	}
}

// fourRuns allows a request to run at four endpoints.
func fourRuns(r *routes.Route) { r.MaxAttempts = 4 }

// TestErrorInBrokenStream breaks streams off and has the next endpoints answer with errors: the caller gets whole events of
// its stream only, and it does not look complete.
func TestErrorInBrokenStream(t *testing.T) {
	for place, at := range streamBreaks() {
		for name, answer := range errorAnswers() {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				b := newEndpoint(t, "b", answerWith(answer))
				g := newGateway(t, testTable(t, fourRuns), newEndpoint(t, "a", broken(at.sent, false)), b, newEndpoint(t, "c", answerWith(answer)))
				checkBroken(t, g.call(t.Context(), http.MethodPost, "/stream/x", nil), at.events)
				if len(b.requests()) != 1 {
					t.Errorf("the second endpoint got %d requests", len(b.requests()))
				}
			})
		}
	}
}

// TestBrokenStreamGoesOnAfterErrors breaks streams off and has two endpoints answer with errors before one goes on: the caller
// gets the whole stream.
func TestBrokenStreamGoesOnAfterErrors(t *testing.T) {
	answers := errorAnswers()
	for place, at := range streamBreaks() {
		for _, name := range []string{"503 rejected", "500 signed", "429 unsigned", "error in chunks, cut", "no HTTP", "informational response and error", "event without ID before the rest", "stream from its start"} {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				g := newGateway(t, testTable(t, fourRuns), newEndpoint(t, "a", broken(at.sent, true)),
					newEndpoint(t, "b", answerWith(answers[name])), newEndpoint(t, "c", answerWith(answers[name])), newEndpoint(t, "d", streamRest))
				if got := g.call(t.Context(), http.MethodPost, "/stream/x", nil); got.body != pieces(0, lastPiece) || !got.whole {
					t.Errorf("whole: %v, body %q", got.whole, got.body)
				}
			})
		}
	}
}

// TestErrorBeforeFirstEvent breaks streams off before their first event and has the next endpoint answer with an error: the
// caller gets the whole stream of the third one, or an error that is not a stream.
func TestErrorBeforeFirstEvent(t *testing.T) {
	for place, sent := range map[string]string{"after the head": "", "inside the first event": "id: 0\ndata: "} {
		for name, third := range map[string]endpointScript{"served": streamRest, "failed": answerWith(errorAnswers()["500 signed"])} {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				g := newGateway(t, testTable(t, fourRuns), newEndpoint(t, "a", broken(sent, true)), newEndpoint(t, "b", answerWith(errorAnswers()["500 signed"])), newEndpoint(t, "c", third))
				got := g.call(t.Context(), http.MethodPost, "/stream/x", nil)
				if name == "served" && (got.body != pieces(0, lastPiece) || !got.whole) || name == "failed" && (got.status < http.StatusInternalServerError || got.body != errorText) {
					t.Errorf("status %d, whole: %v, body %q", got.status, got.whole, got.body)
				}
			})
		}
	}
}

// TestErrorOfGatewayInBrokenStream breaks streams off at an endpoint and has a gateway of another region answer with errors:
// the caller gets whole events of its stream only, and it does not look complete. It is the same if a gateway breaks them
// off, which may have used up all runs, so that no other is asked.
func TestErrorOfGatewayInBrokenStream(t *testing.T) {
	for place, at := range streamBreaks() {
		for name, answer := range errorAnswers() {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				next := newEndpoint(t, "g", answerWith(answer))
				g := newGateway(t, testTable(t, fourRuns), newEndpoint(t, "a", broken(at.sent, true)))
				g.setGateways(next.address)
				checkBroken(t, g.call(t.Context(), http.MethodPost, "/stream/x", nil), at.events)
				if len(next.requests()) != 1 {
					t.Errorf("the gateway got %d requests", len(next.requests()))
				}
				g = newGateway(t, testTable(t, fourRuns))
				g.setGateways(newEndpoint(t, "g", broken(at.sent, true)).address, next.address)
				checkBroken(t, g.call(t.Context(), http.MethodPost, "/stream/x", nil), at.events)
				if len(next.requests()) != 1 {
					t.Error("the request was sent to a second gateway")
				}
			})
		}
	}
}

// TestErrorInOtherRegionInBrokenStream breaks streams off inside an event and has the gateway of another region go on, whose
// endpoint answers with errors: the caller gets whole events of its stream only, and it does not look complete.
func TestErrorInOtherRegionInBrokenStream(t *testing.T) {
	at := streamBreaks()["inside an event"]
	for name, answer := range errorAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newEndpoint(t, "b", answerWith(answer))
			here, there := newGateway(t, testTable(t, fourRuns), newEndpoint(t, "a", broken(at.sent, true))), newGateway(t, testTable(t, fourRuns), b)
			connectRegions(t, here, there)
			checkBroken(t, here.call(t.Context(), http.MethodPost, "/stream/x", nil), at.events)
			if len(b.requests()) != 1 {
				t.Errorf("the endpoint got %d requests", len(b.requests()))
			}
		})
	}
}

// setGateways publishes a view with gateways of other regions, where the waits grow from one to the next.
func (g *testGateway) setGateways(addresses ...string) {
	v := *g.view.Load()
	v.capacities = map[string]regionCapacity{}
	for i, address := range addresses {
		region := "there" + strconv.Itoa(i)
		v.gateways = append(v.gateways, fleet.Gateway{Name: "gateway-" + region, Region: region, Ready: true, ForwardAddress: address})
		room := capacity.RegionCapacity{Region: region, Endpoints: 9, PromptTokens: 1 << 40}
		for rank := range room.Wait {
			room.Wait[rank] = time.Duration(i) * 500 * time.Millisecond
		}
		v.capacities[region] = regionCapacity{reportedAt: time.Now(), services: map[string]capacity.RegionCapacity{"desk": room}}
		v.software.add(fleet.Endpoint{Service: "desk"}, region, true)
	}
	g.view.Store(&v)
}

// TestGatewayFailsInBrokenStream has the gateway itself give up streams that have begun: it writes nothing after the last
// whole event, and the stream does not look complete.
func TestGatewayFailsInBrokenStream(t *testing.T) {
	silent := func(c *endpointConn, r *http.Request, _ int) bool {
		c.head(r.Header.Get("Id"))
		c.chunk(pieces(0, 1) + "id: 2\nda")
		time.Sleep(time.Second)
		return false
	}
	partial := broken(pieces(0, 1)+"id: 2\nda", true)
	for _, c := range []struct {
		name   string
		script endpointScript
		route  func(*routes.Route)
		change func(*testGateway)
	}{
		{"deadline", silent, nil, nil},
		{"not repeatable", partial, func(r *routes.Route) { r.Resumable = false }, nil},
		{"runs used up", partial, func(r *routes.Route) { r.MaxAttempts = 1 }, nil},
		{"retry budget exhausted", partial, nil, func(g *testGateway) { g.placer.cfg.RetryRatio, g.placer.cfg.RetryReserve = 0, 0 }},
		{"no other endpoint", partial, nil, (*testGateway).removeSecondEndpoint},
		{"stopping", partial, nil, func(g *testGateway) {
			g.removeSecondEndpoint()
			g.stopBeganNanos.Store(time.Now().UnixNano())
		}},
		{"route removed", func(c *endpointConn, r *http.Request, n int) bool {
			partial(c, r, n)
			time.Sleep(100 * time.Millisecond)
			return false
		}, nil, func(g *testGateway) {
			time.AfterFunc(50*time.Millisecond, func() {
				v := *g.view.Load()
				v.table, _ = routes.New(2, nil, nil, routes.Limits{})
				g.view.Store(&v)
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newGateway(t, testTable(t, c.route), newEndpoint(t, "a", c.script), newEndpoint(t, "b", streamRest))
			if c.change != nil {
				c.change(g)
			}
			got := g.call(t.Context(), http.MethodPost, "/stream/x", map[string]string{"Patience": "400"})
			if got.status != http.StatusOK || got.body != pieces(0, 1) || got.whole {
				t.Errorf("status %d, whole: %v, body %q", got.status, got.whole, got.body)
			}
		})
	}
}

// removeSecondEndpoint publishes a view with the first endpoint only.
func (g *testGateway) removeSecondEndpoint() {
	v := *g.view.Load()
	v.endpoints = map[string][]fleet.Endpoint{"desk": v.endpoints["desk"][:1]}
	g.view.Store(&v)
}

// TestResumedStreamWithoutEvent has a caller take up a stream at an endpoint that ends its answer, without length, before the
// first event, here or in another region: that does not look like the end of the stream.
func TestResumedStreamWithoutEvent(t *testing.T) {
	empty := answerWith(errorAnswers()["stream without length or event"])
	for name, remote := range map[string]bool{"here": false, "in another region": true} {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t, testTable(t, nil), newEndpoint(t, "a", empty))
			if remote {
				there := g
				g = newGateway(t, testTable(t, nil))
				connectRegions(t, g, there)
			}
			if got := g.call(t.Context(), http.MethodPost, "/stream/x", map[string]string{"Last": "1"}); got.status < http.StatusInternalServerError {
				t.Errorf("status %d, whole: %v, body %q", got.status, got.whole, got.body)
			}
		})
	}
}

// TestEventsOutOfOrder has an endpoint repeat events or go back within an answer: the caller's stream ends before that, and does
// not look complete.
func TestEventsOutOfOrder(t *testing.T) {
	for name, ids := range map[string][]int{"repeated": {0, 1, 1, 2, 3}, "back to the start": {0, 1, 0, 1, 2, 3}} {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t, testTable(t, nil), newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
				c.head(r.Header.Get("Id"))
				for _, id := range ids {
					c.event(id)
				}
				c.end()
				return true
			}))
			if got := g.call(t.Context(), http.MethodPost, "/stream/x", nil); got.body != pieces(0, 1) || got.whole {
				t.Errorf("whole: %v, body %q", got.whole, got.body)
			}
		})
	}
}

// TestErrorInResumedStream has callers take up a stream at an endpoint that does not go on with it: the caller gets the rest
// from the next endpoint, or an error that is not a stream.
func TestErrorInResumedStream(t *testing.T) {
	for _, name := range []string{"event without ID", "event without ID before the rest", "stream from its start", "stream with a gap"} {
		for served, next := range map[string]endpointScript{"served": streamRest, "failed": answerWith(errorAnswers()[name])} {
			t.Run(name+", "+served, func(t *testing.T) {
				t.Parallel()
				g := newGateway(t, testTable(t, nil), newEndpoint(t, "a", answerWith(errorAnswers()[name])), newEndpoint(t, "b", next))
				got := g.call(t.Context(), http.MethodPost, "/stream/x", map[string]string{"Last": "1"})
				if served == "served" && (got.body != pieces(2, lastPiece) || !got.whole) || served == "failed" && got.status < http.StatusInternalServerError {
					t.Errorf("status %d, whole: %v, body %q", got.status, got.whole, got.body)
				}
			})
		}
	}
}

// TestBrokenAnswerUnderHTTP10 has a caller speak HTTP/1.0, which knows no chunks: an answer that breaks off after it has begun
// must not end in order.
func TestBrokenAnswerUnderHTTP10(t *testing.T) {
	long := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\nContent-Length: %d\r\n\r\n%s", 2*maxBufferedBytes, strings.Repeat("x", maxBufferedBytes+9))
	for path, c := range map[string]struct {
		script endpointScript
		whole  bool
	}{
		"/stream/broken": {broken(pieces(0, 1)+"id: 2\nda", true), false},
		"/stream/whole":  {streamRest, true},
		"/safe/broken":   {answerWith([]string{long}), false},
	} {
		t.Run(path, func(t *testing.T) {
			g := newGateway(t, testTable(t, nil), newEndpoint(t, "a", c.script))
			caller, err := net.Dial("tcp", g.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			fmt.Fprintf(caller, "POST %s HTTP/1.0\r\nHost: %s\r\nId: request-1\r\nContent-Length: 0\r\n\r\n", path, testHost)
			if b, err := io.ReadAll(caller); (err == nil) != c.whole {
				t.Errorf("%d bytes, error %v", len(b), err)
			}
		})
	}
}

// TestHeadInsideStream has an endpoint break a stream off and send another answer on the same connection, which an answer without
// length or an unfinished chunk takes in: the caller gets none of it, and the stream goes on at the next endpoint.
func TestHeadInsideStream(t *testing.T) {
	const text = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\noverloaded"
	for framing, head := range map[string]string{"without length": "\r\n", "in a chunk": "Transfer-Encoding: chunked\r\n\r\n900\r\n"} {
		for place, sent := range map[string]string{"between events": pieces(0, 1), "inside an event": pieces(0, 1) + "id: 2\ndata: pie", "after a line": pieces(0, 1) + "id: 2\ndata: piece 2\n"} {
			t.Run(framing+", "+place, func(t *testing.T) {
				t.Parallel()
				a := newEndpoint(t, "a", answerWith([]string{"HTTP/1.1 200 OK\r\nId: {ID}\r\nSigned: a\r\nContent-Type: text/event-stream\r\n" + head + sent + text}))
				g := newGateway(t, testTable(t, nil), a, newEndpoint(t, "b", streamRest))
				if got := g.call(t.Context(), http.MethodPost, "/stream/x", nil); got.body != pieces(0, lastPiece) || !got.whole {
					t.Errorf("whole: %v, body %q", got.whole, got.body)
				}
			})
		}
	}
}
