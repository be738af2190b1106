package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/fleet"
	"arbutusreel/keys"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// gatewayReport returns a gateway's report, changed by change unless it is nil.
func gatewayReport(change func(*wiregen.GatewayReport)) *wiregen.GatewayReport {
	m := wire.EncodeGateway(fleet.Gateway{Name: "gateway", ForwardAddress: "10.0.0.1:1", Region: "r", FailureDomain: "d", Born: 1})
	if change != nil {
		change(m)
	}
	return m
}

// attend opens a gateway's session with a daemon, whose first report is changed by change unless it is nil.
func attend(t *testing.T, d *daemon, change func(*wiregen.GatewayReport)) grpc.BidiStreamingClient[wiregen.GatewayReport, wiregen.FleetUpdate] {
	t.Helper()
	conn, err := keys.Plain().Dial(d.cfg.PeerAddress, maxMessageBytes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	session, err := wiregen.NewFleetClient(conn).Attend(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := session.Send(gatewayReport(change)); err != nil {
		t.Fatal(err)
	}
	return session
}

func (d *daemon) leads() bool { return d.quorum.Status().IsLeader }

func evacuate(t *testing.T, d *daemon, domain string, withdrawn bool) {
	t.Helper()
	waitFor(t, "the evacuation decided", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return d.Evacuate(ctx, domain, withdrawn) == nil
	})
}

// TestEvacuationsNotSentWhenCurrent has all control daemons end after evacuations were ordered or withdrawn, and a gateway
// attend one of them before it has a leader again: the daemon sends the evacuated failure domains in an update that a gateway
// applies, although they have not changed since its first update.
func TestEvacuationsNotSentWhenCurrent(t *testing.T) {
	for _, c := range []struct {
		name      string
		withdrawn bool
		want      []string
	}{{"ordered", false, []string{"d-1", "d-2"}}, {"withdrawn", true, []string{"d-1"}}} {
		t.Run(c.name, func(t *testing.T) {
			cfgs := newConfigs(t, 3, 0)
			var daemons []*daemon
			for _, cfg := range cfgs {
				daemons = append(daemons, start(t, cfg))
			}
			evacuate(t, daemons[0], "d-1", false)
			evacuate(t, daemons[0], "d-2", false)
			if c.withdrawn {
				evacuate(t, daemons[0], "d-2", true)
			}
			// A leader restores the orders that were committed when it wrote its last entry.
			putDocument(t, daemons[0], 1, "later")
			waitFor(t, "the orders applied by all", func() bool {
				return !slices.ContainsFunc(daemons, func(d *daemon) bool {
					return d.quorum.Orders().Document().Version != 1 || !slices.Equal(d.quorum.Orders().Evacuations().Domains, c.want)
				})
			})
			waitFor(t, "a leader", func() bool { return slices.ContainsFunc(daemons, (*daemon).leads) })
			leader := slices.IndexFunc(daemons, (*daemon).leads)
			for i, d := range daemons {
				if i != leader {
					d.stop()
				}
			}
			daemons[leader].stop()
			alone := start(t, cfgs[leader])
			waitFor(t, "the orders restored", func() bool { return slices.Equal(alone.quorum.Orders().Evacuations().Domains, c.want) })
			session := attend(t, alone, nil)
			first, err := session.Recv()
			if err != nil || first.GetCurrent() {
				t.Fatalf("the first update is current: %v, %v", first.GetCurrent(), err)
			}
			if !slices.Equal(first.GetEvacuated(), c.want) {
				t.Fatalf("the restarted daemon sent %v", first.GetEvacuated())
			}
			for i, cfg := range cfgs {
				if i != leader {
					start(t, cfg)
				}
			}
			for {
				u, err := session.Recv()
				if err != nil {
					t.Fatal(err)
				}
				if !u.GetCurrent() {
					continue
				}
				if !u.GetEvacuationsTold() || !slices.Equal(u.GetEvacuated(), c.want) {
					t.Errorf("the first update of the current daemon has evacuations: %v, %v; want %v", u.GetEvacuationsTold(), u.GetEvacuated(), c.want)
				}
				return
			}
		})
	}
}
