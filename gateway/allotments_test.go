package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"arbutusreel/fleet"
	"arbutusreel/limits"
	"arbutusreel/problem"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

// teamHeaderCodec is a testHeaderCodec that also reads the caller's key.
type teamHeaderCodec struct{ testHeaderCodec }

func (c teamHeaderCodec) Call(h http.Header) (Call, error) {
	call, err := c.testHeaderCodec.Call(h)
	if key := h.Get("Key"); key != "" {
		credential := routes.NewCredential(key)
		call.Credential = &credential
	}
	return call, err
}

func (teamHeaderCodec) Prepare(h http.Header, e EndpointHeaders) { testHeaderCodec{}.Prepare(h, e) }

// allotmentFleet is a few gateways of one region that share the allotment of a team.
type allotmentFleet struct {
	t        testing.TB
	table    *routes.Table
	endpoint *testEndpoint
	gateways []*testGateway
	servers  []*grpc.Server
}

func newAllotmentFleet(t testing.TB, n int, a routes.Allotment) *allotmentFleet {
	table, err := testTable(t, nil).WithTeams([]routes.Team{{Name: "club", Credentials: []routes.Credential{routes.NewCredential("key")}, Allotment: a}})
	if err != nil {
		t.Fatal(err)
	}
	f := &allotmentFleet{t: t, table: table}
	f.endpoint = newEndpoint(t, "endpoint-1", func(c *endpointConn, r *http.Request, _ int) bool {
		c.plain(r.Header.Get("Id"), http.StatusOK, "done")
		return true
	})
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		cfg := testConfig()
		cfg.Name, cfg.Headers, cfg.LoadAddress = "gateway-"+strconv.Itoa(i), teamHeaderCodec{}, l.Addr().String()
		cfg.Regions = map[string]string{"here-a": "here"}
		cfg.Quota = limits.Rule{Window: 8 * time.Second, Overage: 0.1}
		g := &testGateway{Gateway: New(cfg, zerolog.Nop(), rand.NewPCG(1, uint64(i)))}
		g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, false) }))
		server := grpc.NewServer(grpc.Creds(cfg.Keys.Server()))
		wiregen.RegisterOutstandingServer(server, g)
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() {
			g.server.Close()
			server.Stop()
			g.cancelWork()
		})
		f.gateways, f.servers = append(f.gateways, g), append(f.servers, server)
	}
	return f
}

// publish gives the gateways a current view that lists those of the given numbers as ready.
func (f *allotmentFleet) publish(ready ...int) {
	now := time.Now()
	v := &view{table: f.table, software: newSoftwareVersions(), updatedAt: now, current: true, endpoints: map[string][]fleet.Endpoint{
		"desk": {{ID: f.endpoint.id, Born: 1, Service: "desk", Address: f.endpoint.address, Slots: 64, LastSeen: now}},
	}}
	for _, i := range ready {
		v.gateways = append(v.gateways, listed(f.gateways[i].Gateway))
	}
	for _, i := range ready {
		c := *v
		f.gateways[i].view.Store(&c)
		f.gateways[i].allotments.observe(now, &c)
	}
}

func (f *allotmentFleet) owner(ready ...int) (owner int) {
	var members []limits.Member
	for _, i := range ready {
		members = append(members, limits.Member{Instance: f.gateways[i].cfg.Name, Region: "here"})
	}
	name, _ := limits.Owner("club", "here", members)
	for i, g := range f.gateways {
		if g.cfg.Name == name {
			owner = i
		}
	}
	return owner
}

// level returns the level of the share that a gateway owns.
func (f *allotmentFleet) level(gateway int) float64 {
	a := f.gateways[gateway].allotments
	a.mu.Lock()
	defer a.mu.Unlock()
	level, _ := a.pool.Level(time.Now(), "club")
	return level
}

func (f *allotmentFleet) ask(gateway int) result {
	return f.gateways[gateway].call(context.Background(), http.MethodGet, "/safe/x", map[string]string{"Key": "key", "Tokens": "100"})
}

// TestAllotmentOwnerLost guards against requests that are refused as over the allotment, wait long or are admitted without bound while the owner of the
// team's share is lost, and against a new owner that never takes over.
func TestAllotmentOwnerLost(t *testing.T) {
	f := newAllotmentFleet(t, 3, routes.Allotment{Rate: 20000, Burst: 20000, Unit: routes.Tokens})
	f.publish(0, 1, 2)
	owner := f.owner(0, 1, 2)
	other, third := (owner+1)%3, (owner+2)%3
	waitFor(t, "a request is admitted by the owner's grant", func() bool { return f.ask(other).status == http.StatusOK })
	// A new share starts empty.
	waitFor(t, "the share holds a request of each gateway", func() bool { return f.level(owner) >= 300 })
	for i := range f.gateways {
		if r := f.ask(i); r.status != http.StatusOK {
			t.Fatalf("gateway %d of a team within its allotment: status %d, %s", i, r.status, r.body)
		}
	}
	f.servers[owner].Stop()
	var served int
	for range 60 {
		switch r := f.ask(other); {
		case r.status == http.StatusOK:
			served++
		case r.status == http.StatusTooManyRequests:
			t.Fatal("a request is refused as over the allotment without an owner's answer: ", r.body)
		case r.header.Get(codeHeader) != string(problem.AllotmentUnknown) || r.header.Get("Retry-After") == "":
			t.Fatalf("status %d without a cause or Retry-After: %s", r.status, r.body)
		}
	}
	// What was prefetched and the reserve of 2 s are what is left.
	if served*100 > 20000/10+20000*2/100 {
		t.Errorf("%d requests were admitted without the owner", served)
	}
	f.publish(other, third)
	for _, i := range []int{other, third} {
		waitFor(t, "the new owner grants", func() bool { return f.ask(i).status == http.StatusOK })
	}
}

// TestAllotmentOver guards against a team that is served beyond its allotment, a refusal without a time to come back, and a cost for teams without a limit.
func TestAllotmentOver(t *testing.T) {
	f := newAllotmentFleet(t, 2, routes.Allotment{Rate: 1000, Burst: 1000, Unit: routes.Tokens})
	f.publish(0, 1)
	begun := time.Now()
	var served, refused int
	for i := range 200 {
		switch r := f.ask(i % 2); {
		case r.status == http.StatusOK:
			served++
		case r.status == http.StatusTooManyRequests && r.header.Get(codeHeader) == string(problem.OverAllotment):
			if wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err != nil || wait <= 0 {
				t.Fatalf("Retry-After is %q", r.header.Get("Retry-After"))
			}
			refused++
		default:
			t.Fatalf("status %d: %s", r.status, r.body)
		}
	}
	if got, most := float64(served*100), (time.Since(begun).Seconds()+1)*1000; got > most || refused == 0 {
		t.Errorf("%v tokens served, %v allowed, %d refused", got, most, refused)
	}
	free := newAllotmentFleet(t, 2, routes.Allotment{})
	free.publish(0, 1)
	for i := range 50 {
		if r := free.ask(i % 2); r.status != http.StatusOK {
			t.Fatalf("a team without a limit: status %d, %s", r.status, r.body)
		}
	}
	if n := len(free.gateways[0].allotments.calls.conns) + len(free.gateways[1].allotments.calls.conns); n != 0 {
		t.Errorf("%d connections for a team without a limit", n)
	}
}

// TestAllotmentReturned guards against tokens that are lost with requests that have not run.
func TestAllotmentReturned(t *testing.T) {
	f := newAllotmentFleet(t, 1, routes.Allotment{Rate: 1000, Burst: 1000, Unit: routes.Tokens})
	f.publish(0)
	waitFor(t, "a request is served", func() bool { return f.ask(0).status == http.StatusOK })
	c := *f.gateways[0].view.Load()
	c.endpoints = nil
	f.gateways[0].view.Store(&c)
	a := f.gateways[0].allotments
	waitFor(t, "a request is refused for lack of endpoints", func() bool { return f.ask(0).status == http.StatusServiceUnavailable })
	if got := a.counts.returned.Get("club"); got == nil || got.String() != "100" {
		t.Errorf("%v tokens returned, want 100", got)
	}
}

// BenchmarkAllotmentDraw measures what a draw from another gateway of the region adds to a request.
func BenchmarkAllotmentDraw(b *testing.B) {
	f := newAllotmentFleet(b, 2, routes.Allotment{Rate: 1e12, Burst: 1e12, Unit: routes.Tokens})
	f.publish(0, 1)
	a := f.gateways[1-f.owner(0, 1)].allotments
	time.Sleep(10 * time.Millisecond)
	for b.Loop() {
		// A cost above the prefetch of the draw before makes each request draw.
		if _, _, v := a.take(b.Context(), "club", float64(1+b.N%7)); v != charged {
			b.Fatal(v)
		}
		clear(a.balances)
	}
}
