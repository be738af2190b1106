package control

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/directory"
	"arbutusreel/inventory"
	"arbutusreel/standin"
	"arbutusreel/wiregen"
)

// bench is the clock, the quorum's word of the leader, and one engine under two placers.
type bench struct {
	t       *testing.T
	mu      sync.Mutex
	now     time.Time
	term    int64
	ends    time.Time
	engine  *standin.Engine
	address string
}

const (
	testTimeout = time.Second
	testPeriod  = 100 * time.Millisecond
)

func newBench(t *testing.T, checks bool) *bench {
	t.Helper()
	e := standin.NewEngine(standin.EngineConfig{
		Name: "engine", Region: "r", Service: "s", Models: []string{"a"}, Slots: 1, TokenTime: time.Millisecond, ChecksFencing: checks,
	}, directory.New("", http.DefaultClient))
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return &bench{t: t, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), engine: e, address: strings.TrimPrefix(server.URL, "http://")}
}

func (b *bench) clock() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

// pass lets time pass, in which the present leader renews its lease if it is awake.
func (b *bench) pass(d time.Duration, renew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = b.now.Add(d)
	if renew {
		b.ends = b.now.Add(testTimeout)
	}
}

func (b *bench) elect() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.term++
	b.ends = b.now.Add(testTimeout)
}

// voter is the lease of one voter, which a frozen one goes on to hold in its own belief.
type voter struct {
	bench *bench
	term  int64
	ends  time.Time
}

// Lease answers by the voter's own memory and the clock.
func (v *voter) Lease(now time.Time) (int64, time.Time, bool) {
	v.bench.mu.Lock()
	defer v.bench.mu.Unlock()
	if v.bench.term == v.term {
		v.ends = v.bench.ends
	}
	return v.term, v.ends, now.Before(v.ends)
}

// region answers what an entry knows: the engine's announcement.
func (b *bench) region() []*wiregen.RegionReply {
	models := b.held()
	return []*wiregen.RegionReply{{Name: "entry", Region: "r", Endpoints: []*wiregen.EndpointState{{
		Announcement: &wiregen.Announcement{
			Name: "engine", Address: b.address, Region: "r", FailureDomain: "d", Service: "s", Models: models, Slots: 1,
		},
	}}}}
}

func (b *bench) held() []string {
	var models []string
	for _, o := range b.engine.AppliedOrders() {
		models = o.Models
	}
	if len(b.engine.AppliedOrders()) == 0 {
		return []string{"a"}
	}
	return models
}

// placer returns the placer of a voter whose inventory offers one model only.
func (b *bench) placer(v *voter, model string, checks bool, freeze func()) *placer {
	b.t.Helper()
	inv, err := inventory.New(inventory.Contents{
		Regions:  []inventory.Region{{Name: "r"}},
		Models:   []inventory.Model{{Name: "a"}, {Name: "b"}},
		Services: []inventory.Service{{Name: "s", Models: []string{model}, MinEndpointsPerModel: 1, ChecksFencing: checks}},
		Classes:  []inventory.Class{{Name: "c", Patience: 1}},
		Rules:    inventory.Rules{MaxPlacementChanges: 1},
	})
	if err != nil {
		b.t.Fatal(err)
	}
	cfg := Config{ElectionTimeout: testTimeout, PlacementPeriod: testPeriod}
	regions := func(context.Context) []*wiregen.RegionReply {
		if freeze != nil {
			freeze()
		}
		return b.region()
	}
	return newPlacer(cfg, v, func() (*inventory.Inventory, int64) { return inv, 1 }, regions, zerolog.Nop(), b.clock)
}

// lead lets a placer act for some seconds of the bench's time.
func (b *bench) lead(p *placer) {
	for range 60 {
		b.pass(testPeriod, true)
		p.tick(b.t.Context())
	}
}

// checkOrders checks that no order of an older term was applied after one of a newer term.
func (b *bench) checkOrders(want string) {
	b.t.Helper()
	orders := b.engine.AppliedOrders()
	if !slices.IsSortedFunc(orders, func(x, y standin.AppliedOrder) int { return int(x.Term - y.Term) }) {
		b.t.Errorf("orders applied out of term: %+v", orders)
	}
	if len(orders) == 0 || !slices.Equal(orders[len(orders)-1].Models, []string{want}) {
		b.t.Errorf("the engine was last told by %+v, want model %q", orders, want)
	}
}

func eachKind(t *testing.T, test func(t *testing.T, checks bool)) {
	for _, kind := range []struct {
		name   string
		checks bool
	}{{"engine checks numbers", true}, {"engine ignores numbers", false}} {
		t.Run(kind.name, func(t *testing.T) { test(t, kind.checks) })
	}
}

// TestLeaderFrozenWhileDeciding freezes a leader while it asks the entries, and wakes it after its successor acted.
func TestLeaderFrozenWhileDeciding(t *testing.T) {
	eachKind(t, func(t *testing.T, checks bool) {
		b := newBench(t, checks)
		b.elect()
		asked, wake := make(chan struct{}), make(chan struct{})
		freeze := sync.OnceFunc(func() {
			close(asked)
			<-wake
		})
		old := b.placer(&voter{bench: b, term: 1}, "a", checks, freeze)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 60 {
				old.tick(t.Context())
			}
		}()
		<-asked
		b.pass(2*testTimeout, false)
		b.elect()
		b.lead(b.placer(&voter{bench: b, term: 2}, "b", checks, nil))
		b.checkOrders("b")
		close(wake)
		<-done
		b.checkOrders("b")
	})
}

// TestLeaderFrozenWhileSending freezes a leader after its last decision, while it connects to the engine.
func TestLeaderFrozenWhileSending(t *testing.T) {
	eachKind(t, func(t *testing.T, checks bool) {
		b := newBench(t, checks)
		b.elect()
		old := b.placer(&voter{bench: b, term: 1}, "b", checks, nil)
		dialing, wake := make(chan struct{}, 1), make(chan struct{})
		old.sender.client.Timeout = 0
		old.sender.client.Transport = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dialing <- struct{}{}
			<-wake
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}}
		done := make(chan struct{})
		stop := make(chan struct{})
		go func() {
			defer close(done)
			for {
				select {
				case <-stop:
					return
				default:
					b.pass(testPeriod, true)
					old.tick(t.Context())
				}
			}
		}()
		<-dialing
		close(stop)
		b.pass(2*testTimeout, false)
		b.elect()
		young := b.placer(&voter{bench: b, term: 2}, "a", checks, nil)
		b.lead(young)
		before := len(b.engine.AppliedOrders())
		close(wake)
		<-done
		if after := len(b.engine.AppliedOrders()); after != before {
			t.Errorf("the old leader's order was applied: %+v", b.engine.AppliedOrders())
		}
	})
}
