package calls

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/ledger"
)

// delayedOpen is a transport that delays the request to replica b to open an epoch until b has announced its recovery
// to replica a, and the reply to that announcement until b is active.
type delayedOpen struct {
	localReplicas
	announced chan struct{}
}

func (l *delayedOpen) Handle(ctx context.Context, slot string, m ledger.Request) (ledger.Reply, error) {
	if m.Op == ledger.OpOpen && slot == "b" {
		<-l.announced
	}
	reply, err := l.localReplicas.Handle(ctx, slot, m)
	if m.Op == ledger.OpRecover && slot == "a" {
		close(l.announced)
		for !l.localReplicas["b"].Status(m.Group).Active {
			time.Sleep(time.Millisecond)
		}
	}
	return reply, err
}

// TestOpenedWhileRecovering guards against a group that accepts no claim because a replica is active under an
// incarnation that the others do not count. This comes about when an epoch is opened at the replica while it
// recovers into it.
func TestOpenedWhileRecovering(t *testing.T) {
	g := localReplicas{}
	transport := &delayedOpen{localReplicas: g, announced: make(chan struct{})}
	group := NewGroup([]string{"a", "b"}, transport)
	reconcilers := map[string]*Reconciler{}
	for _, slot := range group.Slots() {
		r := ledger.NewReplica(slot, group.Name(), slot, ledger.Limits{Retention: time.Hour, MaxCalls: 10})
		g[slot] = NewReplica(slot, r, nil, time.Now, nil)
		reconcilers[slot] = NewReconciler(g[slot], group, zerolog.Nop())
	}
	opened := make(chan struct{})
	go func() {
		defer close(opened)
		for !g["a"].Status(group.Name()).Active || !g["b"].Status(group.Name()).Active {
			reconcilers["a"].reconcile(t.Context())
		}
	}()
	for !g["a"].Status(group.Name()).Active {
		time.Sleep(time.Millisecond)
	}
	reconcilers["b"].reconcile(t.Context())
	<-opened
	reconcilers["b"].reconcile(t.Context())
	epoch := g["a"].Status(group.Name()).Epoch
	x := New("a", group, &countingSender{}, nil, time.Hour, zerolog.Nop(), time.Now)
	a := x.claim(t.Context(), epoch,
		ledger.Record{Key: ledger.Key{Key: "k"}, Attempt: "first", Lease: time.Minute}, time.Now())
	if !a.Claimed() {
		t.Errorf("the group takes no call: %+v", a.ClaimReplies())
	}
}
