package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"arbutusreel/fleet"
)

// BenchmarkStream measures streams of different lengths through a gateway.
func BenchmarkStream(b *testing.B) {
	for _, events := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(events), func(b *testing.B) {
			a := newEndpoint(b, "a", func(c *endpointConn, r *http.Request, _ int) bool {
				c.head(r.Header.Get("Id"))
				for n := range events {
					c.event(n)
				}
				c.end()
				return true
			})
			g := newGateway(b, testTable(b, nil), a)
			for b.Loop() {
				if got := g.call(b.Context(), "POST", "/stream/x", nil); !got.whole {
					b.Fatal(got.err)
				}
			}
		})
	}
}

// BenchmarkDecide measures the placement of a request among the endpoints of a region.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 46, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			var endpoints []fleet.Endpoint
			for i := range n {
				endpoints = append(endpoints, fleet.Endpoint{ID: fmt.Sprintf("engine-%d", i), Born: 7, Service: "model", Slots: 32, State: fleet.Ready})
			}
			placers, v, r, s := newPlacers(b, 2, endpoints...)
			q := testQuery(r, s)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				placers[0].decide(now, v, q)
			}
		})
	}
}

// BenchmarkExplain measures an explanation, during which no decision is made, before endpoints with 300 tracked parts each and 20 peers.
func BenchmarkExplain(b *testing.B) {
	for _, n := range []int{10, 46, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			var endpoints []fleet.Endpoint
			for i := range n {
				endpoints = append(endpoints, fleet.Endpoint{ID: fmt.Sprintf("engine-%d", i), Born: 7, Service: "model", Slots: 32, State: fleet.Ready})
			}
			placers, v, r, s := newPlacers(b, 21, endpoints...)
			q := testQuery(r, s)
			for i := range endpoints {
				for part := range 300 {
					placers[0].state(&endpoints[i]).cachedParts[fmt.Sprint(part)] = now
				}
				for _, peer := range placers[1:] {
					peer.begin(now, "model", q.work, decision{endpoint: endpoints[i]})
				}
			}
			for _, peer := range placers[1:] {
				placers[0].updatePeer(now, peer.loadReport(now, 1, true))
			}
			for b.Loop() {
				placers[0].explain(now, v, q)
			}
		})
	}
}
