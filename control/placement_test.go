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

// fixture provides a clock, the leader leases and one engine that receives orders from two placers.
type fixture struct {
	t        *testing.T
	mu       sync.Mutex
	now      time.Time
	term     int64
	leaseEnd time.Time
	engine   *standin.Engine
	address  string
}

const (
	testTimeout = time.Second
	testPeriod  = 100 * time.Millisecond
)

func newFixture(t *testing.T, checks bool) *fixture {
	t.Helper()
	e := standin.NewEngine(standin.EngineConfig{
		Name: "engine", Region: "r", Service: "s", Models: []string{"a"}, Slots: 1, TokenTime: time.Millisecond, ChecksFencing: checks,
	}, directory.New("", http.DefaultClient))
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return &fixture{t: t, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), engine: e, address: strings.TrimPrefix(server.URL, "http://")}
}

func (f *fixture) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// advance moves the clock forward; renew extends the lease of the current leader, as an unfrozen leader would.
func (f *fixture) advance(d time.Duration, renew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	if renew {
		f.leaseEnd = f.now.Add(testTimeout)
	}
}

func (f *fixture) elect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term++
	f.leaseEnd = f.now.Add(testTimeout)
}

// testVoter provides the leader lease as seen by one voter. A voter that was superseded keeps its last known lease
// until that lease ends.
type testVoter struct {
	fixture  *fixture
	term     int64
	leaseEnd time.Time
}

// Lease returns the last lease known to the voter.
func (v *testVoter) Lease(now time.Time) (int64, time.Time, bool) {
	v.fixture.mu.Lock()
	defer v.fixture.mu.Unlock()
	if v.fixture.term == v.term {
		v.leaseEnd = v.fixture.leaseEnd
	}
	return v.term, v.leaseEnd, now.Before(v.leaseEnd)
}

// regionReplies returns the reply of an entry that knows the engine's announcement.
func (f *fixture) regionReplies() []*wiregen.RegionReply {
	models := f.appliedModels()
	return []*wiregen.RegionReply{{Name: "entry", Region: "r", Endpoints: []*wiregen.EndpointState{{
		Announcement: &wiregen.Announcement{
			Name: "engine", Address: f.address, Region: "r", FailureDomain: "d", Service: "s", Models: models, Slots: 1,
		},
	}}}}
}

func (f *fixture) appliedModels() []string {
	var models []string
	for _, o := range f.engine.AppliedOrders() {
		models = o.Models
	}
	if len(f.engine.AppliedOrders()) == 0 {
		return []string{"a"}
	}
	return models
}

// placer returns the placer of a voter whose inventory has a single model for the service, which makes it order that
// model.
func (f *fixture) placer(v *testVoter, model string, checks bool, freeze func()) *placer {
	f.t.Helper()
	inv, err := inventory.New(inventory.Contents{
		Regions:  []inventory.Region{{Name: "r"}},
		Models:   []inventory.Model{{Name: "a"}, {Name: "b"}},
		Services: []inventory.Service{{Name: "s", Models: []string{model}, MinEndpointsPerModel: 1, ChecksFencing: checks}},
		Classes:  []inventory.Class{{Name: "c", Patience: 1}},
		Rules:    inventory.Rules{MaxPlacementChanges: 1},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	cfg := Config{ElectionTimeout: testTimeout, PlacementPeriod: testPeriod}
	regions := func(context.Context) []*wiregen.RegionReply {
		if freeze != nil {
			freeze()
		}
		return f.regionReplies()
	}
	return newPlacer(cfg, v, func() (*inventory.Inventory, int64) { return inv, 1 }, regions, zerolog.Nop(), f.clock)
}

// runPlacer runs 60 ticks of a placer, one test period apart.
func (f *fixture) runPlacer(p *placer) {
	for range 60 {
		f.advance(testPeriod, true)
		p.tick(f.t.Context())
	}
}

// checkOrders checks that no order of an older term was applied after one of a newer term, and that the last order
// names the wanted model.
func (f *fixture) checkOrders(want string) {
	f.t.Helper()
	orders := f.engine.AppliedOrders()
	if !slices.IsSortedFunc(orders, func(x, y standin.AppliedOrder) int { return int(x.Term - y.Term) }) {
		f.t.Errorf("orders applied out of term order: %+v", orders)
	}
	if len(orders) == 0 || !slices.Equal(orders[len(orders)-1].Models, []string{want}) {
		f.t.Errorf("orders applied by the engine: %+v; want model %q last", orders, want)
	}
}

func forEachEngineKind(t *testing.T, test func(t *testing.T, checks bool)) {
	for _, kind := range []struct {
		name   string
		checks bool
	}{{"engine checks numbers", true}, {"engine ignores numbers", false}} {
		t.Run(kind.name, func(t *testing.T) { test(t, kind.checks) })
	}
}

// TestLeaderFrozenWhileDeciding checks that a leader that is frozen while it queries the entries, and resumes after its
// successor has sent orders, cannot apply an outdated order.
func TestLeaderFrozenWhileDeciding(t *testing.T) {
	forEachEngineKind(t, func(t *testing.T, checks bool) {
		f := newFixture(t, checks)
		f.elect()
		asked, wake := make(chan struct{}), make(chan struct{})
		freeze := sync.OnceFunc(func() {
			close(asked)
			<-wake
		})
		old := f.placer(&testVoter{fixture: f, term: 1}, "a", checks, freeze)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 60 {
				old.tick(t.Context())
			}
		}()
		<-asked
		f.advance(2*testTimeout, false)
		f.elect()
		f.runPlacer(f.placer(&testVoter{fixture: f, term: 2}, "b", checks, nil))
		f.checkOrders("b")
		close(wake)
		<-done
		f.checkOrders("b")
	})
}

// TestLeaderFrozenWhileSending checks that a leader that is frozen after its decision, while it connects to the engine,
// cannot apply its order once a successor has sent orders.
func TestLeaderFrozenWhileSending(t *testing.T) {
	forEachEngineKind(t, func(t *testing.T, checks bool) {
		f := newFixture(t, checks)
		f.elect()
		old := f.placer(&testVoter{fixture: f, term: 1}, "b", checks, nil)
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
					f.advance(testPeriod, true)
					old.tick(t.Context())
				}
			}
		}()
		<-dialing
		close(stop)
		f.advance(2*testTimeout, false)
		f.elect()
		successor := f.placer(&testVoter{fixture: f, term: 2}, "a", checks, nil)
		f.runPlacer(successor)
		before := len(f.engine.AppliedOrders())
		close(wake)
		<-done
		if after := len(f.engine.AppliedOrders()); after != before {
			t.Errorf("the old leader's order was applied: %+v", f.engine.AppliedOrders())
		}
	})
}
