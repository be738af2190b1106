package gateway

import (
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/keys"
	"arbutusreel/wiregen"
)

// testControl is a control daemon whose first word takes a while.
type testControl struct {
	wiregen.UnimplementedFleetServer
	address string
	delay   time.Duration
	current bool
}

func (c *testControl) Attend(session grpc.BidiStreamingServer[wiregen.GatewayReport, wiregen.FleetUpdate]) error {
	time.Sleep(c.delay)
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
	server := grpc.NewServer(grpc.Creds(keys.Plain().Server()))
	wiregen.RegisterFleetServer(server, c)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return c
}

// TestSessionMovesToCurrent has a near control daemon that lost the leader, and a far one that has it and whose first
// word comes after several round trips between regions: the gateway moves to the far one.
func TestSessionMovesToCurrent(t *testing.T) {
	near, far := newControl(t, 0, false), newControl(t, 2*settleTime, true)
	g := newGateway(t, testTable(t, nil))
	g.view.Store(&view{})
	g.cfg.Controls = []string{near.address, far.address}
	g.wg.Go(func() { g.attend(g.work) })
	t.Cleanup(func() {
		g.endWork()
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
