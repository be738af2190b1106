package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/clock"
	"arbutusreel/fleet"
	"arbutusreel/keys"
	"arbutusreel/wiregen"
)

const (
	// ownRegionOriginPeers is the number of gateways of the own region that are asked for an unknown origin.
	ownRegionOriginPeers = 2
	// originPeerCheckPeriod is the interval at which the peers are compared with the gateways of the view.
	originPeerCheckPeriod = 200 * time.Millisecond
	// regionOriginPeriod is the least interval at which records are sent to another region.
	regionOriginPeriod = 100 * time.Millisecond
)

// originPeer is a gateway that is asked for unknown origins, and if it is of another region, gets this gateway's own
// records. The connection is kept open, as opening one to another region takes three round trips.
type originPeer struct {
	gateway fleet.Gateway
	conn    *grpc.ClientConn
	cancel  context.CancelFunc
}

func (p *originPeer) close() {
	p.cancel()
	p.conn.Close()
}

// originPeers holds the peers by address. It is safe for concurrent use.
type originPeers struct {
	dial func(address string) (*grpc.ClientConn, error)

	mu    sync.Mutex
	peers map[string]*originPeer
}

func newOriginPeers(source *keys.Source) *originPeers {
	return &originPeers{
		dial:  func(address string) (*grpc.ClientConn, error) { return source.Dial(address, maxUpdateBytes) },
		peers: map[string]*originPeer{},
	}
}

// clients returns clients of all peers.
func (p *originPeers) clients() []wiregen.OutstandingClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []wiregen.OutstandingClient
	for _, peer := range p.peers {
		all = append(all, wiregen.NewOutstandingClient(peer.conn))
	}
	return all
}

// regionClients returns clients of the peers in a region.
func (p *originPeers) regionClients(region string) []wiregen.OutstandingClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []wiregen.OutstandingClient
	for _, peer := range p.peers {
		if peer.gateway.Region == region {
			all = append(all, wiregen.NewOutstandingClient(peer.conn))
		}
	}
	return all
}

// update opens and closes connections so that the peers are the chosen gateways. It calls begin for each new one, with a
// context that ends with the peer or with ctx.
func (p *originPeers) update(ctx context.Context, chosen []fleet.Gateway, begin func(ctx context.Context, peer *originPeer)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		if !slices.ContainsFunc(chosen, func(g fleet.Gateway) bool { return g.LoadAddress == address && g.Born == peer.gateway.Born }) {
			peer.close()
			delete(p.peers, address)
		}
	}
	for _, g := range chosen {
		if p.peers[g.LoadAddress] != nil {
			continue
		}
		conn, err := p.dial(g.LoadAddress)
		if err != nil {
			return err
		}
		conn.Connect()
		peerCtx, cancel := context.WithCancel(ctx)
		peer := &originPeer{gateway: g, conn: conn, cancel: cancel}
		p.peers[g.LoadAddress] = peer
		begin(peerCtx, peer)
	}
	return nil
}

// chooseOriginPeers returns gateways of the own region that get records by other ways than self, and one of each other
// region.
func chooseOriginPeers(self fleet.Gateway, v *view) []fleet.Gateway {
	regions := map[string][]fleet.Gateway{}
	for _, g := range v.gateways {
		if g.Name != self.Name {
			regions[g.Region] = append(regions[g.Region], g)
		}
	}
	var chosen []fleet.Gateway
	for region, gateways := range regions {
		accepting := fleet.Accepting(gateways)
		if region == self.Region {
			chosen = append(chosen, fleet.Independent(self, accepting, ownRegionOriginPeers)...)
		} else if g, ok := fleet.Partner(self.Name, accepting); ok {
			chosen = append(chosen, g)
		}
	}
	return chosen
}

// self returns the record of this gateway as far as the choice of others needs it.
func (g *Gateway) self() fleet.Gateway {
	return fleet.Gateway{Name: g.cfg.Name, Region: g.cfg.Region, FailureDomain: g.cfg.FailureDomain}
}

// keepOriginPeers keeps connections to the peers, and sends those of other regions this gateway's records, until ctx
// ends.
func (g *Gateway) keepOriginPeers(ctx context.Context) {
	defer func() { _ = g.originPeers.update(ctx, nil, nil) }()
	period := pollPeriod
	for clock.Sleep(ctx, period) {
		chosen := chooseOriginPeers(g.self(), g.view.Load())
		if len(chosen) > 0 {
			period = originPeerCheckPeriod
		}
		err := g.originPeers.update(ctx, chosen, func(ctx context.Context, peer *originPeer) {
			if peer.gateway.Region != g.cfg.Region {
				g.wg.Go(func() { g.sendOrigins(ctx, peer) })
			}
		})
		if err != nil {
			g.log.Debug().Err(err).Msg("origin peer cannot be dialed")
		}
	}
}

// sendOrigins sends a gateway of another region this gateway's own records until ctx ends. After a failure it sends
// again what is kept of them.
func (g *Gateway) sendOrigins(ctx context.Context, peer *originPeer) {
	for ctx.Err() == nil {
		if err := g.runOriginStream(ctx, peer); err != nil && ctx.Err() == nil {
			g.log.Debug().Str("gateway", peer.gateway.Name).Err(err).Msg("origin stream failed")
		}
		clock.Sleep(ctx, pollPeriod)
	}
}

// runOriginStream sends the records, and this gateway's news of crashes, over one stream until an error.
func (g *Gateway) runOriginStream(ctx context.Context, peer *originPeer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wiregen.NewOutstandingClient(peer.conn).Tell(ctx, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	next, nextCrash := -1, -1
	for clock.Sleep(stream.Context(), regionOriginPeriod) {
		batches, following := g.origins.ownRecords(time.Now(), next)
		next = following
		var evidence *wiregen.CrashEvidence
		evidence, nextCrash = g.crashes.since(nextCrash)
		if len(batches) == 0 && evidence == nil {
			continue
		}
		timer := time.AfterFunc(loadSendTimeout, cancel)
		err := stream.Send(&wiregen.OutstandingReport{Link: wiregen.ReportLink_region, Origins: encodeOrigins(batches), Crashes: evidence})
		timer.Stop()
		if err != nil {
			return err
		}
	}
	return stream.Context().Err()
}
