package entry

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"arbutusreel/keys"
	"arbutusreel/membership"
	"arbutusreel/wiregen"
)

// entryAt returns the known entry with the peer address, or an empty one.
func (p *peers) entryAt(address string) membership.Entry {
	for _, e := range p.state.live() {
		if e.PeerAddress == address {
			return e
		}
	}
	return membership.Entry{}
}

func (p *peers) nameAt(address string) string { return p.entryAt(address).Name }

// checkClaim refuses a peer that claims a name or a region other than those of its certificate.
func (n *Entry) checkClaim(ctx context.Context, name, region string) error {
	if err := n.cfg.Keys.CheckClaim(ctx, name, region); err != nil {
		n.log.Warn().Err(err).Msg("peer refused")
		return status.Error(codes.PermissionDenied, err.Error())
	}
	return nil
}

// checkRegion refuses a peer whose certificate names another region. Without mutual TLS it refuses none.
func (n *Entry) checkRegion(ctx context.Context) error {
	got, ok := keys.Peer(ctx)
	if !n.cfg.Keys.Mutual() || (ok && got.Region == n.cfg.Self.Region) {
		return nil
	}
	n.log.Warn().Str("peer", got.Name).Str("peerRegion", got.Region).Msg("peer refused")
	return status.Errorf(codes.PermissionDenied, "instance %q of region %q may not read the ledger of region %q", got.Name, got.Region, n.cfg.Self.Region)
}

// checkSender refuses a forwarded request unless the peer is the last instance that the request has passed.
func (n *Entry) checkSender(ctx context.Context, m *wiregen.ForwardRequest) error {
	var name, region string
	if i := len(m.GetViaInstances()) - 1; i >= 0 && i < len(m.GetViaRegions()) {
		name, region = m.GetViaInstances()[i], m.GetViaRegions()[i]
	}
	return n.checkClaim(ctx, name, region)
}
