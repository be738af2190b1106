package calls

import (
	"context"
	"sync"
	"time"

	"arbutusreel/ledger"
)

// replicaTimeout is the time limit of one request to a ledger replica.
const replicaTimeout = time.Second

// Transport sends a request to the replica in a slot and returns its reply.
type Transport interface {
	Handle(ctx context.Context, slot string, m ledger.Request) (ledger.Reply, error)
}

// Group is the client of a region's ledger replicas.
type Group struct {
	name      string
	slots     []string
	transport Transport
}

// NewGroup returns a group of the replicas in the slots. Every instance of the region must use the same slots.
func NewGroup(slots []string, transport Transport) *Group {
	return &Group{name: ledger.Group(slots), slots: slots, transport: transport}
}

// Name returns the name of the replica set.
func (g *Group) Name() string { return g.name }

// Slots returns the slots of the replicas.
func (g *Group) Slots() []string { return g.slots }

// Len returns the number of replicas.
func (g *Group) Len() int { return len(g.slots) }

// broadcast sends a request to every replica and passes the replies to handle until handle returns true, all replicas
// have answered or replicaTimeout has passed.
//
// The requests to the remaining replicas are not cancelled when broadcast returns.
func (g *Group) broadcast(ctx context.Context, m ledger.Request, handle func(ledger.Reply) bool) {
	replies := make(chan ledger.Reply, len(g.slots))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicaTimeout)
	var wg sync.WaitGroup
	for _, slot := range g.slots {
		wg.Go(func() {
			if reply, err := g.transport.Handle(ctx, slot, m); err == nil {
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
		if handle(reply) {
			return
		}
	}
}

// queryAll sends a request to every replica and returns, by slot, the replies that arrived in time.
func (g *Group) queryAll(ctx context.Context, m ledger.Request) map[string]ledger.Reply {
	replies := map[string]ledger.Reply{}
	g.broadcast(ctx, m, func(r ledger.Reply) bool {
		replies[r.Slot] = r
		return false
	})
	return replies
}

// queryOne sends a request to one replica and returns its reply.
func (g *Group) queryOne(ctx context.Context, slot string, m ledger.Request) (ledger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	return g.transport.Handle(ctx, slot, m)
}
