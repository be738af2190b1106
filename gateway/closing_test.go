package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/fleet"
	"arbutusreel/problem"
	"arbutusreel/routes"
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
			server := serveTCP(t, g, false)
			caller, idle := newRawCaller(t, server.address), newRawCaller(t, server.address)
			if got := caller.send("kept", path); got.err != nil || got.status != http.StatusOK {
				t.Fatalf("in calm: %+v", got)
			}
			answers, closed := make(chan rawAnswer, 1), make(chan struct{})
			go func() { answers <- caller.send("crossing", path) }()
			<-began
			go func() {
				defer close(closed)
				g.closeServers(time.Now().Add(10*time.Second), server.Server)
			}()
			for {
				conn, err := net.Dial("tcp", server.address)
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

// TestRequestCutAtGraceEnd guards against a stopping gateway that cuts off, at the end of its grace period, requests that it accepted
// before and whose answers have not begun: they are answered that they may have run.
func TestRequestCutAtGraceEnd(t *testing.T) { checkGraceEnd(t, func(g *testGateway) { g.stop() }) }

// TestRequestCutAfterSuspension guards against the same if the process is suspended when it is time to answer them.
func TestRequestCutAfterSuspension(t *testing.T) {
	checkGraceEnd(t, func(g *testGateway) { g.stopBeganNanos.Store(time.Now().Add(-g.cfg.Grace).UnixNano()) })
}

// checkGraceEnd closes the servers of a gateway with requests in progress after stop, and checks the answers.
func checkGraceEnd(t *testing.T, stop func(*testGateway)) {
	t.Helper()
	release := make(chan struct{})
	defer close(release)
	endpoint := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
		if r.Header.Get("Id") == "begun" {
			c.head("begun")
			c.event(0)
		}
		<-release
		return false
	})
	g := newGateway(t, testTable(t, nil), endpoint)
	g.cfg.Grace = 1500 * time.Millisecond
	callers, forwards := serveTCP(t, g, false), serveTCP(t, g, true)
	requests := map[string]struct{ address, path string }{
		"unsafe": {callers.address, "/unsafe/x"}, "safe": {callers.address, "/safe/x"}, "stream": {callers.address, "/stream/x"}, "begun": {callers.address, "/stream/x"},
		"forwarded unsafe": {forwards.address, "/unsafe/x"}, "forwarded stream": {forwards.address, "/stream/x"},
	}
	var wg sync.WaitGroup
	for id, r := range requests {
		c := newRawCaller(t, r.address)
		wg.Go(func() {
			got := c.send(id, r.path)
			if id == "begun" {
				if got.err == nil {
					t.Errorf("%s looks complete: %+v", id, got)
				}
				return
			}
			if got.err != nil || got.status != http.StatusBadGateway || got.header.Get(outcomeHeader) == string(problem.NotRun) {
				t.Errorf("%s: %+v", id, got)
			}
		})
	}
	waitFor(t, "all requests are at the endpoint, and the stream has begun", func() bool {
		return len(endpoint.requests()) == len(requests) && g.begunAnswers() == 1
	})
	stop(g)
	g.closeServers(time.Unix(0, g.stopBeganNanos.Load()).Add(g.cfg.Grace-stopMargin), callers.Server, forwards.Server)
	wg.Wait()
}

// begunAnswers returns the number of answers in progress.
func (g *testGateway) begunAnswers() (n int) {
	g.answers.mu.Lock()
	defer g.answers.mu.Unlock()
	for w := range g.answers.open {
		if w.state.Load() == answerBegun {
			n++
		}
	}
	return n
}

// tcpServer is a server of a gateway with its address.
type tcpServer struct {
	*http.Server

	address string
}

// serveTCP has a gateway serve callers or other gateways as Run does.
func serveTCP(t *testing.T, g *testGateway, forwarded bool) tcpServer {
	t.Helper()
	return serveHandler(t, g, func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, forwarded) })
}

// serveHandler serves a handler over connections that are set up as those of the gateway's callers.
func serveHandler(t *testing.T, g *testGateway, handler http.HandlerFunc) tcpServer {
	t.Helper()
	server := g.Gateway.server(handler)
	l, err := listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go g.serveHTTP(server, l)
	return tcpServer{Server: server, address: l.Addr().String()}
}

// TestStuckPartOutlivesGrace guards against a gateway that outlives its grace period because one of its parts doesn't end: closing a
// gRPC connection takes 5 s if the other side does not read.
func TestStuckPartOutlivesGrace(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	cfg := testConfig()
	cfg.CallerAddress, cfg.ForwardAddress, cfg.LoadAddress, cfg.Grace = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", stopMargin
	g := New(cfg, zerolog.Nop(), rand.NewPCG(1, 1))
	g.wg.Go(func() { <-release })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	go func() { _ = g.Run(ctx) }()
	select {
	case <-g.Done():
	case <-time.After(20 * time.Second):
		t.Error("the gateway still runs 20 s after the end of its grace period")
	}
}

// TestForwardedStreamCutAtGraceEnd guards against a stream that a caller loses because the gateway to which it was forwarded, at whose
// only endpoint it runs, ends: it goes on elsewhere, also if its route has moved to another service meanwhile.
func TestForwardedStreamCutAtGraceEnd(t *testing.T) {
	for _, moved := range []bool{false, true} {
		t.Run(fmt.Sprintf("route moved %t", moved), func(t *testing.T) {
			t.Parallel()
			testForwardedStreamAtGraceEnd(t, moved)
		})
	}
}

// streamTable returns a table with a route of streams at home in region there, which goes to one of two services.
func streamTable(t *testing.T, version int64, service string) *routes.Table {
	t.Helper()
	table, err := routes.New(version, []routes.Route{{
		Name: "stream", Host: testHost, PathPrefix: "/stream/", Kind: routes.Stream, MaxAttempts: 2, Resumable: true, Timeout: 5 * time.Second,
		Objective: time.Second, GapObjective: 100 * time.Millisecond, Backends: []routes.Backend{{Service: service, Weight: 1}}, HomeRegions: []string{"there"},
	}}, []routes.Service{{Name: "desk"}, {Name: "counter"}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func testForwardedStreamAtGraceEnd(t *testing.T, moved bool) {
	t.Helper()
	release := make(chan struct{})
	defer close(release)
	first := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
		c.head(r.Header.Get("Id"))
		c.event(0)
		<-release
		return false
	})
	second := newEndpoint(t, "b", func(c *endpointConn, r *http.Request, _ int) bool {
		c.head(r.Header.Get("Id"))
		if r.Header.Get("Last") == "0" {
			c.event(1)
		}
		c.end()
		return true
	})
	table, later := streamTable(t, 1, "desk"), streamTable(t, 1, "desk")
	if moved {
		later = streamTable(t, 2, "counter")
	}
	var there []*testGateway
	for _, e := range []*testEndpoint{first, second} {
		g := newGateway(t, table, e)
		g.cfg.Region, g.placer.cfg.Region, g.cfg.Grace = "there", "there", 1500*time.Millisecond
		there = append(there, g)
	}
	stopping := serveTCP(t, there[0], true)
	here := newGateway(t, table)
	here.view.Load().software.add(fleet.Endpoint{Service: "desk"}, "there", true)
	name := func(gateways ...fleet.Gateway) {
		v := *here.view.Load()
		v.gateways = gateways
		here.view.Store(&v)
	}
	name(fleet.Gateway{Name: "gateway-b", Region: "there", ForwardAddress: stopping.address, Ready: true})
	answers := make(chan result, 1)
	go func() { answers <- here.call(t.Context(), "POST", "/stream/x", nil) }()
	waitFor(t, "the stream has begun", func() bool { return len(first.requests()) > 0 })
	time.Sleep(20 * time.Millisecond)
	name(fleet.Gateway{Name: "gateway-c", Region: "there", ForwardAddress: newForwardServer(t, there[1]), Ready: true})
	for _, g := range append(there, here) {
		v := *g.view.Load()
		v.table = later
		g.view.Store(&v)
	}
	there[0].stop()
	there[0].closeServers(time.Unix(0, there[0].stopBeganNanos.Load()).Add(there[0].cfg.Grace-stopMargin), stopping.Server)
	if got := <-answers; !got.whole || got.body != pieces(0, 1) {
		t.Errorf("%+v", got)
	}
	if runs := len(first.requests()) + len(second.requests()); runs != 2 {
		t.Errorf("%d runs, want 2", runs)
	}
}

// TestSlowReaderCutAtGraceEnd guards against a caller that loses an answer which the gateway has whole, because the caller has not read
// all of it when the grace period ends.
func TestSlowReaderCutAtGraceEnd(t *testing.T) {
	body := strings.Repeat("x", 150<<10)
	endpoint := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
		c.plain(r.Header.Get("Id"), http.StatusOK, body)
		return true
	})
	g := newGateway(t, testTable(t, nil), endpoint)
	g.cfg.Grace = 1500 * time.Millisecond
	server := serveTCP(t, g, false)
	answer := callSlowly(t, server.address)
	defer answer.Body.Close()
	g.stop()
	g.closeServers(time.Unix(0, g.stopBeganNanos.Load()).Add(g.cfg.Grace-stopMargin), server.Server)
	if got, err := io.ReadAll(answer.Body); err != nil || string(got) != body {
		t.Errorf("%d of %d bytes, %v", len(got), len(body), err)
	}
}

// callSlowly sends a request over a connection with a small receive buffer, and returns its answer, of which little more than the
// head has been read.
func callSlowly(t *testing.T, address string) *http.Response {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nId: slow\r\nPatience: 5000\r\nContent-Length: 0\r\n\r\n", testHost)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// heldWriter calls hold at first before the header of an answer is set, or before it is written.
type heldWriter struct {
	http.ResponseWriter

	atWriting bool
	hold      func()
}

func (w *heldWriter) Header() http.Header {
	if !w.atWriting {
		w.hold()
	}
	return w.ResponseWriter.Header()
}

func (w *heldWriter) WriteHeader(status int) {
	if w.atWriting {
		w.hold()
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *heldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// endAnswersAndWait ends unanswered requests and leaves each the time to notice.
func (g *testGateway) endAnswersAndWait() {
	g.endAnswers()
	time.Sleep(50 * time.Millisecond)
}

// TestAnswerBegunAtGraceEndCut guards against an answer that a stopping gateway begins while it ends the request as unanswered: it is
// whole, or the request is answered that it may have run.
func TestAnswerBegunAtGraceEndCut(t *testing.T) {
	const size = 3 << 19
	for _, c := range []struct{ name, path, begin, end string }{
		{"long answer", "/unsafe/x", strings.Repeat("x", size-10), strings.Repeat("x", 10)},
		{"stream", "/stream/x", pieces(0, 0), pieces(1, 1)},
	} {
		for _, atWriting := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, held at writing %v", c.name, atWriting), func(t *testing.T) {
				var g *testGateway
				endpoint := newEndpoint(t, "a", func(conn *endpointConn, r *http.Request, _ int) bool {
					kind := "Content-Type: text/event-stream"
					if c.path != "/stream/x" {
						kind = fmt.Sprintf("Content-Length: %d", size)
					}
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: a\r\n%s\r\n\r\n%s", r.Header.Get("Id"), kind, c.begin)
					<-g.answerCtx.Done()
					time.Sleep(100 * time.Millisecond)
					fmt.Fprint(conn, c.end)
					return false
				})
				g = newGateway(t, testTable(t, nil), endpoint)
				hold := sync.OnceFunc(g.endAnswersAndWait)
				g.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					g.serve(&heldWriter{ResponseWriter: w, atWriting: atWriting, hold: hold}, r, false)
				})
				got := g.call(t.Context(), "POST", c.path, nil)
				whole := got.status == http.StatusOK && got.body == c.begin+c.end
				refused := got.status == http.StatusBadGateway && got.header.Get(codeHeader) == string(problem.Stopping) && got.header.Get(outcomeHeader) != string(problem.NotRun) && got.header.Get("Signed") == ""
				if !got.whole || !whole && !refused {
					t.Errorf("status %d, %d bytes, %v", got.status, len(got.body), got.err)
				}
				if n := len(endpoint.requests()); n != 1 {
					t.Errorf("%d runs, want 1", n)
				}
			})
		}
	}
}

// TestSlowReaderOfAnswerBegunAtGraceEndCut guards against a caller that loses an answer which the gateway has whole and begins to write
// while it ends the request as unanswered, because the caller has not read all of it when the grace period ends.
func TestSlowReaderOfAnswerBegunAtGraceEndCut(t *testing.T) {
	body := strings.Repeat("x", 150<<10)
	endpoint := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
		c.plain(r.Header.Get("Id"), http.StatusOK, body)
		return true
	})
	g := newGateway(t, testTable(t, nil), endpoint)
	hold := sync.OnceFunc(g.endAnswersAndWait)
	server := serveHandler(t, g, func(w http.ResponseWriter, r *http.Request) {
		g.serve(&heldWriter{ResponseWriter: w, hold: hold}, r, false)
	})
	answer := callSlowly(t, server.address)
	defer answer.Body.Close()
	g.closeServers(time.Now().Add(lastAnswerTime), server.Server)
	if got, err := io.ReadAll(answer.Body); err != nil || string(got) != body {
		t.Errorf("%d of %d bytes, %v", len(got), len(body), err)
	}
}

// TestRequestInPartsCutAtGraceEnd guards against a request without an answer because its body is not whole when the grace period ends.
func TestRequestInPartsCutAtGraceEnd(t *testing.T) {
	endpoint := newEndpoint(t, "a", answering())
	for _, header := range []string{"Content-Length: 10\r\n\r\n12345", "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n"} {
		g := newGateway(t, testTable(t, nil), endpoint)
		g.cfg.Grace = 1500 * time.Millisecond
		server := serveTCP(t, g, false)
		caller := newRawCaller(t, server.address)
		fmt.Fprintf(caller.conn, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nId: parts\r\nPatience: 5000\r\n%s", testHost, header)
		time.Sleep(100 * time.Millisecond)
		g.stop()
		g.closeServers(time.Unix(0, g.stopBeganNanos.Load()).Add(g.cfg.Grace-stopMargin), server.Server)
		answer, err := http.ReadResponse(caller.in, nil)
		if err != nil {
			t.Errorf("%q: %v", header, err)
			continue
		}
		_, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get(codeHeader) != string(problem.Stopping) {
			t.Errorf("%q: status %d, %v, %v", header, answer.StatusCode, answer.Header, err)
		}
	}
	if n := len(endpoint.requests()); n != 0 {
		t.Errorf("%d runs, want none", n)
	}
}

// TestWholeRequestCutAtGraceEnd guards against a request without an answer whose body is read as the grace period ends: the end of the
// wait for the body must not count as that of the connection.
func TestWholeRequestCutAtGraceEnd(t *testing.T) {
	endpoint := newEndpoint(t, "a", answering())
	g := newGateway(t, testTable(t, nil), endpoint)
	server := serveTCP(t, g, false)
	g.endAnswers()
	for range 50 {
		for _, body := range []string{"Content-Length: 5\r\n\r\n12345", "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n"} {
			caller := newRawCaller(t, server.address)
			fmt.Fprintf(caller.conn, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nId: whole\r\nPatience: 5000\r\n%s", testHost, body)
			answer, err := http.ReadResponse(caller.in, nil)
			if err != nil {
				t.Fatalf("%q: %v", body, err)
			}
			_, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get(codeHeader) != string(problem.Stopping) {
				t.Fatalf("%q: status %d, %v, %v", body, answer.StatusCode, answer.Header, err)
			}
		}
	}
	if n := len(endpoint.requests()); n != 0 {
		t.Errorf("%d runs, want none", n)
	}
}
