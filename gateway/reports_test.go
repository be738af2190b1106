package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

// linkedPlacer is the placer of a gateway with what it passes on to others, without I/O.
type linkedPlacer struct {
	self   fleet.Gateway
	placer *placer
	relay  *reportRelay
	links  map[wiregen.ReportLink][]*linkedPlacer
	// sent counts the messages and sentBytes their size; crossBytes is the part to other failure domains.
	sent, sentBytes, crossBytes int
}

// linkPlacers links the placers of a region whose gateways are spread over two failure domains.
func linkPlacers(placers []*placer) []*linkedPlacer {
	var all []*linkedPlacer
	var gateways []fleet.Gateway
	for i, p := range placers {
		g := fleet.Gateway{Name: p.cfg.Name, Region: p.cfg.Region, FailureDomain: fmt.Sprintf("domain-%d", i%2)}
		all, gateways = append(all, &linkedPlacer{self: g, placer: p, relay: newReportRelay()}), append(gateways, g)
	}
	find := func(linked []fleet.Gateway) []*linkedPlacer {
		var found []*linkedPlacer
		for _, g := range linked {
			found = append(found, all[slices.IndexFunc(gateways, func(other fleet.Gateway) bool { return other.Name == g.Name })])
		}
		return found
	}
	for i, l := range all {
		links := fleet.NewLinks(l.self, slices.Delete(slices.Clone(gateways), i, i+1))
		l.links = map[wiregen.ReportLink][]*linkedPlacer{
			wiregen.ReportLink_row: find(links.Row), wiregen.ReportLink_column: find(links.Column), wiregen.ReportLink_domain: find(links.Domains),
		}
	}
	return all
}

// report sends the placer's changes, or its whole load, and what it passes on.
func (l *linkedPlacer) report(now time.Time, whole bool) {
	for link, m := range l.relay.take(l.placer.loadReport(now, 1, whole)) {
		for _, to := range l.links[link] {
			l.sent++
			l.sentBytes += proto.Size(m)
			if to.self.FailureDomain != l.self.FailureDomain {
				l.crossBytes += proto.Size(m)
			}
			receiveReports(now, to.placer, to.relay, m)
		}
	}
}

// TestReportsReachAll changes the loads of many gateways and reports them in any order: after three rounds every gateway
// knows the sum of all others, and each has sent few messages.
func TestReportsReachAll(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 25, 64, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			now := time.Unix(1000, 0)
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			endpoints := modelEndpoints("a", "b", "c", "d", "e")
			placers, v, r, s := newPlacers(t, n, endpoints...)
			linked := linkPlacers(placers)
			for round := range 5 {
				for _, p := range placers {
					for range rng.IntN(3) {
						if d := p.decide(now, v, testQuery(r, s)); d.verdict != capacity.Refuse {
							p.begin(now, "model", testQuery(r, s).work, d)
						}
					}
				}
				before := linked[0].sent
				for range 3 {
					now = now.Add(loadReportPeriod)
					for _, i := range rng.Perm(n) {
						linked[i].report(now, round == 4)
					}
				}
				if sent := linked[0].sent - before; n == 100 && sent > 3*2*10 {
					t.Errorf("a gateway sent %d messages in three rounds", sent)
				}
				checkSums(t, placers, endpoints)
			}
		})
	}
}

// checkSums compares what each placer knows of the load of the others with their actual loads.
func checkSums(t *testing.T, placers []*placer, endpoints []fleet.Endpoint) {
	t.Helper()
	for i := range endpoints {
		id := endpoints[i].ID
		var total capacity.Outstanding
		for _, p := range placers {
			total = total.Plus(p.state(&endpoints[i]).outstanding)
		}
		for _, p := range placers {
			want := total.Minus(p.state(&endpoints[i]).outstanding)
			if diff := cmp.Diff(want, p.peers.sum(id).outstanding); diff != "" {
				t.Fatalf("%s at %s: %s", id, p.cfg.Name, diff)
			}
		}
	}
}

// TestReportOrder delivers reports late, twice and out of order: an older one is ignored, and a whole report
// replaces all earlier loads of its gateway.
func TestReportOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(born, sequence int64, whole bool, requests ...int32) *wiregen.OutstandingReport {
		m := &wiregen.OutstandingReport{Gateway: "peer", Born: born, Sequence: sequence, Whole: whole}
		for i, n := range requests {
			if n >= 0 {
				m.Outstanding = append(m.Outstanding, &wiregen.EndpointOutstanding{Endpoint: fmt.Sprint(i), Requests: n})
			}
		}
		return m
	}
	loads := newPeerLoads()
	for i, step := range []struct {
		m      *wiregen.OutstandingReport
		newer  bool
		counts [2]int
	}{
		{report(1, 1, false, 2, 3), true, [2]int{2, 3}},
		{report(1, 3, false, 5), true, [2]int{5, 3}},
		{report(1, 2, false, 4, 4), false, [2]int{5, 3}},
		{report(1, 3, false, 5), false, [2]int{5, 3}},
		{report(1, 4, true, -1, 1), true, [2]int{0, 1}},
		{report(2, 1, false, 7), true, [2]int{7, 0}},
		{report(1, 9, true, 8, 8), false, [2]int{7, 0}},
	} {
		if newer := loads.update(now, step.m); newer != step.newer {
			t.Errorf("step %d: newer %v", i, newer)
		}
		if got := [2]int{loads.sum("0").outstanding.Requests, loads.sum("1").outstanding.Requests}; got != step.counts {
			t.Errorf("step %d: %v, want %v", i, got, step.counts)
		}
	}
	listed := []fleet.Gateway{{Name: "peer"}}
	for _, c := range []struct {
		after  time.Duration
		listed []fleet.Gateway
		want   int
	}{{unlistedPeerTTL, nil, 7}, {peerLoadTTL, listed, 7}, {peerLoadTTL + 1, listed, 0}} {
		loads.expire(now.Add(c.after), c.listed)
		if got := loads.sum("0").outstanding.Requests; got != c.want {
			t.Errorf("%v after the last report: %d requests, want %d", c.after, got, c.want)
		}
	}
}

// BenchmarkReports measures a round in which each gateway has started some requests and reports, for each gateway.
func BenchmarkReports(b *testing.B) {
	for _, n := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var ids []string
			for i := range n {
				ids = append(ids, fmt.Sprintf("engine-%d", i))
			}
			placers, v, r, s := newPlacers(b, n, modelEndpoints(ids...)...)
			linked := linkPlacers(placers)
			now := time.Unix(1000, 0)
			for range b.N {
				now = now.Add(loadReportPeriod)
				for _, l := range linked {
					if d := l.placer.decide(now, v, testQuery(r, s)); d.verdict != capacity.Refuse {
						l.placer.begin(now, "model", testQuery(r, s).work, d).end(now, succeeded)
					}
					l.report(now, false)
				}
			}
			var sent, bytes, cross int
			for _, l := range linked {
				sent, bytes, cross = sent+l.sent, bytes+l.sentBytes, cross+l.crossBytes
			}
			rounds := float64(b.N * n)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/rounds, "ns/gateway")
			b.ReportMetric(float64(sent)/rounds, "messages/gateway")
			b.ReportMetric(float64(bytes)/rounds, "B/gateway")
			b.ReportMetric(float64(cross)/rounds, "crossB/gateway")
		})
	}
}

// TestPositionReused guards against the load of an endpoint that is gone at the one that takes its position.
func TestPositionReused(t *testing.T) {
	now := time.Unix(1000, 0)
	loads := newPeerLoads()
	report := func(gateway string, sequence int64, endpoint string, requests int32) {
		loads.update(now, &wiregen.OutstandingReport{
			Gateway: gateway, Born: 1, Sequence: sequence, Whole: true, Outstanding: []*wiregen.EndpointOutstanding{{Endpoint: endpoint, Requests: requests}},
		})
	}
	listed := []fleet.Gateway{{Name: "one"}, {Name: "two"}}
	for i := range int64(3) {
		endpoint, before := fmt.Sprint("engine-", i), fmt.Sprint("engine-", i-1)
		report("one", i+1, endpoint, 2)
		report("two", i+1, endpoint, 3)
		loads.expire(now, listed)
		if got, gone := loads.sum(endpoint).outstanding.Requests, loads.sum(before).outstanding.Requests; got != 5 || gone != 0 || len(loads.sums) > 2 {
			t.Errorf("%s: %d requests, want 5; %s: %d, want 0; %d positions", endpoint, got, before, gone, len(loads.sums))
		}
	}
}
