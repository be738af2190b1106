package gateway

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/metrics"
	"arbutusreel/origin"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

// busyNode is a gateway that decides, streams and reports in virtual time.
type busyNode struct {
	*linkedPlacer

	origins *origins
	running []*busyStream
	streams int
}

// busyStream is a stream in progress.
type busyStream struct {
	attempt     *attempt
	next, until time.Time
}

// busyRegion is a region of gateways with streams of 25 events in a second, whose reports are encoded for each kind of link and decoded by each receiver.
type busyRegion struct {
	now   time.Time
	nodes []*busyNode
	byOne map[*linkedPlacer]*busyNode
	v     *view
	r     *routes.Route
	s     *routes.Service
	rng   *rand.Rand
	rate  float64
}

func newBusyRegion(tb testing.TB, gateways, endpoints int, rate float64) *busyRegion {
	tb.Helper()
	var all []fleet.Endpoint
	for i := range endpoints {
		all = append(all, fleet.Endpoint{ID: fmt.Sprintf("engine-one-%d", i), Born: 7, Service: "model", Slots: 64, State: fleet.Ready})
	}
	placers, v, r, s := newPlacers(tb, gateways, all...)
	g := &busyRegion{now: time.Now(), byOne: map[*linkedPlacer]*busyNode{}, v: v, r: r, s: s, rng: rand.New(rand.NewPCG(1, 1)), rate: rate}
	for _, l := range linkPlacers(placers) {
		node := &busyNode{linkedPlacer: l, origins: newOrigins(metrics.New())}
		g.nodes, g.byOne[l] = append(g.nodes, node), node
	}
	return g
}

// second passes a second in steps of the period of load reports.
func (g *busyRegion) second() {
	for step := range int(time.Second / loadReportPeriod) {
		g.now = g.now.Add(loadReportPeriod)
		for _, node := range g.nodes {
			if g.rng.Float64() < g.rate*loadReportPeriod.Seconds() {
				g.begin(node)
			}
			node.stream(g.now)
			if step%8 == 0 {
				node.placer.localCapacity(g.now, g.v)
			}
			g.report(node, step == 0)
		}
	}
}

// begin places a request of which a part is shared with others.
func (g *busyRegion) begin(node *busyNode) {
	q := testQuery(g.r, g.s)
	q.work = capacity.Work{
		Parts:        []capacity.Part{{ID: "system", Tokens: 500}, {ID: fmt.Sprintf("subject-%d", g.rng.IntN(300)), Tokens: 4000}, {ID: "own", Tokens: 500}},
		PromptTokens: 5000, OutputTokens: 200, Stream: capacity.Stream{Gap: 400 * time.Millisecond, EventTokens: 8, Remaining: 10 * time.Second},
	}
	d := node.placer.decide(g.now, g.v, q)
	if d.verdict == capacity.Refuse {
		return
	}
	a := node.placer.begin(g.now, "model", q.work, d)
	a.intervals.eventTokens = 8
	node.running = append(node.running, &busyStream{attempt: a, next: g.now.Add(100 * time.Millisecond), until: g.now.Add(1100 * time.Millisecond)})
	node.streams++
	node.origins.record(g.now, fmt.Sprint(node.self.Name, node.streams), origin.Origin{Service: "model", Software: "v1"})
}

// stream passes on the events that are due.
func (n *busyNode) stream(now time.Time) {
	kept := n.running[:0]
	for _, s := range n.running {
		for !s.next.After(now) {
			s.attempt.recordArrival(s.next, s.next)
			s.next = s.next.Add(40 * time.Millisecond)
		}
		if s.next.After(s.until) {
			s.attempt.end(now, succeeded)
			continue
		}
		kept = append(kept, s)
	}
	n.running = kept
}

// report sends what changed, encoded and decoded as by gRPC.
func (g *busyRegion) report(node *busyNode, whole bool) {
	messages := node.relay.take(node.placer.loadReport(g.now, 1, whole))
	node.origins.takeInto(messages)
	for link, m := range messages {
		b, err := proto.Marshal(m)
		if err != nil {
			panic(err)
		}
		for _, to := range node.links[link] {
			var received wiregen.OutstandingReport
			if err := proto.Unmarshal(b, &received); err != nil {
				panic(err)
			}
			node.sent++
			receiveReports(g.now, to.placer, to.relay, &received)
			g.byOne[to].origins.receive(g.now, link, decodeOrigins(received.GetOrigins()))
		}
	}
}

// processorTime returns the processor time of this process, which other work on the machine lengthens less than wall time.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkBusySecond measures the processor time of a second of a gateway's decisions, events, load reports and origin records,
// without connections.
func BenchmarkBusySecond(b *testing.B) {
	for _, c := range []struct {
		gateways, endpoints int
		rate                float64
	}{{13, 14, 10}, {28, 46, 20}, {31, 30, 30}} {
		b.Run(fmt.Sprintf("gateways=%d/endpoints=%d/rate=%v", c.gateways, c.endpoints, c.rate), func(b *testing.B) {
			region := newBusyRegion(b, c.gateways, c.endpoints, c.rate)
			for range 3 {
				region.second()
			}
			b.ReportAllocs()
			before := processorTime(b)
			for b.Loop() {
				region.second()
			}
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N*c.gateways), "us/gateway")
			b.ReportMetric(float64(region.nodes[0].sent)/float64(b.N+3), "messages/s")
		})
	}
}
