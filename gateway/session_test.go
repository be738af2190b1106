package gateway

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"arbutusreel/configuration"
	"arbutusreel/fleet"
	"arbutusreel/keys"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

// testControl is a control daemon that delays its first update.
type testControl struct {
	wiregen.UnimplementedFleetServer
	address string
	delay   time.Duration
	current bool
	// silent is the number of initial sessions that get no update.
	silent atomic.Int32
	// first is the first update of each session that is not brief; it is empty if nil.
	first *wiregen.FleetUpdate
	// earlier marks a daemon of a version that does not know brief updates.
	earlier bool
	// stateless marks a daemon that answers searches and sends nothing else.
	stateless bool
}

func (c *testControl) Attend(session grpc.BidiStreamingServer[wiregen.GatewayReport, wiregen.FleetUpdate]) error {
	time.Sleep(c.delay)
	if c.silent.Add(-1) >= 0 {
		<-session.Context().Done()
		return session.Context().Err()
	}
	report, err := session.Recv()
	if err != nil {
		return err
	}
	if report.GetProbing() && !c.earlier {
		if err := session.Send(&wiregen.FleetUpdate{Brief: true, Current: c.current, Sender: c.address}); err != nil {
			return err
		}
		if report, err = session.Recv(); err != nil || report.GetProbing() {
			return err
		}
	}
	if c.stateless {
		<-session.Context().Done()
		return session.Context().Err()
	}
	if c.first != nil {
		if err := session.Send(c.first); err != nil {
			return err
		}
	}
	for {
		if err := session.Send(&wiregen.FleetUpdate{Current: c.current, Sender: c.address}); err != nil {
			return err
		}
		select {
		case <-session.Context().Done():
			return session.Context().Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func newControl(t *testing.T, delay time.Duration, current bool) *testControl {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &testControl{address: l.Addr().String(), delay: delay, current: current}
	c.serve(t, l)
	return c
}

// serve serves sessions at a listener until the returned function is called or the test ends.
func (c *testControl) serve(t *testing.T, l net.Listener) (stop func()) {
	t.Helper()
	server := grpc.NewServer(grpc.Creds(keys.Plain().Server()))
	wiregen.RegisterFleetServer(server, c)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return server.Stop
}

// TestSessionMovesToCurrent has a nearby control daemon without a leader, and a distant one with a leader whose first
// update takes several round trips between regions: the gateway moves to the distant one.
func TestSessionMovesToCurrent(t *testing.T) {
	near, far := newControl(t, 0, false), newControl(t, 2*currentPreferenceTime, true)
	g := newGateway(t, testTable(t, nil))
	g.view.Store(&view{})
	g.cfg.Controls = []string{near.address, far.address}
	g.wg.Go(func() { g.subscribe(g.workCtx) })
	t.Cleanup(func() {
		g.cancelWork()
		g.wg.Wait()
	})
	for deadline := time.Now().Add(20 * time.Second); !g.view.Load().current; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the gateway still follows %s", g.view.Load().control)
		}
	}
	if got := g.view.Load().control; got != far.address {
		t.Errorf("the gateway follows %s", got)
	}
}

// TestConnectRetries has a single control daemon that does not answer the first two sessions, as if it started later
// than the gateway: one call of connectAny finds it nevertheless.
func TestConnectRetries(t *testing.T) {
	late := newControl(t, 0, true)
	late.silent.Store(raceAttempts - 1)
	g := newGateway(t, testTable(t, nil))
	g.cfg.Controls = []string{late.address}
	c := g.connectAny(t.Context(), false)
	defer c.close()
	if c == nil {
		t.Error("connectAny found no control daemon")
	}
}

// TestNotReady refuses requests before there is a routing table, with a retry delay until one is expected.
func TestNotReady(t *testing.T) {
	g := newGateway(t, testTable(t, nil))
	g.view.Store(&view{})
	for _, c := range []struct{ uptime, least time.Duration }{{0, startupTime}, {startupTime / 2, startupTime / 2}, {time.Minute, notReadyRetryAfter}} {
		if got := g.notReadyRetryAfter(g.started.Add(c.uptime)); got < c.least || got > 2*c.least {
			t.Errorf("%v after the start: come back after %v, want about %v", c.uptime, got, c.least)
		}
	}
	if got := g.call(t.Context(), "POST", "/unsafe/x", nil); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("%+v", got)
	}
}

// TestEvacuationsOfStaleControlForgotten has a control daemon restart without a leader after evacuations were ordered or
// withdrawn, send the evacuated failure domains in the first update of a session, and become current without sending them
// again: the gateway applies them, although it knew others before.
func TestEvacuationsOfStaleControlForgotten(t *testing.T) {
	for _, c := range []struct {
		name            string
		known, received []string
	}{
		{"ordered", []string{"here-a"}, []string{"here-a", "there-a"}},
		{"withdrawn", []string{"here-a", "there-a"}, []string{"here-a"}},
		{"all withdrawn", []string{"here-a"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			address := l.Addr().String()
			before := &testControl{address: address, current: true, first: &wiregen.FleetUpdate{Current: true, EvacuationsTold: true, Evacuated: c.known}}
			stop := before.serve(t, l)
			g := newGateway(t, testTable(t, nil))
			g.view.Store(&view{})
			g.cfg.Controls = []string{address}
			g.wg.Go(func() { g.subscribe(g.workCtx) })
			t.Cleanup(func() {
				g.cancelWork()
				g.wg.Wait()
			})
			follows := func(evacuated []string) bool {
				v := g.view.Load()
				return v.current && slices.Equal(v.evacuated, evacuated)
			}
			waitFor(t, "evacuations before the restart", func() bool { return follows(c.known) })
			stop()
			if l, err = net.Listen("tcp", address); err != nil {
				t.Fatal(err)
			}
			after := &testControl{address: address, current: true, first: &wiregen.FleetUpdate{EvacuationsTold: true, Evacuated: c.received}}
			after.serve(t, l)
			waitFor(t, "evacuations of the restarted daemon", func() bool { return follows(c.received) })
		})
	}
}

// TestOlderDocumentWhileWaiting guards against a gateway that takes an older document into force than one that it has received: it
// starts, waits for a current control daemon, and gets the documents of two others.
func TestOlderDocumentWhileWaiting(t *testing.T) {
	cfg := testConfig()
	cfg.Decode = func(configuration.Document) (*routes.Table, error) { return testTable(t, nil), nil }
	g := New(cfg, zerolog.Nop(), rand.NewPCG(1, 1))
	t.Cleanup(g.cancelWork)
	for _, version := range []int64{3, 2} {
		g.updateDocument(g.started, &wiregen.FleetUpdate{Document: &wiregen.RouteDocument{Version: version}})
	}
	if got := g.state.document.Version; got != 0 {
		t.Fatalf("version %d is in force while the gateway waits", got)
	}
	g.updateDocument(g.started.Add(currentDocumentWait), &wiregen.FleetUpdate{})
	if got := g.state.document.Version; got != 3 {
		t.Errorf("version %d is in force, want 3", got)
	}
}

// TestDepartureWithoutIncarnation has a control daemon that doesn't know an endpoint send its departure: a gateway that knows the
// endpoint sends nothing more to it, unless it was seen later, and keeps its address to close connections.
func TestDepartureWithoutIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		left time.Duration
		want fleet.State
	}{{"seen before", time.Second, fleet.Gone}, {"seen later", -time.Second, fleet.Ready}} {
		t.Run(c.name, func(t *testing.T) {
			st := newFleetState(testConfig())
			st.updateEndpoint(fleet.Endpoint{ID: "e", Born: 5, Sequence: 9, Service: "desk", Address: "10.0.0.1:1", FailureDomain: "here-a", LastSeen: now})
			departure := fleet.Endpoint{ID: "e", State: fleet.Gone, LastSeen: now.Add(c.left)}
			if changed := st.updateEndpoint(departure); changed != (c.want == fleet.Gone) {
				t.Errorf("changed: %v", changed)
			}
			if got := st.endpoints["e"]; got.State != c.want || got.Born != 5 || got.Address != "10.0.0.1:1" {
				t.Errorf("%+v", got)
			}
			st.updateEndpoint(fleet.Endpoint{ID: "unknown", State: fleet.Gone, LastSeen: now})
			if v := st.view(now); len(v.endpoints["desk"]) != 1-int(c.want/fleet.Gone) {
				t.Errorf("the view lists %v", v.endpoints)
			}
		})
	}
}

// TestControlWithoutStateChosenAgain guards against a gateway that chooses control daemons again and again which answer searches
// and send no state, although another one, slower to answer, would send it.
func TestControlWithoutStateChosenAgain(t *testing.T) {
	a, b, good := newControl(t, 0, true), newControl(t, 0, true), newControl(t, 100*time.Millisecond, true)
	a.stateless, b.stateless = true, true
	g := newGateway(t, testTable(t, nil))
	g.view.Store(&view{})
	g.cfg.Controls = []string{a.address, b.address, good.address}
	g.wg.Go(func() { g.subscribe(g.workCtx) })
	t.Cleanup(func() {
		g.cancelWork()
		g.wg.Wait()
	})
	g.waitForState(t)
}
