package calls

import (
	"context"
	"sync"
	"time"

	"arbutusreel/ledger"
)

// replicaTimeout bounds one request to a ledger replica.
const replicaTimeout = time.Second

// Link asks the replica of a slot.
type Link interface {
	Handle(ctx context.Context, slot string, m ledger.Request) (ledger.Reply, error)
}

// Group asks the ledger replicas of a region.
type Group struct {
	name  string
	slots []string
	link  Link
}

// NewGroup returns a group of the replicas in the slots; the same slots must be given to every instance of the region.
func NewGroup(slots []string, link Link) *Group {
	return &Group{name: ledger.Group(slots), slots: slots, link: link}
}

// Name returns the name of the replica set.
func (g *Group) Name() string { return g.name }

// Slots returns the names of the replicas.
func (g *Group) Slots() []string { return g.slots }

// Len returns the number of replicas.
func (g *Group) Len() int { return len(g.slots) }

// ask sends a request to every replica and passes the replies on until take reports true, all have answered or the time is over.
//
// The request goes on to the replicas that are late.
func (g *Group) ask(ctx context.Context, m ledger.Request, take func(ledger.Reply) bool) {
	replies := make(chan ledger.Reply, len(g.slots))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicaTimeout)
	var wg sync.WaitGroup
	for _, slot := range g.slots {
		wg.Go(func() {
			if reply, err := g.link.Handle(ctx, slot, m); err == nil {
				replies <- reply
			}
		})
	}
	go func() {
		wg.Wait()
		cancel()
		close(replies)
	}()
	for reply := range replies {
		if take(reply) {
			return
		}
	}
}

// all returns the replies of all replicas that answered in time, by slot.
func (g *Group) all(ctx context.Context, m ledger.Request) map[string]ledger.Reply {
	replies := map[string]ledger.Reply{}
	g.ask(ctx, m, func(r ledger.Reply) bool {
		replies[r.Slot] = r
		return false
	})
	return replies
}

// one asks one replica.
func (g *Group) one(ctx context.Context, slot string, m ledger.Request) (ledger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	return g.link.Handle(ctx, slot, m)
}
