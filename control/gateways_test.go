package control

import (
	"testing"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// TestRegionTakenForLostWithoutQuorum has two of three control daemons end, so that the third gets neither reports of the
// leader nor of the gateways that report to the others: its list of gateways is not complete, and a region that is
// missing in it is not lost.
func TestRegionTakenForLostWithoutQuorum(t *testing.T) {
	var daemons []*daemon
	for _, cfg := range newConfigs(t, 3, 0) {
		daemons = append(daemons, start(t, cfg))
	}
	report := func(d *daemon, name, region string) {
		d.updateGateway(wire.EncodeGateway(fleet.Gateway{Name: name, Region: region, CallerAddress: "10.0.0.1:1", ForwardAddress: "10.0.0.1:2", Ready: true, Born: 1}))
	}
	lists := func(d *daemon, region string) bool {
		all, _ := d.Gateways()
		for _, g := range all {
			if g.Region == region {
				return true
			}
		}
		return false
	}
	cut := daemons[0]
	waitFor(t, "gateways of both regions known", func() bool {
		report(cut, "east-1", "east")
		report(daemons[1], "north-1", "north")
		return lists(cut, "north") && lists(cut, "east") && cut.Current()
	})
	daemons[1].stop()
	daemons[2].stop()
	waitFor(t, "the region's leases ended", func() bool {
		report(cut, "east-1", "east")
		return !lists(cut, "north") && !cut.Current()
	})
	if _, coverage := cut.Gateways(); coverage.Complete || coverage.Vacant("north") {
		t.Error("the list of a daemon without a leader counts as complete")
	}
}

// TestPlannedStopTakenForLoss has the only gateway of a region stop as planned, and start again later than its lease
// ends: callers of the region are not sent out of their homes.
func TestPlannedStopTakenForLoss(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &Control{now: func() time.Time { return now }}
	c.fleet = newFleetState(c.now)
	report := func(g fleet.Gateway) { c.updateGateway(wire.EncodeGateway(g)) }
	east := fleet.Gateway{Name: "east-1", Region: "east", Ready: true, Born: 1}
	for range 10 {
		now = now.Add(time.Second)
		report(east)
		report(fleet.Gateway{Name: "north-1", Region: "north", Closing: true, Born: 1})
	}
	for range 4 {
		now = now.Add(time.Second)
		report(east)
		c.fleet.gateways.Expire(now)
	}
	all, _ := c.Gateways()
	coverage := fleet.Coverage{}.With(all, true)
	homes := fleet.Homes{Known: true, Restricted: true, Some: []string{"north", "east", "west"}}
	if got, choice := fleet.Nearest(all, coverage, "north", homes, 9); len(got) > 0 {
		t.Errorf("%v named by %v", got, choice)
	}
}

// TestRegionTakenForLostAfterInterruption has a control daemon run, lose the leader and be suspended: its list of gateways is
// complete only after it has been current for a lease since.
func TestRegionTakenForLostAfterInterruption(t *testing.T) {
	start := time.Unix(1000, 0)
	const period = 500 * time.Millisecond
	for _, c := range []struct {
		name string
		// stale and suspended are spans of time after the start.
		stale, suspended [2]time.Duration
		// incomplete holds the spans in which the list is not complete, of which the ends are excluded.
		incomplete [][2]time.Duration
	}{
		{"started", [2]time.Duration{}, [2]time.Duration{}, [][2]time.Duration{{0, 3 * time.Second}}},
		{"an election", [2]time.Duration{5 * time.Second, 5500 * time.Millisecond}, [2]time.Duration{}, [][2]time.Duration{{0, 3 * time.Second}, {5 * time.Second, 5500 * time.Millisecond}}},
		{"cut off", [2]time.Duration{5 * time.Second, 8 * time.Second}, [2]time.Duration{}, [][2]time.Duration{{0, 3 * time.Second}, {5 * time.Second, 11 * time.Second}}},
		{"suspended", [2]time.Duration{}, [2]time.Duration{5 * time.Second, 8 * time.Second}, [][2]time.Duration{{0, 3 * time.Second}, {8 * time.Second, 11 * time.Second}}},
		{"cut off at the start", [2]time.Duration{0, 4 * time.Second}, [2]time.Duration{}, [][2]time.Duration{{0, 7 * time.Second}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := func(at time.Duration, span [2]time.Duration) bool { return at >= span[0] && at < span[1] }
			f := newFleetState(time.Now)
			for at := time.Duration(0); at < 15*time.Second; at += period {
				if in(at, c.suspended) {
					continue
				}
				want := true
				for _, span := range c.incomplete {
					want = want && !in(at, span)
				}
				if got := f.complete(start.Add(at), !in(at, c.stale)); got != want {
					t.Errorf("after %v: complete %v", at, got)
				}
			}
		})
	}
}

// TestHeartbeatOfOtherIncarnation requests the age of an endpoint's last heartbeat: only heartbeats of the same incarnation count.
func TestHeartbeatOfOtherIncarnation(t *testing.T) {
	d := start(t, newConfigs(t, 1, 0)[0])
	now := time.Now()
	heard := func(id string, born int64) (bool, time.Duration) {
		a, err := d.LastHeartbeat(t.Context(), &wiregen.EndpointQuery{Endpoint: id, Born: born})
		if err != nil {
			t.Fatal(err)
		}
		return a.GetKnown(), time.Duration(a.GetSilentMillis()) * time.Millisecond
	}
	announce := func(born, sequence int64, age time.Duration) {
		d.Announce(fleet.Endpoint{ID: "e", Born: born, Sequence: sequence, Service: "s", Address: "10.0.0.1:1", LastSeen: now.Add(-age)})
	}
	announce(5, 1, time.Minute)
	if known, silence := heard("e", 5); !known || silence < time.Minute {
		t.Errorf("silent for %v, known: %v", silence, known)
	}
	announce(5, 2, time.Second)
	if _, silence := heard("e", 5); silence >= time.Minute {
		t.Errorf("silent for %v after a heartbeat", silence)
	}
	for _, c := range []struct {
		id   string
		born int64
	}{{"e", 4}, {"e", 6}, {"f", 5}} {
		if known, _ := heard(c.id, c.born); known {
			t.Errorf("heard from %s, born at %d", c.id, c.born)
		}
	}
}

// TestLostRegionForgottenInElection has a region left for good and an election afterwards: the region stays lost, its callers
// are named gateways meanwhile, and neither does the other region become lost nor does the first one stay so when it has a
// gateway again.
func TestLostRegionForgottenInElection(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleetState(func() time.Time { return now })
	homes := fleet.Homes{Known: true, Restricted: true, Some: []string{"north", "east"}}
	named := func(region string, current bool) (string, fleet.Choice) {
		all, coverage := f.list(now, current)
		got, choice := fleet.Nearest(all, coverage, region, homes, 9)
		if len(got) == 0 {
			return "", choice
		}
		return got[0].Name, choice
	}
	step := func(current bool, reports ...fleet.Gateway) {
		now = now.Add(500 * time.Millisecond)
		for _, g := range reports {
			g.LastSeen = now
			g.Sequence = now.UnixNano()
			f.gateways.Announce(g)
		}
		f.gateways.Expire(now)
		f.list(now, current)
	}
	east := fleet.Gateway{Name: "east-1", Region: "east", Ready: true, Born: 1}
	north := fleet.Gateway{Name: "north-1", Region: "north", Closing: true, Born: 1}
	for range 10 {
		step(true, east, north)
	}
	for range 10 {
		step(true, east)
	}
	if got, choice := named("north", true); got != "east-1" {
		t.Fatalf("before the election: %q by %v", got, choice)
	}
	for range 5 {
		step(false, east)
		if got, choice := named("north", false); got != "east-1" || choice != fleet.LostRegion {
			t.Errorf("in the election: %q by %v", got, choice)
		}
	}
	for range 10 {
		step(false)
	}
	if got, choice := named("east", false); choice != fleet.NoGateway {
		t.Errorf("%q by %v to callers of a region whose reports are missing without a leader", got, choice)
	}
	north.Born, north.Closing = 2, false
	step(false, east, north)
	if got, choice := named("north", false); choice != fleet.NoGateway {
		t.Errorf("%q by %v to callers of a region that has a gateway again", got, choice)
	}
}
