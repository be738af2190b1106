package entry

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"arbutusreel/distribution"
	"arbutusreel/relay"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// followed is the entry as a follower of accepted revisions, which it passes on to other entries.
type followed struct {
	*Entry
}

var _ relay.Instance = followed{}

// follow keeps the inventory up to date.
func (n *Entry) follow(ctx context.Context) {
	relay.NewFollower(n.hub, followed{n}, n.log).Run(ctx)
}

// Sources returns whom this entry follows: the region's relays, the control voters, and its other peers.
func (n followed) Sources() []string {
	var peers []string
	for _, e := range n.state.live() {
		if e.Region == n.cfg.Self.Region && !e.Leaving {
			peers = append(peers, e.PeerAddress)
		}
	}
	return distribution.Sources(n.cfg.Self.Region, n.cfg.Self.PeerAddress, peers, n.cfg.Controls, n.cfg.Peers)
}

// Dial returns a connection to a voter or a peer, which must bear its name where TLS is on.
func (n followed) Dial(address string) (*grpc.ClientConn, error) {
	name := n.peers.nameAt(address)
	if slices.Contains(n.cfg.Controls, address) {
		name = n.cfg.ControlNames[address]
	}
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(n.cfg.Keys.Client(name)))
}

// Self returns this entry with the revision that it has in force.
func (n followed) Self() distribution.Instance {
	_, revision := n.state.Inventory()
	return distribution.Instance{Name: n.cfg.Self.Name, Region: n.cfg.Self.Region, Revision: revision, LedgerFatalDomain: n.domains.fatal(), At: n.state.now()}
}

// Advert returns this entry's addresses.
func (n followed) Advert() *wiregen.EntryAdvert { return wire.EncodeEntry(n.self()) }

// Adopt takes an accepted inventory into force; a lower revision is left out.
func (n followed) Adopt(revision int64, whole []byte, source string) error {
	began := time.Now()
	m := &wiregen.Inventory{}
	if err := proto.Unmarshal(whole, m); err != nil {
		return err
	}
	inv, err := wire.DecodeInventory(m)
	if err != nil {
		return err
	}
	if n.state.adopt(inv, revision, source) {
		n.log.Info().Int64("revision", revision).Str("source", source).Dur("duration", time.Since(began)).Msg("inventoryAdopted")
	}
	return nil
}

// heardFollower refuses a follower whose certificate names another instance than its report does.
func (n *Entry) heardFollower(ctx context.Context, m *wiregen.FollowReport) error {
	sender := m.GetSender()
	if sender == nil {
		return nil
	}
	return n.cfg.Keys.CheckClaim(ctx, sender.GetName(), sender.GetRegion())
}
