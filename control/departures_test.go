package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"arbutusreel/fleet"
)

// endpointState returns the state of an endpoint at a daemon, and false if the daemon does not know it.
func (d *daemon) endpointState(id string) (fleet.State, bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	e, ok := d.fleet.endpoints.Get(id)
	return e.State, ok
}

func (d *daemon) knows(id string, state fleet.State) bool {
	got, ok := d.endpointState(id)
	return ok && got == state
}

// startKnowing starts three daemons that all know a ready endpoint, and returns them with a follower as the last one.
func startKnowing(t *testing.T, e fleet.Endpoint) []*daemon {
	t.Helper()
	var daemons []*daemon
	for _, cfg := range withSlowElections(newConfigs(t, 3, 0)) {
		daemons = append(daemons, start(t, cfg))
	}
	waitFor(t, "a leader", func() bool {
		return slices.ContainsFunc(daemons, (*daemon).leads) && !slices.ContainsFunc(daemons, func(d *daemon) bool { return !d.Current() })
	})
	slices.SortStableFunc(daemons, func(a, b *daemon) int {
		switch {
		case a.leads():
			return -1
		case b.leads():
			return 1
		}
		return 0
	})
	daemons[1].Announce(e)
	waitFor(t, "the endpoint known by all", func() bool {
		return !slices.ContainsFunc(daemons, func(d *daemon) bool { return !d.knows(e.ID, fleet.Ready) })
	})
	return daemons
}

func leavingEndpoint() fleet.Endpoint {
	return fleet.Endpoint{ID: "e", Born: 5, Sequence: 1, Service: "s", Address: "10.0.0.1:1", FailureDomain: "d", Slots: 1, LastSeen: time.Now()}
}

// TestDepartureLostWithDaemon has the control daemon end that has just acknowledged the departure of an endpoint: the others
// know of the departure, and a delayed heartbeat does not bring the endpoint back.
func TestDepartureLostWithDaemon(t *testing.T) {
	e := leavingEndpoint()
	daemons := startKnowing(t, e)
	daemons[2].RemoveEndpoint(t.Context(), e.ID, e.Born)
	daemons[2].stop()
	for _, d := range daemons[:2] {
		waitFor(t, "gone everywhere", func() bool { return d.knows(e.ID, fleet.Gone) })
		e.Sequence++
		d.Announce(e)
		if !d.knows(e.ID, fleet.Gone) {
			t.Error("a delayed heartbeat brought the endpoint back")
		}
	}
}

// TestDepartureLostWithAllDaemons has all control daemons end right after one of them acknowledged the departure of an
// endpoint: they send it after their restart to gateways, which know the endpoint as ready.
func TestDepartureLostWithAllDaemons(t *testing.T) {
	e := leavingEndpoint()
	daemons := startKnowing(t, e)
	daemons[2].RemoveEndpoint(t.Context(), e.ID, e.Born)
	for _, i := range []int{2, 1, 0} {
		daemons[i].stop()
	}
	for i, d := range daemons {
		daemons[i] = start(t, d.cfg)
	}
	for _, d := range daemons {
		session := attend(t, d, nil)
		for received := false; !received; {
			u, err := session.Recv()
			if err != nil {
				t.Fatalf("the departure was not sent: %v", err)
			}
			for _, m := range u.GetEndpoints() {
				received = received || m.GetId() == e.ID && m.GetBorn() == e.Born && fleet.State(m.GetState()) == fleet.Gone
			}
		}
	}
}

// TestDepartureOfUnknownEndpoint has an endpoint depart at a control daemon that doesn't know it, as after a restart: a
// heartbeat that was delayed adds it at no daemon.
func TestDepartureOfUnknownEndpoint(t *testing.T) {
	e := leavingEndpoint()
	daemons := startKnowing(t, e)
	late := e
	late.ID = "late"
	daemons[2].RemoveEndpoint(t.Context(), late.ID, late.Born)
	for _, d := range daemons {
		waitFor(t, "the departure known by all", func() bool { return d.knows(late.ID, fleet.Gone) })
		d.Announce(late)
		if !d.knows(late.ID, fleet.Gone) {
			t.Error("a delayed heartbeat added an endpoint that has left")
		}
	}
}

// TestDepartureWithoutQuorum has an endpoint depart at a control daemon whose peers have ended: it is answered within the
// second that endpoints wait, with one of three voters gone the quorum still decides, and what was answered without a decision is
// decided once there is a quorum again.
func TestDepartureWithoutQuorum(t *testing.T) {
	e := leavingEndpoint()
	daemons := startKnowing(t, e)
	daemons[1].stop()
	const patience = time.Second
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	daemons[2].RemoveEndpoint(ctx, e.ID, e.Born)
	if ctx.Err() != nil || !daemons[0].quorum.departed(fleet.LoggedDeparture{Departure: fleet.Departure{ID: e.ID, Born: e.Born}}) {
		t.Errorf("not decided by two of three voters: %v", ctx.Err())
	}
	daemons[0].stop()
	waitFor(t, "no leader", func() bool { return !daemons[2].leads() && !daemons[2].Current() })
	ctx, cancel = context.WithTimeout(t.Context(), patience)
	defer cancel()
	daemons[2].Announce(fleet.Endpoint{ID: "f", Born: 5, Sequence: 1, Service: "s", Address: "10.0.0.1:2", FailureDomain: "d", Slots: 1, LastSeen: time.Now()})
	daemons[2].RemoveEndpoint(ctx, "f", 5)
	if ctx.Err() != nil || !daemons[2].knows("f", fleet.Gone) {
		t.Errorf("not answered by a daemon alone: %v", ctx.Err())
	}
	start(t, daemons[0].cfg)
	waitFor(t, "the departure decided once there is a quorum again", func() bool {
		return daemons[2].quorum.departed(fleet.LoggedDeparture{Departure: fleet.Departure{ID: "f", Born: 5}})
	})
}

// TestDepartureWithoutIncarnation has all control daemons restart and an endpoint depart before its next heartbeat, without
// naming its start: gateways, which still know it, receive the departure, also from daemons that restart once more, and a later
// incarnation of the same id is accepted.
func TestDepartureWithoutIncarnation(t *testing.T) {
	e := leavingEndpoint()
	daemons := startKnowing(t, e)
	restart := func() {
		for _, i := range []int{2, 1, 0} {
			daemons[i].stop()
		}
		for i, d := range daemons {
			daemons[i] = start(t, d.cfg)
		}
	}
	restart()
	waitFor(t, "a leader", func() bool { return slices.ContainsFunc(daemons, (*daemon).leads) })
	daemons[2].RemoveEndpoint(t.Context(), e.ID, 0)
	restart()
	for _, d := range daemons {
		session := attend(t, d, nil)
		for received := false; !received; {
			u, err := session.Recv()
			if err != nil {
				t.Fatalf("the departure was not sent: %v", err)
			}
			for _, m := range u.GetEndpoints() {
				received = received || m.GetId() == e.ID && fleet.State(m.GetState()) == fleet.Gone
			}
		}
	}
	e.Born++
	daemons[0].Announce(e)
	waitFor(t, "the next incarnation known by all", func() bool {
		return !slices.ContainsFunc(daemons, func(d *daemon) bool { return !d.knows(e.ID, fleet.Ready) })
	})
}

// TestDepartureWithoutIncarnationShared has a daemon alone record the departure of an endpoint that only the other one knows: it is
// passed on, unless the endpoint was seen later.
func TestDepartureWithoutIncarnationShared(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		seenAt time.Time
		want   fleet.State
	}{{"seen before", now.Add(-time.Second), fleet.Gone}, {"seen later", now.Add(time.Second), fleet.Ready}} {
		t.Run(c.name, func(t *testing.T) {
			clock := func() time.Time { return now }
			from := &Control{now: clock, fleet: newFleetState(clock)}
			to := newFleetState(clock)
			e := leavingEndpoint()
			e.LastSeen = c.seenAt
			to.endpoints.Announce(e)
			from.fleet.endpoints.Leave(now, e.ID, 0)
			from.fleet.localEndpoints[e.ID] = true
			to.merge(now, (&peerSendState{control: from, sentCapacities: map[string]time.Time{}}).next(now))
			if got, _ := to.endpoints.Get(e.ID); got.State != c.want || got.Born != e.Born || got.Service != e.Service {
				t.Errorf("%+v", got)
			}
		})
	}
}
