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

// exchangeTimeout is the timeout of one exchange with a peer.
const exchangeTimeout = time.Second

// exchangeLoop periodically requests missing state from a few peers. The exchanges run concurrently, so that a peer
// that doesn't answer delays none of the others.
func (n *Entry) exchangeLoop(ctx context.Context) {
	rng := n.newExchangeRand()
	var busy sync.Map
	var wg sync.WaitGroup
	defer wg.Wait()
	every(ctx, exchangePeriod, func() {
		self := n.selfAdvert()
		n.state.updateEntry(self)
		n.dispatcher.AddCrashFacts(n.state.exchangeCrashes(n.dispatcher.CrashFacts()))
		n.state.updateGossip(self)
		for _, p := range n.state.drawPartners(self, n.cfg.Peers, rng) {
			if _, loaded := busy.LoadOrStore(p.address, true); loaded {
				continue
			}
			wg.Go(func() {
				defer busy.Delete(p.address)
				if err := n.exchangeWith(ctx, p); err != nil && ctx.Err() == nil {
					n.log.Debug().Str("peer", p.address).Err(err).Msg("peer unreachable")
				}
			})
		}
	})
}

// newExchangeRand returns the random source that selects partners; instances with the same seed get different sources.
func (n *Entry) newExchangeRand() *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.cfg.Self.Name))
	seed := n.cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// exchangeWith runs one exchange with a partner and applies the reply.
func (n *Entry) exchangeWith(ctx context.Context, p partner) error {
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
	n.applyReply(marks, reply)
	return nil
}

// exchangeMarks holds the marks that a request carries and to which the reply refers.
type exchangeMarks struct {
	local, global []membership.Mark
}

// exchangeRequest returns a request and its marks. A partner that already knows this instance is sent no advert, unless
// the instance is leaving.
func (n *Entry) exchangeRequest(p partner) (*wiregen.ExchangeRequest, exchangeMarks) {
	marks := n.state.marks(p)
	self := n.selfAdvert()
	m := &wiregen.ExchangeRequest{
		Sender:        n.cfg.Self.Name,
		Region:        n.cfg.Self.Region,
		WithoutLocal:  !p.local,
		WithoutGlobal: !p.global,
	}
	if !p.knowsSelf || self.Leaving {
		m.Entries = []*wiregen.EntryAdvert{wire.EncodeEntry(self)}
	}
	// The advert's sequence serves as salt, since it differs from request to request.
	salt := uint64(self.Sequence)
	if p.local {
		m.Local = wire.EncodeMarks(salt, marks.local)
	}
	if p.global {
		m.Global = wire.EncodeMarks(salt, marks.global)
	}
	return m, marks
}

// Exchange replies to a peer with the state that it lacks.
func (n *Entry) Exchange(ctx context.Context, m *wiregen.ExchangeRequest) (*wiregen.ExchangeReply, error) {
	if err := n.checkClaim(ctx, m.GetSender(), m.GetRegion()); err != nil {
		return nil, err
	}
	for _, e := range wire.DecodeEntries(m.GetEntries()) {
		n.state.updateEntry(e)
	}
	reply := &wiregen.ExchangeReply{}
	if self := n.selfAdvert(); len(m.GetEntries()) > 0 || self.Leaving {
		reply.Entries = []*wiregen.EntryAdvert{wire.EncodeEntry(self)}
	}
	n.state.addMissing(m, reply)
	return reply, nil
}

// applyReply merges a peer's reply into the known state.
func (n *Entry) applyReply(marks exchangeMarks, reply *wiregen.ExchangeReply) {
	for _, e := range wire.DecodeEntries(reply.GetEntries()) {
		n.state.updateEntry(e)
	}
	n.state.applyReply(marks, reply)
}

// endpointStates encodes endpoints with the remaining time of their leases.
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
