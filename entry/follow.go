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

// relayInstance adapts Entry to relay.Instance: it follows accepted revisions and relays them to other entries.
type relayInstance struct {
	*Entry
}

var _ relay.Instance = relayInstance{}

// follow keeps the inventory up to date until ctx ends.
func (n *Entry) follow(ctx context.Context) {
	relay.NewFollower(n.hub, relayInstance{n}, n.log).Run(ctx)
}

// Sources returns the addresses that this entry may follow: the region's relays, the control voters, and other peers.
func (n relayInstance) Sources() []string {
	var peers []string
	for _, e := range n.state.live() {
		if e.Region == n.cfg.Self.Region && !e.Leaving {
			peers = append(peers, e.PeerAddress)
		}
	}
	return distribution.Sources(n.cfg.Self.Region, n.cfg.Self.PeerAddress, peers, n.cfg.Controls, n.cfg.Peers)
}

// Dial returns a connection to a voter or a peer. With TLS, its certificate must carry the name known for the address.
func (n relayInstance) Dial(address string) (*grpc.ClientConn, error) {
	name := n.peers.nameAt(address)
	if slices.Contains(n.cfg.Controls, address) {
		name = n.cfg.ControlNames[address]
	}
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(n.cfg.Keys.Client(name)))
}

// Self returns this entry and the revision that it has in force.
func (n relayInstance) Self() distribution.Instance {
	_, revision := n.state.Inventory()
	return distribution.Instance{Name: n.cfg.Self.Name, Region: n.cfg.Self.Region, Revision: revision, LedgerFatalDomain: n.domains.fatalDomain(), At: n.state.now()}
}

// Advert returns this entry's advert.
func (n relayInstance) Advert() *wiregen.EntryAdvert { return wire.EncodeEntry(n.selfAdvert()) }

// Adopt puts an accepted inventory in force unless its revision is not higher than the one in force. It returns an
// error if the inventory cannot be decoded.
func (n relayInstance) Adopt(revision int64, whole []byte, source string) error {
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

// checkFollower refuses a follower whose certificate names another instance than its report does.
func (n *Entry) checkFollower(ctx context.Context, m *wiregen.FollowReport) error {
	sender := m.GetSender()
	if sender == nil {
		return nil
	}
	return n.cfg.Keys.CheckClaim(ctx, sender.GetName(), sender.GetRegion())
}
