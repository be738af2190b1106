package gateway

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusreel/wiregen"
)

// narrowLink carries the connections of one gateway, which share a number of bytes a second towards it.
type narrowLink struct {
	t         *testing.T
	perSecond int

	mu sync.Mutex
	// free is the time at which the link has sent all bytes queued so far.
	free time.Time
}

// send waits until the link has carried n more bytes.
func (l *narrowLink) send(n int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(l.perSecond))
	free := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(free))
}

// to returns an address from which connections are carried to a target.
func (l *narrowLink) to(target string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			go relayBytes(far, near, func(int) {})
			go relayBytes(near, far, l.send)
		}
	}()
	return listener.Addr().String()
}

// relayBytes copies until either side is closed, and closes both. It calls delay with the number of bytes before it writes them.
func relayBytes(to, from net.Conn, delay func(int)) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		delay(n)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// largeState is an update of the given size.
func largeState(sender string, size int) *wiregen.FleetUpdate {
	return &wiregen.FleetUpdate{Current: true, Sender: sender, Evacuated: []string{strings.Repeat("x", size)}}
}

// newNarrowGateway returns a gateway without a session whose control daemons are reached over one link.
func newNarrowGateway(t *testing.T, l *narrowLink, controls ...*testControl) *testGateway {
	t.Helper()
	g := newGateway(t, testTable(t, nil))
	g.view.Store(&view{})
	g.cfg.Controls = nil
	for _, c := range controls {
		g.cfg.Controls = append(g.cfg.Controls, l.to(c.address))
	}
	g.wg.Go(func() { g.subscribe(g.workCtx) })
	t.Cleanup(func() {
		g.cancelWork()
		g.wg.Wait()
	})
	return g
}

// waitForState waits until the state of a control daemon has been applied.
func (g *testGateway) waitForState(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !g.view.Load().current; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no session with any control daemon")
		}
	}
}

// TestLargeFirstUpdateOverNarrowLink guards against a gateway that never gets a session, since it asks all control daemons for a
// first update at once that its link carries from one in a quarter of a second, but not from all before it gives up.
func TestLargeFirstUpdateOverNarrowLink(t *testing.T) {
	l := &narrowLink{t: t, perSecond: 1_250_000}
	var controls []*testControl
	for range 9 {
		c := newControl(t, 0, true)
		c.first = largeState(c.address, 308_000)
		controls = append(controls, c)
	}
	newNarrowGateway(t, l, controls...).waitForState(t)
}

// TestStateSlowerThanControlTimeout guards against a session that is given up again and again while its first state arrives.
func TestStateSlowerThanControlTimeout(t *testing.T) {
	l := &narrowLink{t: t, perSecond: 100_000}
	c := newControl(t, 0, true)
	c.first = largeState(c.address, 300_000)
	newNarrowGateway(t, l, c).waitForState(t)
}

// TestEarlierControlSendsStateAtOnce has a control daemon that knows no brief updates.
func TestEarlierControlSendsStateAtOnce(t *testing.T) {
	l := &narrowLink{t: t, perSecond: 1_250_000}
	c := newControl(t, 0, true)
	c.earlier = true
	newNarrowGateway(t, l, c).waitForState(t)
}

// TestStateOfSlowControlWaitedFor guards against a gateway that waits for the state of the control daemon that answers first, over
// a narrow link, although another one would send its state at once.
func TestStateOfSlowControlWaitedFor(t *testing.T) {
	slow, fast := newControl(t, 0, true), newControl(t, 100*time.Millisecond, true)
	slow.first, fast.first = largeState(slow.address, 308_000), largeState(fast.address, 308_000)
	g := newGateway(t, testTable(t, nil))
	g.view.Store(&view{})
	g.cfg.Controls = []string{(&narrowLink{t: t, perSecond: 50_000}).to(slow.address), fast.address}
	g.wg.Go(func() { g.subscribe(g.workCtx) })
	t.Cleanup(func() {
		g.cancelWork()
		g.wg.Wait()
	})
	g.waitForState(t)
	if got := g.view.Load().control; got != fast.address {
		t.Errorf("the gateway has taken the state of %s", got)
	}
}

// TestStateSlowerBesideSecond guards against a session that is given up while its state arrives, as that of a second control daemon takes
// half of the gateway's link.
func TestStateSlowerBesideSecond(t *testing.T) {
	l := &narrowLink{t: t, perSecond: 50_000}
	a, b := newControl(t, 0, true), newControl(t, 0, true)
	a.first, b.first = largeState(a.address, 460_000), largeState(b.address, 460_000)
	newNarrowGateway(t, l, a, b).waitForState(t)
}
