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
	request, marks := n.exchangeRequest(p)
	reply, err := client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	n.learn(marks, reply)
	return nil
}

// asked is the marks of a request, which its reply refers to.
type asked struct {
	local, global []membership.Mark
}

// exchangeRequest returns a request and its marks; a partner that knows the instance gets no advert, but for one that leaves.
func (n *Entry) exchangeRequest(p partner) (*wiregen.ExchangeRequest, asked) {
	marks := n.state.marks(p)
	self := n.self()
	m := &wiregen.ExchangeRequest{
		Sender:        n.cfg.Self.Name,
		Region:        n.cfg.Self.Region,
		WithoutLocal:  !p.local,
		WithoutGlobal: !p.global,
	}
	if !p.knows || self.Leaving {
		m.Entries = []*wiregen.EntryAdvert{wire.EncodeEntry(self)}
	}
	// The sequence of the advert is the salt: it differs between requests.
	salt := uint64(self.Sequence)
	if p.local {
		m.Local = wire.EncodeMarks(salt, marks.local)
	}
	if p.global {
		m.Global = wire.EncodeMarks(salt, marks.global)
	}
	return m, marks
}

// Exchange answers a peer with what it does not know.
func (n *Entry) Exchange(ctx context.Context, m *wiregen.ExchangeRequest) (*wiregen.ExchangeReply, error) {
	if err := n.checkClaim(ctx, m.GetSender(), m.GetRegion()); err != nil {
		return nil, err
	}
	for _, e := range wire.DecodeEntries(m.GetEntries()) {
		n.state.hear(e)
	}
	reply := &wiregen.ExchangeReply{}
	if self := n.self(); len(m.GetEntries()) > 0 || self.Leaving {
		reply.Entries = []*wiregen.EntryAdvert{wire.EncodeEntry(self)}
	}
	n.state.answer(m, reply)
	return reply, nil
}

// learn takes what a peer told.
func (n *Entry) learn(marks asked, reply *wiregen.ExchangeReply) {
	for _, e := range wire.DecodeEntries(reply.GetEntries()) {
		n.state.hear(e)
	}
	n.state.learn(marks, reply)
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
