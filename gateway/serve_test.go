package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/routes"
)

// TestBrokenStreamAfterFailure breaks a stream after another endpoint had answered with an error: the caller must not
// get that error as the end of its stream.
func TestBrokenStreamAfterFailure(t *testing.T) {
	a := newEndpoint(t, "a", func(c *endpointConn, _ *http.Request, _ int) bool {
		c.plain("request-1", 500, "failed")
		return true
	})
	b := newEndpoint(t, "b", func(c *endpointConn, _ *http.Request, _ int) bool {
		c.head("request-1")
		c.event(0)
		time.Sleep(50 * time.Millisecond)
		return c.reset()
	})
	g := newGateway(t, testTable(t, nil), a, b)
	got := g.call(t.Context(), "POST", "/stream/x", nil)
	if got.whole || got.body != pieces(0, 0) {
		t.Errorf("whole %v, body %q", got.whole, got.body)
	}
	if len(a.requests()) != 1 || len(b.requests()) != 1 {
		t.Errorf("%d and %d requests", len(a.requests()), len(b.requests()))
	}
}

// TestResume breaks a stream at each position within an event: it is resumed at another endpoint after the last
// complete event.
func TestResume(t *testing.T) {
	cases := map[string]func(c *endpointConn) bool{
		"between events":        func(c *endpointConn) bool { return c.reset() },
		"in an event":           func(c *endpointConn) bool { c.chunk("id: 2\ndata: pie"); return false },
		"in the end of a event": func(c *endpointConn) bool { c.chunk("id: 2\ndata: piece 2\n"); return false },
		"in a chunk":            func(c *endpointConn) bool { fmt.Fprint(c, "1f\r\nid: 2\nda"); return c.reset() },
		"ended as whole within an event": func(c *endpointConn) bool {
			c.chunk("id: 2\ndata: pie")
			c.end()
			return false
		},
	}
	for name, broken := range cases {
		t.Run(name, func(t *testing.T) {
			a := newEndpoint(t, "a", func(c *endpointConn, _ *http.Request, _ int) bool {
				c.head("request-1")
				c.event(0)
				c.event(1)
				time.Sleep(20 * time.Millisecond)
				return broken(c)
			})
			b := newEndpoint(t, "b", func(c *endpointConn, r *http.Request, _ int) bool {
				c.head("request-1")
				for n := len(r.Header.Get("Last")) + 1; n < 5; n++ {
					c.event(n)
				}
				c.end()
				return true
			})
			g := newGateway(t, testTable(t, nil), a, b)
			got := g.call(t.Context(), "POST", "/stream/x", nil)
			if !got.whole || got.body != pieces(0, 4) {
				t.Errorf("whole %v, body %q", got.whole, got.body)
			}
			if got.header.Get("Signed") != "a" {
				t.Errorf("signed by %q", got.header.Get("Signed"))
			}
			if last := b.requests()[0].Header.Get("Last"); last != "1" {
				t.Errorf("resumed after %q", last)
			}
		})
	}
}

// TestOutcomes checks the status of requests that fail at an endpoint: only a request that certainly has not run is
// reported as such, and an unsafe one that may have run is not sent again.
func TestOutcomes(t *testing.T) {
	long := func(c *endpointConn, body string) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\nContent-Length: 100\r\n\r\n%s", body)
		return false
	}
	cases := []struct {
		name   string
		path   string
		script endpointScript
		// want is the status, and second the number of requests at the other endpoint.
		want, second int
	}{
		{"unsafe, reset after it was read", "/unsafe/x", func(c *endpointConn, _ *http.Request, _ int) bool { return c.reset() }, 502, 0},
		{"unsafe, closed after it was read", "/unsafe/x", func(*endpointConn, *http.Request, int) bool { return false }, 502, 0},
		{"unsafe, cut answer", "/unsafe/x", func(c *endpointConn, _ *http.Request, _ int) bool { return long(c, "part") }, 502, 0},
		{"unsafe, no answer of the protocol", "/unsafe/x", func(c *endpointConn, _ *http.Request, _ int) bool {
			fmt.Fprint(c, "nonsense\r\n\r\n")
			return false
		}, 502, 0},
		{"unsafe, unsigned success", "/unsafe/x", func(c *endpointConn, _ *http.Request, _ int) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: request-1\r\nContent-Length: 2\r\n\r\nok")
			return true
		}, 502, 0},
		{"unsafe, encoded success", "/unsafe/x", func(c *endpointConn, _ *http.Request, _ int) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok")
			return true
		}, 502, 0},
		{"unsafe, rejected", "/unsafe/x", func(c *endpointConn, _ *http.Request, _ int) bool {
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nRejected: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}, 200, 1},
		{"unsafe, own failure", "/unsafe/x", func(c *endpointConn, _ *http.Request, _ int) bool {
			c.plain("request-1", 500, "failed")
			return true
		}, 500, 0},
		{"safe, reset", "/safe/x", func(c *endpointConn, _ *http.Request, _ int) bool { return c.reset() }, 200, 1},
		{"safe, cut answer", "/safe/x", func(c *endpointConn, _ *http.Request, _ int) bool { return long(c, "part") }, 200, 1},
		{"safe, own failure", "/safe/x", func(c *endpointConn, _ *http.Request, _ int) bool {
			c.plain("request-1", 500, "failed")
			return true
		}, 200, 1},
		{"safe, answer without length, reset", "/safe/x", func(c *endpointConn, _ *http.Request, _ int) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\n\r\npart")
			time.Sleep(30 * time.Millisecond)
			return c.reset()
		}, 200, 1},
		{"safe, informational answer first", "/safe/x", func(c *endpointConn, _ *http.Request, _ int) bool {
			fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			c.plain("request-1", 200, "a")
			return true
		}, 200, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newEndpoint(t, "a", c.script)
			b := newEndpoint(t, "b", func(c *endpointConn, _ *http.Request, _ int) bool {
				c.plain("request-1", 200, "b")
				return true
			})
			g := newGateway(t, testTable(t, nil), a, b)
			got := g.call(t.Context(), "POST", c.path, map[string]string{"Idempotency-Key": "key"})
			if got.err != nil || got.status != c.want || len(a.requests()) != 1 || len(b.requests()) != c.second {
				t.Errorf("status %d, %d and %d requests, %v; want %d, 1 and %d", got.status, len(a.requests()), len(b.requests()), got.err, c.want, c.second)
			}
		})
	}
}

// TestRefusalNotRun has only an endpoint that cannot be reached: the request has not run, and the caller may retry.
func TestRefusalNotRun(t *testing.T) {
	gone := &testEndpoint{id: "gone", address: "127.0.0.1:1"}
	g := newGateway(t, testTable(t, nil), gone)
	for _, kind := range []string{"unsafe", "safe", "stream"} {
		got := g.call(t.Context(), "POST", "/"+kind+"/x", nil)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || got.header.Get("Signed") != "" {
			t.Errorf("%s: status %d, header %v, %v", kind, got.status, got.header, got.err)
		}
	}
}

// TestLongAnswer sends an answer that exceeds the gateway's buffer: it arrives complete, and one that breaks off does
// not look complete.
func TestLongAnswer(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 17<<16)
	for name, sent := range map[string]string{"whole": body, "broken off": body[:len(body)-1], "short": body[:1<<20]} {
		t.Run(name, func(t *testing.T) {
			a := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
				length := len(sent)
				if name == "broken off" {
					length++
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: a\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), length)
				_, err := c.Write([]byte(sent))
				return err == nil && length == len(sent)
			})
			got := newGateway(t, testTable(t, nil), a).call(t.Context(), "POST", "/unsafe/x", nil)
			if got.whole != (name != "broken off") || got.whole && got.body != sent {
				t.Errorf("whole %v, %d bytes of %d", got.whole, len(got.body), len(sent))
			}
		})
	}
}

// TestDuplicateAnswers sends an answer twice: the second copy, left unread on the reused connection, must not be given
// to the next request.
func TestDuplicateAnswers(t *testing.T) {
	for _, delay := range []time.Duration{0, 30 * time.Millisecond} {
		a := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, n int) bool {
			c.plain(r.Header.Get("Id"), 200, r.Header.Get("Id"))
			if n == 0 {
				time.Sleep(delay)
				c.plain(r.Header.Get("Id"), 200, r.Header.Get("Id"))
			}
			return true
		})
		g := newGateway(t, testTable(t, nil), a)
		for _, id := range []string{"first", "second", "third"} {
			if got := g.call(t.Context(), "POST", "/unsafe/x", map[string]string{"Id": id}); got.body != id {
				t.Errorf("delay %v: request %q got %d %q, %v", delay, id, got.status, got.body, got.err)
			}
		}
	}
}

// TestStaleConnection resets a reused connection while a request is in progress: an unsafe request is not sent a second
// time, even if it has no body or has an idempotency key.
func TestStaleConnection(t *testing.T) {
	a := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, n int) bool {
		if n > 0 {
			return c.reset()
		}
		c.plain(r.Header.Get("Id"), 200, "ok")
		return true
	})
	g := newGateway(t, testTable(t, nil), a)
	if got := g.call(t.Context(), "POST", "/unsafe/x", nil); got.status != http.StatusOK {
		t.Fatal(got)
	}
	got := g.call(t.Context(), "POST", "/unsafe/x", map[string]string{"Idempotency-Key": "key"})
	if got.status != http.StatusBadGateway || len(a.requests()) != 2 {
		t.Errorf("status %d, %d requests", got.status, len(a.requests()))
	}
}

// TestCallerDisconnects closes the caller's connection: the connection to the endpoint is closed too, which stops its
// work.
func TestCallerDisconnects(t *testing.T) {
	working := make(chan struct{})
	a := newEndpoint(t, "a", func(c *endpointConn, _ *http.Request, _ int) bool {
		close(working)
		// The endpoint works until its connection ends.
		_, err := c.Read(make([]byte, 1))
		return err == nil
	})
	g := newGateway(t, testTable(t, nil), a)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-working
		cancel()
	}()
	if got := g.call(ctx, "POST", "/unsafe/x", nil); got.err == nil {
		t.Error("the caller got an answer")
	}
	select {
	case <-a.closed:
	case <-time.After(10 * time.Second):
		t.Error("the endpoint still works")
	}
}

// TestTimeout has an endpoint that does not answer within the route's timeout.
func TestTimeout(t *testing.T) {
	a := newEndpoint(t, "a", func(c *endpointConn, _ *http.Request, _ int) bool {
		_, err := c.Read(make([]byte, 1))
		return err == nil
	})
	g := newGateway(t, testTable(t, func(r *routes.Route) { r.Timeout = 200 * time.Millisecond }), a)
	if got := g.call(t.Context(), "POST", "/unsafe/x", nil); got.status != http.StatusGatewayTimeout {
		t.Errorf("status %d, %v", got.status, got.err)
	}
}

// TestForward forwards a request whose route is not allowed in the region to a gateway of another one, at most once.
func TestForward(t *testing.T) {
	homeRegions := func(r *routes.Route) { r.HomeRegions = []string{"there"} }
	a := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
		c.head(r.Header.Get("Id"))
		c.event(0)
		c.event(1)
		c.end()
		return true
	})
	there := newGateway(t, testTable(t, homeRegions), a)
	there.cfg.Region, there.placer.cfg.Region = "there", "there"
	forwards := newForwardServer(t, there)
	here := newGateway(t, testTable(t, homeRegions))
	v := *here.view.Load()
	v.gateways = []fleet.Gateway{{Name: "gateway-b", Region: "there", ForwardAddress: forwards, Ready: true}}
	here.view.Store(&v)
	got := here.call(t.Context(), "POST", "/stream/x", nil)
	if !got.whole || got.body != pieces(0, 1) || got.header.Get("Signed") != "a" {
		t.Errorf("%+v", got)
	}
	if r := a.requests()[0]; r.Header.Get(ageHeader) != "" || r.Header.Get(drawHeader) != "" {
		t.Errorf("the endpoint got %v", r.Header)
	}
	// A gateway that cannot serve a forwarded request must not forward it again.
	v.gateways[0].ForwardAddress = newForwardServer(t, here)
	here.view.Store(&v)
	if got := here.call(t.Context(), "POST", "/stream/x", nil); got.status != http.StatusServiceUnavailable {
		t.Errorf("a request went in a loop: %+v", got)
	}
}

// TestForwardedRuns makes every endpoint fail: the runs used by another gateway count towards the limit at the
// forwarding gateway.
func TestForwardedRuns(t *testing.T) {
	fails := func(c *endpointConn, r *http.Request, _ int) bool {
		c.plain(r.Header.Get("Id"), 500, "failed")
		return true
	}
	homeRegions := func(r *routes.Route) { r.HomeRegions = []string{"there"} }
	a, b, c := newEndpoint(t, "a", fails), newEndpoint(t, "b", fails), newEndpoint(t, "c", fails)
	there := newGateway(t, testTable(t, homeRegions), a, b, c)
	there.cfg.Region, there.placer.cfg.Region = "there", "there"
	here := newGateway(t, testTable(t, homeRegions))
	v := *here.view.Load()
	for _, name := range []string{"gateway-b", "gateway-c"} {
		v.gateways = append(v.gateways, fleet.Gateway{Name: name, Region: "there", ForwardAddress: newForwardServer(t, there), Ready: true})
	}
	here.view.Store(&v)
	got := here.call(t.Context(), "POST", "/safe/x", nil)
	if runs := len(a.requests()) + len(b.requests()) + len(c.requests()); runs != 2 || got.status != 500 || got.body != "failed" {
		t.Errorf("%d runs of at most 2, %+v", runs, got)
	}
}

// TestPausedStream pauses a stream for longer than the timeout for its first piece, at a local endpoint and behind
// another gateway: the gateway does not abort it, as engines that run out of memory pause streams.
func TestPausedStream(t *testing.T) {
	const pause = 1600 * time.Millisecond
	slow := func(c *endpointConn, r *http.Request, _ int) bool {
		c.head(r.Header.Get("Id"))
		c.event(0)
		time.Sleep(pause)
		c.event(1)
		c.end()
		return true
	}
	quick := func(r *routes.Route) { r.Objective = 100 * time.Millisecond }
	check := func(t *testing.T, g *testGateway, a, b *testEndpoint) {
		t.Helper()
		got := g.call(t.Context(), "POST", "/stream/x", nil)
		if !got.whole || got.body != pieces(0, 1) || len(a.requests())+len(b.requests()) != 1 {
			t.Errorf("%d and %d requests, %+v", len(a.requests()), len(b.requests()), got)
		}
	}
	t.Run("here", func(t *testing.T) {
		a, b := newEndpoint(t, "a", slow), newEndpoint(t, "b", slow)
		check(t, newGateway(t, testTable(t, quick), a, b), a, b)
	})
	t.Run("there", func(t *testing.T) {
		homeRegions := func(r *routes.Route) {
			quick(r)
			r.HomeRegions = []string{"there"}
		}
		a, b := newEndpoint(t, "a", slow), newEndpoint(t, "b", slow)
		there := newGateway(t, testTable(t, homeRegions), a, b)
		there.cfg.Region, there.placer.cfg.Region = "there", "there"
		here := newGateway(t, testTable(t, homeRegions))
		v := *here.view.Load()
		v.gateways = []fleet.Gateway{{Name: "gateway-b", Region: "there", ForwardAddress: newForwardServer(t, there), Ready: true}}
		here.view.Store(&v)
		check(t, here, a, b)
	})
}

// TestFirstTimeout has an endpoint that is silent for longer than the timeout for the first piece: the request moves to
// another endpoint only if that has free capacity.
func TestFirstTimeout(t *testing.T) {
	for name, backlog := range map[string]int64{"capacity elsewhere": 0, "no capacity elsewhere": 1 << 30} {
		t.Run(name, func(t *testing.T) {
			answer := func(pause time.Duration) endpointScript {
				return func(c *endpointConn, r *http.Request, _ int) bool {
					time.Sleep(pause)
					c.head(r.Header.Get("Id"))
					c.event(0)
					c.end()
					return true
				}
			}
			a, b := newEndpoint(t, "a", answer(1500*time.Millisecond)), newEndpoint(t, "b", answer(0))
			g := newGateway(t, testTable(t, func(r *routes.Route) { r.Objective = 300 * time.Millisecond }), a, b)
			g.placer.states["b"].outstanding.PromptTokens[0] = backlog
			got := g.call(t.Context(), "POST", "/stream/x", nil)
			want := "a"
			if backlog == 0 {
				want = "b"
			}
			if !got.whole || got.header.Get("Signed") != want {
				t.Errorf("%+v, want an answer of %q", got, want)
			}
		})
	}
}

// TestLatencies checks that answers are recorded in the latency histograms of their kind of route.
func TestLatencies(t *testing.T) {
	a := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
		c.plain(r.Header.Get("Id"), 200, "ok")
		return true
	})
	g := newGateway(t, testTable(t, nil), a)
	g.call(t.Context(), "POST", "/safe/x", nil)
	var got map[string]any
	if err := json.Unmarshal([]byte(g.cfg.Metrics.String()), &got); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]float64{"safeFirstMicros": 1, "safeWholeMicros": 1, "unsafeFirstMicros": 0} {
		if times, ok := got[name].(map[string]any); !ok || times["count"] != want {
			t.Errorf("%s is %v", name, got[name])
		}
	}
	if got["connectionsOpened"] != 1.0 {
		t.Errorf("%v connections", got["connectionsOpened"])
	}
}
