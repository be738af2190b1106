package calls

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/ledger"
)

// lateOpening is a region whose replica b is asked to open an epoch only after it has announced its recovery to a.
type lateOpening struct {
	region
	announced chan struct{}
}

func (l *lateOpening) Handle(ctx context.Context, slot string, m ledger.Request) (ledger.Reply, error) {
	if m.Op == ledger.OpOpen && slot == "b" {
		<-l.announced
	}
	reply, err := l.region.Handle(ctx, slot, m)
	if m.Op == ledger.OpRecover && slot == "a" {
		close(l.announced)
		for !l.region["b"].Status(m.Group).Active {
			time.Sleep(time.Millisecond)
		}
	}
	return reply, err
}

// TestOpenedWhileRecovering founds an epoch that is opened at a replica while the replica recovers into it.
func TestOpenedWhileRecovering(t *testing.T) {
	g := region{}
	link := &lateOpening{region: g, announced: make(chan struct{})}
	group := NewGroup([]string{"a", "b"}, link)
	keepers := map[string]*Keeper{}
	for _, slot := range group.Slots() {
		r := ledger.NewReplica(slot, group.Name(), slot, ledger.Limits{Retention: time.Hour, MaxCalls: 10})
		g[slot] = NewReplica(slot, r, nil, time.Now, nil)
		keepers[slot] = NewKeeper(g[slot], group, zerolog.Nop())
	}
	opened := make(chan struct{})
	go func() {
		defer close(opened)
		for !g["a"].Status(group.Name()).Active || !g["b"].Status(group.Name()).Active {
			keepers["a"].step(t.Context())
		}
	}()
	for !g["a"].Status(group.Name()).Active {
		time.Sleep(time.Millisecond)
	}
	keepers["b"].step(t.Context())
	<-opened
	keepers["b"].step(t.Context())
	epoch := g["a"].Status(group.Name()).Epoch
	x := New("a", group, &desk{}, nil, time.Hour, zerolog.Nop(), time.Now)
	a := x.claim(t.Context(), epoch, ledger.Record{Key: ledger.Key{Key: "k"}, Attempt: "first", Lease: time.Minute}, time.Now())
	if !a.Claimed() {
		t.Errorf("the group takes no call: %+v", a.Seen())
	}
}
