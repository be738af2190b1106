package entry

import (
	"context"
	"sync"
	"time"

	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// exchangeTimeout bounds one exchange with a peer.
const exchangeTimeout = time.Second

// exchangeLoop swaps state with every known entry; one that does not answer holds up no other.
func (n *Entry) exchangeLoop(ctx context.Context) {
	var busy sync.Map
	var wg sync.WaitGroup
	defer wg.Wait()
	every(ctx, exchangePeriod, func() {
		for _, address := range n.exchangeAddresses() {
			if _, loaded := busy.LoadOrStore(address, true); loaded {
				continue
			}
			wg.Go(func() {
				defer busy.Delete(address)
				if err := n.exchangeOne(ctx, address); err != nil && ctx.Err() == nil {
					n.log.Debug().Str("peer", address).Err(err).Msg("peerUnreachable")
				}
			})
		}
	})
}

// exchangeAddresses returns the peers from the settings and those heard of, without the instance itself.
func (n *Entry) exchangeAddresses() []string {
	seen := map[string]bool{n.cfg.Self.PeerAddress: true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, e := range n.state.live() {
		add(e.PeerAddress)
	}
	for _, address := range n.cfg.Peers {
		add(address)
	}
	return addresses
}

func (n *Entry) exchangeOne(ctx context.Context, address string) error {
	client, err := n.peers.client(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := client.Exchange(ctx, n.exchangeRequest())
	if err != nil {
		return err
	}
	n.learn(reply.GetEntries(), reply.GetEndpoints(), reply.GetSummaries())
	return nil
}

func (n *Entry) exchangeRequest() *wiregen.ExchangeRequest {
	now := n.state.now()
	_, revision := n.state.Inventory()
	endpoints := n.state.Endpoints()
	return &wiregen.ExchangeRequest{
		Sender:    n.cfg.Self.Name,
		Region:    n.cfg.Self.Region,
		Entries:   wire.EncodeEntries([]membership.Entry{n.self()}),
		Endpoints: n.endpointStates(endpoints),
		Summaries: wire.EncodeSummaries(now, membership.Summarize(now, n.cfg.Self.Region, endpoints)),
		Revision:  revision,
	}
}

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

// Exchange answers a peer with the same state.
func (n *Entry) Exchange(ctx context.Context, m *wiregen.ExchangeRequest) (*wiregen.ExchangeReply, error) {
	if err := n.checkClaim(ctx, m.GetSender(), m.GetRegion()); err != nil {
		return nil, err
	}
	n.learn(m.GetEntries(), m.GetEndpoints(), m.GetSummaries())
	own := n.exchangeRequest()
	return &wiregen.ExchangeReply{
		Entries:   wire.EncodeEntries(n.state.live()),
		Endpoints: own.GetEndpoints(),
		Summaries: own.GetSummaries(),
		Revision:  own.GetRevision(),
	}, nil
}

// learn takes what a peer knows; endpoints of other regions are left out.
func (n *Entry) learn(entries []*wiregen.EntryAdvert, endpoints []*wiregen.EndpointState, summaries []*wiregen.RegionSummary) {
	now := n.state.now()
	for _, e := range wire.DecodeEntries(entries) {
		n.state.hear(e)
	}
	for _, m := range endpoints {
		e, err := wire.DecodeAnnouncement(now, m.GetAnnouncement())
		if err != nil || e.Region != n.cfg.Self.Region {
			continue
		}
		n.state.announce(e, time.Duration(m.GetLeaseMillis())*time.Millisecond)
	}
	for _, s := range wire.DecodeSummaries(now, summaries) {
		n.state.learn(s)
	}
}
