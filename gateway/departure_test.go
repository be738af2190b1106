package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
)

// modelEndpoints returns endpoints of the test service with the given IDs.
func modelEndpoints(ids ...string) []fleet.Endpoint {
	var all []fleet.Endpoint
	for _, id := range ids {
		all = append(all, fleet.Endpoint{ID: id, Born: 7, Service: "model", Slots: 128, State: fleet.Ready})
	}
	return all
}

// chosenEndpoints returns the IDs of the endpoints that a placer selects for some requests.
func chosenEndpoints(p *placer, now time.Time, v *view, q query) map[string]bool {
	chosen := map[string]bool{}
	for range 40 {
		d := p.decide(now, v, q)
		if d.verdict == capacity.Refuse {
			continue
		}
		chosen[d.endpoint.ID] = true
		p.begin(now, "model", q.work, d)
	}
	return chosen
}

// TestLeavingEndpoint announces to one of two gateways that an endpoint is leaving: neither selects it again, also
// while heartbeats list it as ready, until it has started again.
func TestLeavingEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	leaving, other := modelEndpoints("a")[0], modelEndpoints("b")[0]
	restarted := leaving
	restarted.Born++
	cases := []struct {
		name     string
		announce func(told, peer *placer)
		listed   fleet.Endpoint
		chosen   bool
	}{
		{"not announced", func(_, _ *placer) {}, leaving, true},
		{"announced", func(told, _ *placer) { told.recordVerdict(now, leaving, Verdict{Leaving: true}) }, leaving, false},
		{"an earlier answer arrives later", func(told, _ *placer) {
			told.recordVerdict(now, leaving, Verdict{Leaving: true})
			told.recordVerdict(now, leaving, Verdict{})
		}, leaving, false},
		{"restarted", func(told, _ *placer) { told.recordVerdict(now, leaving, Verdict{Leaving: true}) }, restarted, true},
		{"an answer of the earlier incarnation arrives after the restart", func(told, _ *placer) {
			told.state(&restarted)
			told.recordVerdict(now, leaving, Verdict{Leaving: true})
		}, restarted, true},
		{"a request to the earlier incarnation ends after the announcement", func(told, _ *placer) {
			d := decision{endpoint: leaving, addedLoad: capacity.Work{}.Load(0)}
			a := told.begin(now, "model", capacity.Work{}, d)
			told.recordVerdict(now, restarted, Verdict{Leaving: true})
			a.end(now, succeeded)
		}, restarted, false},
		{"the other gateway starts later", func(told, peer *placer) {
			told.recordVerdict(now, leaving, Verdict{Leaving: true})
			told.loadReport(now, 1, false)
			peer.updatePeer(now, told.loadReport(now, 1, true))
		}, leaving, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			placers, v, r, s := newPlacers(t, 2, c.listed, other)
			c.announce(placers[0], placers[1])
			placers[1].updatePeer(now, placers[0].loadReport(now, 1, false))
			// A departure is kept for as long as its endpoint is listed as ready.
			for _, at := range []time.Duration{0, time.Hour} {
				for i, p := range placers {
					if chosen := chosenEndpoints(p, now.Add(at), v, testQuery(r, s)); chosen["a"] != c.chosen || !chosen["b"] {
						t.Errorf("gateway %d after %v: %v", i, at, chosen)
					}
				}
			}
		})
	}
}

// TestLeavingAnswers lets an endpoint announce its departure in each kind of answer: it gets no request after it,
// neither a new one nor a repetition of the same one.
func TestLeavingAnswers(t *testing.T) {
	head := "Id: request-1\r\nSigned: a\r\nLeaving: 1\r\n"
	for name, answer := range map[string]endpointScript{
		"success": func(c *endpointConn, _ *http.Request, _ int) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", head)
			return true
		},
		"failure": func(c *endpointConn, _ *http.Request, _ int) bool {
			fmt.Fprintf(c, "HTTP/1.1 500 Failed\r\n%sContent-Length: 2\r\n\r\nno", head)
			return true
		},
		"rejection": func(c *endpointConn, _ *http.Request, _ int) bool {
			fmt.Fprintf(c, "HTTP/1.1 503 Leaving\r\n%sRejected: 1\r\nContent-Length: 0\r\n\r\n", head)
			return true
		},
		"broken stream": func(c *endpointConn, _ *http.Request, _ int) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head)
			c.event(0)
			time.Sleep(20 * time.Millisecond)
			return c.reset()
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := newEndpoint(t, "a", answer)
			b := newEndpoint(t, "b", func(c *endpointConn, r *http.Request, _ int) bool {
				if r.URL.Path != "/stream/x" {
					c.plain("request-1", 200, "b")
					return true
				}
				c.head("request-1")
				for n := len(r.Header.Get("Last")); n < 3; n++ {
					c.event(n)
				}
				c.end()
				return true
			})
			g := newGateway(t, testTable(t, nil), a, b)
			path := "/safe/x"
			if name == "broken stream" {
				path = "/stream/x"
			}
			for i := range 4 {
				if got := g.call(t.Context(), "GET", path, nil); got.status != http.StatusOK || !got.whole {
					t.Errorf("request %d: status %d, whole %v", i, got.status, got.whole)
				}
			}
			if n := len(a.requests()); n != 1 {
				t.Errorf("the leaving endpoint got %d requests", n)
			}
		})
	}
}

// TestPausedEndpoint rejects one request with a time to come back: the endpoint gets nothing until then, and its
// requests go to another endpoint, or are refused at once with a time after which it takes requests again.
func TestPausedEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	const pause = 1500 * time.Millisecond
	a, b := modelEndpoints("a")[0], modelEndpoints("b")[0]
	t.Run("another endpoint", func(t *testing.T) {
		placers, v, r, s := newPlacers(t, 1, a, b)
		p := placers[0]
		p.recordVerdict(now, a, Verdict{Rejected: true, PauseFor: pause})
		// A later answer with a shorter pause does not shorten the first one.
		p.recordVerdict(now, a, Verdict{Rejected: true, PauseFor: time.Millisecond})
		for _, after := range []time.Duration{0, pause - 1} {
			if chosen := chosenEndpoints(p, now.Add(after), v, testQuery(r, s)); chosen["a"] || !chosen["b"] {
				t.Errorf("after %v: %v", after, chosen)
			}
		}
		if chosen := chosenEndpoints(p, now.Add(pause), v, testQuery(r, s)); !chosen["a"] {
			t.Errorf("after the pause: %v", chosen)
		}
	})
	t.Run("all endpoints", func(t *testing.T) {
		placers, v, r, s := newPlacers(t, 1, a, b)
		p := placers[0]
		p.recordVerdict(now, a, Verdict{Rejected: true, PauseFor: pause})
		p.recordVerdict(now, b, Verdict{Rejected: true, PauseFor: 4 * pause})
		later := map[time.Duration]bool{}
		for range 50 {
			d := p.decide(now, v, testQuery(r, s))
			if d.verdict != capacity.Refuse || d.reason != reasonPaused || d.retryAfter < pause || d.retryAfter > 2*pause {
				t.Fatalf("%v, %s, retry after %v", d.verdict, d.reason, d.retryAfter)
			}
			later[d.retryAfter] = true
		}
		if len(later) < 40 {
			t.Errorf("50 callers return at %d different times", len(later))
		}
		there := capacity.RegionCapacity{Region: "there", Endpoints: 9, PromptTokens: 1 << 40}
		v.gateways = append(v.gateways, fleet.Gateway{Name: "there-0", Region: "there", Ready: true})
		v.capacities = map[string]regionCapacity{"there": {reportedAt: now, services: map[string]capacity.RegionCapacity{"model": there}}}
		if d := p.decide(now, v, testQuery(r, s)); d.region != "there" {
			t.Errorf("region %q, verdict %v", d.region, d.verdict)
		}
	})
}

// TestPausingAnswers sends requests to an endpoint that rejects one with a time to come back: it gets no other request
// within that time, and the callers of a region without another endpoint learn when to return.
func TestPausingAnswers(t *testing.T) {
	a := newEndpoint(t, "a", func(c *endpointConn, _ *http.Request, _ int) bool {
		fmt.Fprint(c, "HTTP/1.1 503 Full\r\nRejected: 1\r\nPause: 60000\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	g := newGateway(t, testTable(t, nil), a)
	for i := range 5 {
		got := g.call(t.Context(), "GET", "/safe/x", nil)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || i > 0 && (err != nil || seconds < 50) {
			t.Errorf("request %d: status %d, Retry-After %q", i, got.status, got.header.Get("Retry-After"))
		}
	}
	if n := len(a.requests()); n != 1 {
		t.Errorf("the paused endpoint got %d requests", n)
	}
}
