package entry

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// exchangeTimeout bounds one exchange with a peer.
const exchangeTimeout = time.Second

// exchangeLoop asks a few peers for what the instance does not know; one that does not answer holds up no other.
func (n *Entry) exchangeLoop(ctx context.Context) {
	rng := n.exchangeSource()
	var busy sync.Map
	var wg sync.WaitGroup
	defer wg.Wait()
	every(ctx, exchangePeriod, func() {
		self := n.self()
		n.state.hear(self)
		n.state.tell(self)
		for _, p := range n.state.drawPartners(self, n.cfg.Peers, rng) {
			if _, loaded := busy.LoadOrStore(p.address, true); loaded {
				continue
			}
			wg.Go(func() {
				defer busy.Delete(p.address)
				if err := n.exchangeOne(ctx, p); err != nil && ctx.Err() == nil {
					n.log.Debug().Str("peer", p.address).Err(err).Msg("peerUnreachable")
				}
			})
		}
	})
}

// exchangeSource returns the random source of the exchange, which differs between instances with one seed.
func (n *Entry) exchangeSource() *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.cfg.Self.Name))
	seed := n.cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func (n *Entry) exchangeOne(ctx context.Context, p partner) error {
	client, err := n.peers.client(p.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := client.Exchange(ctx, n.exchangeRequest(p))
	if err != nil {
		return err
	}
	n.learn(reply)
	return nil
}

func (n *Entry) exchangeRequest(p partner) *wiregen.ExchangeRequest {
	local, global := n.state.marks(p)
	return &wiregen.ExchangeRequest{
		Sender:  n.cfg.Self.Name,
		Region:  n.cfg.Self.Region,
		Entries: []*wiregen.EntryAdvert{wire.EncodeEntry(n.self())},
		Local:   wire.EncodeMarks(local),
		Global:  wire.EncodeMarks(global),

		WithoutLocal:  !p.local,
		WithoutGlobal: !p.global,
	}
}

// Exchange answers a peer with what it does not know; what entries of the region tell is for the region alone.
func (n *Entry) Exchange(ctx context.Context, m *wiregen.ExchangeRequest) (*wiregen.ExchangeReply, error) {
	if err := n.checkClaim(ctx, m.GetSender(), m.GetRegion()); err != nil {
		return nil, err
	}
	for _, e := range wire.DecodeEntries(m.GetEntries()) {
		n.state.hear(e)
	}
	local, global := n.state.missing(m)
	now := n.state.now()
	reply := &wiregen.ExchangeReply{
		Entries: []*wiregen.EntryAdvert{wire.EncodeEntry(n.self())},
		Global:  wire.EncodeDeltas(now, global),
	}
	if m.GetRegion() == n.cfg.Self.Region {
		reply.Local = wire.EncodeDeltas(now, local)
	}
	return reply, nil
}

// learn takes what a peer told.
func (n *Entry) learn(reply *wiregen.ExchangeReply) {
	for _, e := range wire.DecodeEntries(reply.GetEntries()) {
		n.state.hear(e)
	}
	n.state.learn(reply)
}

// endpointStates returns the messages of endpoints with what is left of their leases.
func (n *Entry) endpointStates(endpoints []membership.Endpoint) []*wiregen.EndpointState {
	states := make([]*wiregen.EndpointState, 0, len(endpoints))
	for _, e := range endpoints {
		states = append(states, &wiregen.EndpointState{
			Announcement: wire.EncodeAnnouncement(n.state.now(), e),
			LeaseMillis:  n.state.lease(e.Name).Milliseconds(),
		})
	}
	return states
}
