package control

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/configuration"
	"arbutusreel/fleet"
	"arbutusreel/keys"
	"arbutusreel/problem"
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
		return d.Evacuate(ctx, domain, withdrawn, d.KnownIndex()) == nil
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

// holdCalls replaces a daemon's connection to another one by one whose calls are held up until the returned channel is closed; held
// receives as the first call begins.
func (d *daemon) holdCalls(t *testing.T, address string) (held <-chan struct{}, release chan<- struct{}) {
	t.Helper()
	began, released := make(chan struct{}, 1), make(chan struct{})
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(keys.Plain().Client("")),
		grpc.WithUnaryInterceptor(func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
			select {
			case began <- struct{}{}:
			default:
			}
			<-released
			return invoke(ctx, method, req, reply, cc, opts...)
		}))
	if err != nil {
		t.Fatal(err)
	}
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	if before := d.peers.connections[address]; before != nil {
		t.Cleanup(func() { _ = before.Close() })
	}
	d.peers.connections[address] = &peerConnection{ClientConn: conn}
	return began, released
}

// TestLateOrderUndoesAcknowledged has a control daemon be held up after it has read an order, and the opposite order acknowledged by
// another one meanwhile: the late order is refused, and decided if it is sent again.
func TestLateOrderUndoesAcknowledged(t *testing.T) {
	for _, c := range []struct {
		name string
		// withdrawn is the late order; before it and while it is held up, others are acknowledged.
		withdrawn         bool
		before, meanwhile []bool
	}{
		{"withdrawn and ordered again", true, []bool{false}, []bool{true, false}},
		{"ordered and withdrawn again", false, nil, []bool{false, true}},
		{"ordered while in force", true, []bool{false}, []bool{false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			daemons := startKnowing(t, leavingEndpoint())
			leader, other, late := daemons[0], daemons[1], daemons[2]
			for _, withdrawn := range c.before {
				evacuate(t, other, "d", withdrawn)
			}
			waitFor(t, "the orders applied", func() bool {
				return slices.Equal(late.quorum.Orders().Evacuations().Domains, leader.quorum.Orders().Evacuations().Domains)
			})
			held, release := late.holdCalls(t, leader.cfg.PeerAddress)
			answered := make(chan error, 1)
			go func() { answered <- late.Evacuate(t.Context(), "d", c.withdrawn, late.KnownIndex()) }()
			select {
			case <-held:
			case err := <-answered:
				t.Fatalf("the order was not held up: %v", err)
			}
			for _, withdrawn := range c.meanwhile {
				evacuate(t, other, "d", withdrawn)
			}
			close(release)
			err := <-answered
			if got := slices.Contains(leader.quorum.Orders().Evacuations().Domains, "d"); got != c.withdrawn {
				t.Errorf("the late order was decided: evacuated %v, answered %v", got, err)
			}
			if p := problem.From(err); p.Code != problem.OutdatedOrder || p.Outcome != problem.NotRun {
				t.Errorf("the late order was answered %v, %q", err, p.Outcome)
			}
			evacuate(t, late, "d", c.withdrawn)
			if got := slices.Contains(leader.quorum.Orders().Evacuations().Domains, "d"); got == c.withdrawn {
				t.Errorf("the order that was sent again was not decided: evacuated %v", got)
			}
		})
	}
}

// TestLateOrderUndoesUncommitted has opposite orders reach the leader before the first one is committed: the second one, which was
// read before the first one was appended, is refused.
func TestLateOrderUndoesUncommitted(t *testing.T) {
	q, _ := startSingleVoter(t, 1<<30)
	q.waitForLease(t)
	checked := make(chan error, 1)
	err := q.enqueue(t.Context(), func(now time.Time) {
		known := q.knownIndex()
		first := &wiregen.FleetOrder{Evacuation: &wiregen.EvacuationOrder{FailureDomain: "d"}}
		if _, _, err := q.node.Propose(now, marshal(&wiregen.ChangeCommand{Fleet: first})); err != nil {
			t.Error(err)
		}
		checked <- q.checkEvacuation(&wiregen.EvacuationOrder{FailureDomain: "d", Withdrawn: true, KnownIndex: &known})
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := <-checked; !errors.As(err, new(*configuration.OutdatedOrderError)) {
		t.Errorf("the second order was answered %v", err)
	}
}

// TestOrderOfEarlierVersion has an earlier version forward an order, which lacks the index: it is decided.
func TestOrderOfEarlierVersion(t *testing.T) {
	daemons := startKnowing(t, leavingEndpoint())
	for _, withdrawn := range []bool{false, true, false} {
		order := &wiregen.FleetOrder{Evacuation: &wiregen.EvacuationOrder{FailureDomain: "d", Withdrawn: withdrawn}}
		var leader *daemon
		waitFor(t, "the order decided", func() bool {
			i := slices.IndexFunc(daemons, (*daemon).leads)
			if i < 0 {
				return false
			}
			leader = daemons[i]
			_, err := leader.Decide(t.Context(), order)
			if p := problem.From(err); err != nil && p.Outcome == problem.NotRun && p.Code == problem.OutdatedOrder {
				t.Fatal(err)
			}
			return err == nil
		})
		if got := slices.Contains(leader.quorum.Orders().Evacuations().Domains, "d"); got == withdrawn {
			t.Errorf("evacuated %v after an order with withdrawn %v", got, withdrawn)
		}
	}
}
