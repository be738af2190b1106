package entry

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"arbutusreel/membership"
	"arbutusreel/wiregen"
)

// cluster is a set of entries in one process that exchange state by direct calls and count the bytes of their messages.
type cluster struct {
	now       time.Time
	entries   []*Entry
	byAddress map[string]*Entry
	bytes     map[*Entry]int
	sources   map[*Entry]*rand.Rand
	endpoints int
	regions   int
	sequence  int64
}

// newCluster returns a cluster of regions with the same number of entries and endpoints each.
func newCluster(regions, entries, endpoints int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), byAddress: map[string]*Entry{}, bytes: map[*Entry]int{}, sources: map[*Entry]*rand.Rand{}, endpoints: endpoints, regions: regions}
	var seeds []string
	for r := range regions {
		for e := range entries {
			address := fmt.Sprintf("10.100.%d.%d:8082", r, e)
			self := membership.Entry{
				Name: fmt.Sprintf("entry-%d-%d", r, e), Region: fmt.Sprint("region-", r), FailureDomain: fmt.Sprintf("region-%d-a", r),
				CallerAddress: "10.100.200.30:8080", EndpointAddress: address, PeerAddress: address, Weight: 1,
			}
			if e == 0 {
				seeds = append(seeds, address)
			}
			n := New(Config{Self: self, Seed: 1}, zerolog.Nop(), func() time.Time { return c.now })
			c.entries = append(c.entries, n)
			c.byAddress[address] = n
			c.sources[n] = n.newExchangeRand()
		}
	}
	for _, n := range c.entries {
		n.cfg.Peers = seeds
	}
	return c
}

// announce makes the endpoints of each region announce themselves to their entries with a changed load.
func (c *cluster) announce() {
	c.sequence++
	byRegion := map[string][]string{}
	for _, n := range c.entries {
		byRegion[n.cfg.Self.Region] = append(byRegion[n.cfg.Self.Region], n.cfg.Self.PeerAddress)
	}
	for region, addresses := range byRegion {
		for i := range c.endpoints {
			e := membership.Endpoint{
				Name: fmt.Sprint("engine-", region, "-", i), Incarnation: 1796334829000000000, Sequence: c.sequence, Address: "10.100.200.30:9000",
				Region: region, FailureDomain: region + "-a", Service: "reel-counsel", Models: []string{"arrangements-v1"}, Slots: 8,
				Load: membership.Load{Running: 4, Queued: int(c.sequence % 7), QueuedTokens: 900, TokensPerSecond: 320, PrefillTokensPerSecond: 5000, CacheUse: 0.7, At: c.now},
			}
			for _, address := range membership.Rendezvous(e.Name, addresses, 1) {
				c.byAddress[address].state.announce(e, 3*time.Second)
			}
		}
	}
}

// runPeriod runs one exchange period of every entry and counts the bytes of the messages without gRPC framing.
func (c *cluster) runPeriod(tb testing.TB) {
	for _, n := range c.entries {
		self := n.selfAdvert()
		self.Leaving = false
		n.state.updateEntry(self)
		n.state.updateGossip(self)
		for _, p := range n.state.drawPartners(self, n.cfg.Peers, c.sources[n]) {
			request, marks := n.exchangeRequest(p)
			request.Entries = asServing(request.Entries, p.knowsSelf)
			peer := c.byAddress[p.address]
			if peer == nil {
				continue // The entry was killed.
			}
			reply, err := peer.Exchange(tb.Context(), request)
			if err != nil {
				tb.Fatal(err)
			}
			reply.Entries = asServing(reply.Entries, p.knowsSelf)
			n.applyReply(marks, reply)
			size := proto.Size(request) + proto.Size(reply)
			c.bytes[n] += size
			c.bytes[peer] += size
		}
	}
	c.now = c.now.Add(exchangePeriod)
}

// asServing adjusts adverts to those of serving entries: entries under test are not ready and would advertise that they
// are leaving, and a serving entry sends no advert to a peer that knows it.
func asServing(adverts []*wiregen.EntryAdvert, knowsSelf bool) []*wiregen.EntryAdvert {
	if knowsSelf {
		return nil
	}
	for _, e := range adverts {
		e.Leaving = false
	}
	return adverts
}

// run simulates the given number of seconds.
func (c *cluster) run(tb testing.TB, seconds int) {
	for range seconds {
		c.announce()
		c.runPeriod(tb)
		c.runPeriod(tb)
	}
}

// TestExchangeSpreads checks that state reaches all entries, and that killed entries and silent endpoints expire.
func TestExchangeSpreads(t *testing.T) {
	c := newCluster(3, 5, 20)
	c.run(t, 12)
	for _, n := range c.entries {
		if got := len(n.state.live()); got != 15 {
			t.Errorf("%s knows %d entries, want 15", n.cfg.Self.Name, got)
		}
		if got := len(n.state.Endpoints()); got != 20 {
			t.Errorf("%s knows %d endpoints, want 20", n.cfg.Self.Name, got)
		}
		// A load that is reported separately is joined with the earlier data of its endpoint.
		for _, e := range n.state.Endpoints() {
			if age := c.now.Sub(e.Load.At); age > 6*time.Second || len(e.Models) != 1 || e.Load.Queued != int(e.Sequence%7) {
				t.Errorf("%s knows %s with a load of %s ago: %+v", n.cfg.Self.Name, e.Name, age, e)
			}
		}
		if got := len(n.state.Summaries()); got != 2 {
			t.Errorf("%s knows %d summaries of other regions, want 2", n.cfg.Self.Name, got)
		}
	}
	killed := c.entries[0]
	c.entries = c.entries[1:]
	delete(c.byAddress, killed.cfg.Self.PeerAddress)
	for range 24 {
		c.runPeriod(t)
	}
	for _, n := range c.entries {
		if got := len(n.state.live()); got != 14 {
			t.Errorf("%s knows %d entries after one was killed, want 14", n.cfg.Self.Name, got)
		}
	}
	// Endpoints that stop announcing expire at all entries some periods after their lease.
	for _, n := range c.entries {
		if got := len(n.state.Endpoints()); got != 0 {
			t.Errorf("%s knows %d silent endpoints", n.cfg.Self.Name, got)
		}
	}
}

// TestGatewayTakesOver checks that the known entries and summaries stay complete after gateways were killed.
func TestGatewayTakesOver(t *testing.T) {
	for _, kills := range []int{1, 2} {
		t.Run(fmt.Sprint(kills, " gateways killed"), func(t *testing.T) {
			c := newCluster(3, 8, 8)
			c.run(t, 40)
			c.killGateways(kills)
			for second := range 60 {
				c.run(t, 1)
				for _, n := range c.entries {
					c.checkRegion(t, n, "region-0", 8-kills, second == 59)
				}
			}
		})
	}
}

// killGateways kills gateways of the first region, starting with the one that reports it.
func (c *cluster) killGateways(count int) {
	names := membership.Rendezvous("region-0", entryNames(c.entries[0].state.regionEntries(c.now)), count)
	c.entries = slices.DeleteFunc(c.entries, func(n *Entry) bool {
		killed := slices.Contains(names, n.cfg.Self.Name)
		if killed {
			delete(c.byAddress, n.cfg.Self.PeerAddress)
		}
		return killed
	})
}

// checkRegion checks that an entry knows all live entries of a region and the summaries of the other regions, and, if
// last is set, that it knows no entry that was killed.
func (c *cluster) checkRegion(t *testing.T, n *Entry, region string, live int, last bool) {
	of := 0
	for _, e := range n.state.live() {
		if e.Region == region {
			of++
		}
	}
	if of < live || (last && of != live) {
		t.Fatalf("%s knows %d entries of %s after a kill, want %d", n.cfg.Self.Name, of, region, live)
	}
	if got := len(n.state.Summaries()); got != c.regions-1 {
		t.Fatalf("%s knows %d summaries after a kill, want %d", n.cfg.Self.Name, got, c.regions-1)
	}
}

// ages returns the ages of the loads and summaries that all entries hold, and the numbers of unknown entries and
// summaries as seconds.
func (c *cluster) ages() map[string][]time.Duration {
	ages := map[string][]time.Duration{}
	for _, n := range c.entries {
		for _, e := range n.state.Endpoints() {
			ages["load"] = append(ages["load"], c.now.Sub(e.Load.At))
		}
		for _, s := range n.state.Summaries() {
			ages["summary"] = append(ages["summary"], c.now.Sub(s.At))
		}
		ages["unknownEntries"] = append(ages["unknownEntries"], time.Duration(len(c.entries)-len(n.state.live()))*time.Second)
		ages["unknownSummaries"] = append(ages["unknownSummaries"], time.Duration(c.regions-1-len(n.state.Summaries()))*time.Second)
	}
	return ages
}

// BenchmarkExchange measures the bytes per second that an entry sends and receives, its CPU share and its memory in the
// steady state.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []struct{ regions, entries, endpoints int }{{3, 3, 10}, {7, 9, 100}, {21, 17, 295}} {
		b.Run(fmt.Sprintf("regions=%d/entries=%d/endpoints=%d", size.regions, size.entries, size.endpoints), func(b *testing.B) {
			c := newCluster(size.regions, size.entries, size.endpoints)
			c.run(b, 60)
			clear(c.bytes)
			seconds := 0
			for b.Loop() {
				c.run(b, 1)
				seconds++
			}
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			total, most := 0, 0
			for _, bytes := range c.bytes {
				total += bytes
				most = max(most, bytes)
			}
			count := float64(len(c.entries))
			for name, ages := range c.ages() {
				slices.Sort(ages)
				b.ReportMetric(ages[len(ages)/2].Seconds(), name+"P50s")
				b.ReportMetric(ages[len(ages)-1].Seconds(), name+"MaxS")
			}
			b.ReportMetric(float64(total)/count/float64(seconds), "B/s")
			b.ReportMetric(float64(most)/float64(seconds), "mostB/s")
			b.ReportMetric(b.Elapsed().Seconds()/float64(seconds)/count*100, "%core")
			b.ReportMetric(float64(memory.HeapAlloc)/count/1024, "heapKB")
			b.ReportMetric(0, "ns/op")
		})
	}
}
