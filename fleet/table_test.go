package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func endpoint(id string, born, sequence int64, state State) Endpoint {
	return Endpoint{ID: id, Born: born, Sequence: sequence, Service: "s", Address: "10.0.0.1:1", State: state, LastSeen: time.Unix(1000, 0)}
}

// TestLateHeartbeats delivers the heartbeats and departures of one id's incarnations in any order: the record is always the
// newest one received, and a late heartbeat does not restore or add an incarnation that left.
func TestLateHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewEndpoints()
		var newest Endpoint
		known := false
		for range rapid.IntRange(1, 40).Draw(t, "heartbeats") {
			e := endpoint("e", rapid.Int64Range(1, 3).Draw(t, "born"), rapid.Int64Range(1, 9).Draw(t, "sequence"), Ready)
			if rapid.Bool().Draw(t, "leaves") {
				table.Leave(time.Unix(1000, 0), "e", e.Born)
				if known = true; e.Born >= newest.Born {
					newest.State, newest.Born = Gone, e.Born
				}
			} else if table.Announce(e); !known || e.Born > newest.Born || e.Born == newest.Born && newest.State != Gone && e.Sequence > newest.Sequence {
				newest, known = e, true
			}
			got, _ := table.Get("e")
			if got.Born != newest.Born || got.State != newest.State || got.Sequence != newest.Sequence {
				t.Fatalf("record %+v, newest heartbeat %+v", got, newest)
			}
		}
	})
}

// TestReusedAddress starts another endpoint at an address: the previous one is marked as gone, and its late heartbeat
// is dropped.
func TestReusedAddress(t *testing.T) {
	table := NewEndpoints()
	table.Announce(endpoint("old", 1, 5, Ready))
	table.Announce(endpoint("new", 2, 1, Ready))
	table.Announce(endpoint("old", 1, 6, Ready))
	for id, want := range map[string]State{"old": Gone, "new": Ready} {
		if e, _ := table.Get(id); e.State != want {
			t.Errorf("%s is %v", id, e.State)
		}
	}
}

// TestAddressOfRunning guards against a running endpoint that is taken for gone as an endpoint of another service or failure
// domain has its address, and against an address that another service cannot get after the end of its endpoint.
func TestAddressOfRunning(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		change  func(*Endpoint)
		silence time.Duration
		want    State
	}{
		{"other service, running", func(e *Endpoint) { e.Service = "other" }, 3200 * time.Millisecond, Ready},
		{"other domain, running", func(e *Endpoint) { e.FailureDomain = "other" }, 3200 * time.Millisecond, Ready},
		{"other service, silent", func(e *Endpoint) { e.Service = "other" }, 4 * time.Second, Gone},
		{"same service, running", func(*Endpoint) {}, 0, Gone},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewEndpoints()
			old, next := endpoint("old", 1, 5, Ready), endpoint("new", 2, 1, Ready)
			c.change(&next)
			old.LastSeen, next.LastSeen = start, start.Add(c.silence)
			table.Announce(old)
			table.Announce(next)
			if e, _ := table.Get("old"); e.State != c.want {
				t.Errorf("the owner is %v, want %v", e.State, c.want)
			}
			if _, known := table.Get("new"); known != (c.want == Gone) {
				t.Errorf("the other endpoint is known: %v", known)
			}
		})
	}
}

// TestSince builds a copy of a table from its changes alone and compares the states.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, copied := NewEndpoints(), map[string]Endpoint{}
		var change int64
		for i := range rapid.IntRange(1, 60).Draw(t, "heartbeats") {
			id := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id"))
			e := endpoint(id, 1, int64(i), State(rapid.IntRange(0, 1).Draw(t, "state")))
			e.Address = "10.0.0.1:" + id
			table.Announce(e)
			if rapid.Bool().Draw(t, "read") {
				var changed []Endpoint
				changed, change = table.Since(change)
				for _, e := range changed {
					copied[e.ID] = e
				}
			}
		}
		changed, _ := table.Since(change)
		for _, e := range changed {
			copied[e.ID] = e
		}
		for id, e := range copied {
			if got, _ := table.Get(id); got.State != e.State {
				t.Fatalf("%s is %v, copied as %v", id, got.State, e.State)
			}
		}
	})
}

func TestGatewayLease(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewGateways(3 * time.Second)
	table.Announce(Gateway{Name: "a", Born: 1, LastSeen: now})
	table.Announce(Gateway{Name: "b", Born: 1, LastSeen: now})
	table.Announce(Gateway{Name: "a", Born: 1, LastSeen: now.Add(2 * time.Second)})
	table.Expire(now.Add(4 * time.Second))
	names := func() (names []string) {
		for _, g := range table.Live() {
			names = append(names, g.Name)
		}
		return names
	}
	if diff := cmp.Diff([]string{"a"}, names()); diff != "" {
		t.Error(diff)
	}
	table.Leave("a", 2)
	if diff := cmp.Diff([]string{"a"}, names()); diff != "" {
		t.Errorf("after another incarnation left: %s", diff)
	}
	table.Announce(Gateway{Name: "b", Born: 1, LastSeen: now.Add(5 * time.Second)})
	if diff := cmp.Diff([]string{"a", "b"}, names()); diff != "" {
		t.Error(diff)
	}
}

// TestReadyGatewayListedAsStarting delays a gateway's first report on its way over other control daemons until after the
// report that it is ready: the gateway stays ready.
func TestReadyGatewayListedAsStarting(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(born, sequence int64, ready bool, at time.Duration) Gateway {
		return Gateway{Name: "a", Born: born, Sequence: sequence, Ready: ready, LastSeen: now.Add(at)}
	}
	starting, ready := report(1, 1, false, 0), report(1, 2, true, 100*time.Millisecond)
	for _, c := range []struct {
		name    string
		reports []Gateway
		ready   bool
	}{
		{"in order", []Gateway{starting, ready}, true},
		{"the first one arrives last", []Gateway{ready, report(1, 1, false, 160*time.Millisecond)}, true},
		{"the first one arrives again", []Gateway{starting, ready, report(1, 1, false, 700*time.Millisecond)}, true},
		{"a later one", []Gateway{ready, report(1, 3, false, 200*time.Millisecond)}, false},
		{"one of the next incarnation", []Gateway{ready, report(2, 1, false, 200*time.Millisecond)}, false},
		{"one of the previous incarnation", []Gateway{report(2, 1, true, 0), report(1, 9, false, time.Second)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewGateways(3 * time.Second)
			for _, r := range c.reports {
				table.Announce(r)
			}
			if got := table.Live()[0].Ready; got != c.ready {
				t.Errorf("ready: %v", got)
			}
		})
	}
	table := NewGateways(3 * time.Second)
	table.Announce(ready)
	table.Announce(report(1, 1, false, 2900*time.Millisecond))
	if table.Expire(now.Add(3500 * time.Millisecond)); len(table.Live()) > 0 {
		t.Error("an earlier report renewed the lease")
	}
}

// TestPlannedStopTakenForLoss has gateways fall silent in each state: one that was stopping or starting is restarting for a
// second after its lease has ended, but no longer, and one that was ready is lost.
func TestPlannedStopTakenForLoss(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewGateways(3 * time.Second)
	for _, name := range []string{"closing", "lingering", "ready", "starting"} {
		g := gatewayInState(name, "here")
		g.LastSeen, g.Born = now, 1
		table.Announce(g)
	}
	for _, c := range []struct {
		after            time.Duration
		live, restarting string
	}{
		{3 * time.Second, "closing@here lingering@here ready@here starting@here", ""},
		{3500 * time.Millisecond, "", "closing@here lingering@here starting@here"},
		{4 * time.Second, "", "closing@here lingering@here starting@here"},
		{4050 * time.Millisecond, "", ""},
	} {
		at := now.Add(c.after)
		table.Expire(at)
		restarting := table.Restarting(at)
		if live := join(table.Live()); live != c.live || join(restarting) != c.restarting {
			t.Errorf("after %v: live %q, restarting %q", c.after, live, join(restarting))
		}
		for _, g := range restarting {
			if g.Ready || g.Lingering || g.Closing {
				t.Errorf("after %v: %+v", c.after, g)
			}
		}
	}
	table.Announce(Gateway{Name: "closing", Region: "here", Born: 2, Ready: true, LastSeen: now.Add(3800 * time.Millisecond)})
	if got := join(table.Restarting(now.Add(3900 * time.Millisecond))); got != "lingering@here starting@here" {
		t.Errorf("restarting after one has started: %q", got)
	}
}
