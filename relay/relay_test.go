package relay

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"arbutusreel/distribution"
	"arbutusreel/wiregen"
)

// node is an instance with its hub, its server and the number of bytes that its follower sent and received.
type node struct {
	t           testing.TB
	name        string
	hub         *Hub
	address     string
	sources     []string
	bytes       atomic.Int64
	mu          sync.Mutex
	adopted     []int64
	adoptedFrom string
}

var _ Instance = (*node)(nil)

// newNode returns a node that serves its hub; it follows its sources once run is called.
func newNode(t testing.TB, name string, sources ...string) *node {
	t.Helper()
	n := &node{t: t, name: name, hub: NewHub(name, time.Now), sources: sources}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n.address = l.Addr().String()
	done := make(chan struct{})
	s := grpc.NewServer()
	accept := func(context.Context, *wiregen.FollowReport) error { return nil }
	wiregen.RegisterConfigurationServer(s, NewServer(n.hub, accept, done))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		close(done)
		s.Stop()
	})
	return n
}

// run follows the sources until the test ends.
func (n *node) run() *node {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { NewFollower(n.hub, n, zerolog.Nop()).Run(ctx) })
	n.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return n
}

func (n *node) Sources() []string { return n.sources }

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	read, err := c.Conn.Read(b)
	c.bytes.Add(int64(read))
	return read, err
}

func (c countedConn) Write(b []byte) (int, error) {
	written, err := c.Conn.Write(b)
	c.bytes.Add(int64(written))
	return written, err
}

func (n *node) Dial(address string) (*grpc.ClientConn, error) {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return countedConn{Conn: conn, bytes: &n.bytes}, err
	}
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
}

func (n *node) Adopt(revision int64, _ []byte, source string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adopted = append(n.adopted, revision)
	n.adoptedFrom = source
	return nil
}

func (n *node) Self() distribution.Instance {
	revision, _ := n.hub.Revision()
	return distribution.Instance{Name: n.name, Region: "lahore", Revision: revision, At: time.Now()}
}

func (n *node) Advert() *wiregen.EntryAdvert {
	return &wiregen.EntryAdvert{Name: n.name, Region: "lahore"}
}

func (n *node) waitFor(what string, condition func() bool) {
	n.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			n.t.Fatalf("timed out waiting: %s", what)
		}
	}
}

func (n *node) hasRevision(revision int64) func() bool {
	return func() bool {
		got, _ := n.hub.Revision()
		return got == revision
	}
}

// withLeader records contact with a leader at the node until the test ends.
func (n *node) withLeader() *node {
	done := make(chan struct{})
	n.t.Cleanup(func() { close(done) })
	go func() {
		for {
			n.hub.RecordLeaderContact(time.Now())
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	return n
}

func TestTreeCarriesRevisionsAndReports(t *testing.T) {
	voter := newNode(t, "voter").withLeader()
	relay := newNode(t, "relay", voter.address).run()
	leaf := newNode(t, "leaf", relay.address, voter.address).run()
	whole := bytes.Repeat([]byte("inventory "), 100)
	for revision := int64(1); revision <= 20; revision++ {
		whole = append(bytes.Clone(whole), byte('a'+revision))
		voter.hub.Put(revision, whole)
	}
	leaf.waitFor("the leaf has revision 20", leaf.hasRevision(20))
	leaf.mu.Lock()
	adopted := slices.Clone(leaf.adopted)
	leaf.mu.Unlock()
	if !slices.IsSorted(adopted) || len(slices.Compact(slices.Clone(adopted))) != len(adopted) {
		t.Errorf("the leaf adopted %v", adopted)
	}
	voter.waitFor("the voter knows both at revision 20", func() bool {
		instances := voter.hub.Instances()
		return len(instances) == 2 && instances[0].Revision == 20 && instances[1].Revision == 20
	})
}

func TestStartTakesHighestOfAll(t *testing.T) {
	behind := newNode(t, "behind").withLeader()
	behind.hub.Put(3, []byte("three"))
	ahead := newNode(t, "ahead")
	ahead.hub.Put(5, []byte("five"))
	n := newNode(t, "n", behind.address, "127.0.0.1:1", ahead.address).run()
	n.waitFor("the highest revision is adopted", n.hasRevision(5))
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.adopted[0] != 5 || n.adoptedFrom != "ahead" {
		t.Errorf("adopted %v from %q", n.adopted, n.adoptedFrom)
	}
}

func TestStaleSourceIsLeft(t *testing.T) {
	stale := newNode(t, "stale")
	stale.hub.mu.Lock()
	stale.hub.leaderSeenAt = time.Now().Add(-time.Hour)
	stale.hub.mu.Unlock()
	stale.hub.Put(1, []byte("one"))
	fresh := newNode(t, "fresh").withLeader()
	fresh.hub.Put(1, []byte("one"))
	n := newNode(t, "n", stale.address, fresh.address).run()
	n.waitFor("the first revision is adopted", n.hasRevision(1))
	fresh.hub.Put(2, []byte("two"))
	n.waitFor("the fresh source's revision is adopted", n.hasRevision(2))
}

func TestForeignCopyIsReplaced(t *testing.T) {
	voter := newNode(t, "voter").withLeader()
	voter.hub.Put(1, []byte("the inventory of revision 1"))
	voter.hub.Put(2, []byte("the inventory of revision 2"))
	n := newNode(t, "n", voter.address)
	n.hub.Put(1, []byte("another inventory of revision 1"))
	n.run().waitFor("revision 2 is adopted", n.hasRevision(2))
	if _, checksum := n.hub.Revision(); checksum != distribution.Checksum([]byte("the inventory of revision 2")) {
		t.Error("the copy differs from the source's")
	}
}

// BenchmarkTraffic reports the bytes a second of an idle relay with followers,
// and the bytes of each change at the relay, with an inventory of 51 kB.
func BenchmarkTraffic(b *testing.B) {
	for _, followers := range []int{0, 4, 16} {
		b.Run(fmt.Sprint(followers), func(b *testing.B) {
			voter := newNode(b, "voter").withLeader()
			whole := bytes.Repeat([]byte{7}, 51_000)
			voter.hub.Put(1, whole)
			relay := newNode(b, "relay", voter.address).run()
			all := []*node{relay}
			for i := range followers {
				all = append(all, newNode(b, fmt.Sprint("leaf-", i), relay.address).run())
			}
			for _, n := range all {
				n.waitFor("revision 1", n.hasRevision(1))
			}
			time.Sleep(2 * time.Second)
			sum := func() (bytes int64) {
				for _, n := range all {
					bytes += n.bytes.Load()
				}
				return bytes
			}
			before, up := sum(), relay.bytes.Load()
			const idle = 5
			time.Sleep(idle * time.Second)
			b.ReportMetric(float64(sum()-before)/idle, "idleBytes/s")
			b.ReportMetric(float64(relay.bytes.Load()-up)/idle, "idleUpstreamBytes/s")
			before = sum()
			began := time.Now()
			const changes = 50
			for i := range int64(changes) {
				whole = bytes.Clone(whole)
				whole[1000*i]++
				voter.hub.Put(i+2, whole)
				for _, n := range all {
					n.waitFor("the change", n.hasRevision(i+2))
				}
			}
			spent := time.Since(began).Seconds()
			b.ReportMetric((float64(sum()-before))/changes, "bytes/change")
			b.ReportMetric(spent*1000/changes, "ms/change")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkInForce reports the time from the acceptance of a change to its
// adoption at the last entry, of regions with 17 entries of which 2 are relays.
func BenchmarkInForce(b *testing.B) {
	const entriesPerRegion, relays, changes = 17, 2, 20
	for _, regions := range []int{1, 7, 21} {
		b.Run(fmt.Sprint(regions*entriesPerRegion), func(b *testing.B) {
			voter := newNode(b, "voter").withLeader()
			whole := bytes.Repeat([]byte{7}, 51_000)
			voter.hub.Put(1, whole)
			var all []*node
			for r := range regions {
				var sources []string
				for i := range entriesPerRegion {
					n := newNode(b, fmt.Sprint(r, "-", i), append(sources, voter.address)...)
					if i < relays {
						n.sources = []string{voter.address}
						sources = append(sources, n.address)
					}
					all = append(all, n.run())
				}
			}
			for _, n := range all {
				n.waitFor("revision 1", n.hasRevision(1))
			}
			var longest time.Duration
			began := time.Now()
			for i := range int64(changes) {
				whole = bytes.Clone(whole)
				whole[1000*i]++
				accepted := time.Now()
				voter.hub.Put(i+2, whole)
				for _, n := range all {
					n.waitFor("the change", n.hasRevision(i+2))
				}
				longest = max(longest, time.Since(accepted))
			}
			b.ReportMetric(time.Since(began).Seconds()*1000/changes, "ms/change")
			b.ReportMetric(longest.Seconds()*1000, "msLongest")
			voter.waitFor("the voter knows every entry", func() bool { return len(voter.hub.Instances()) == len(all) })
			b.ReportMetric(0, "ns/op")
		})
	}
}
