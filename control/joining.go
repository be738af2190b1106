package control

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"arbutusreel/clock"
	"arbutusreel/consensus"
	"arbutusreel/wiregen"
)

const (
	// joinPeriod is how often a daemon without a leader requests membership.
	joinPeriod = 300 * time.Millisecond
	// joinTimeout limits one join request, which takes a removal and an addition of two round trips between regions
	// each.
	joinTimeout = 2 * time.Second
	// voterReplyTimeout is the time without a reply to the leader after which a voter may be replaced by a daemon
	// that joined.
	voterReplyTimeout = 6 * time.Second
	// replacementWindow is how long after its join a daemon may replace an unresponsive voter.
	replacementWindow = 20 * time.Second
)

// maintainMembership requests membership from the leader whenever this daemon has no contact with one. That is the
// case for a new daemon, after the loss of its disk, or if it was replaced during an outage.
func (c *Control) maintainMembership(ctx context.Context) {
	if len(c.cfg.Seeds) == 0 {
		return
	}
	for attempt := 0; clock.Sleep(ctx, joinPeriod); attempt++ {
		s := c.quorum.Status()
		sinceContact := c.now().Sub(s.LastLeaderContact)
		if s.IsLeader || s.Leader.Name != "" && sinceContact < 2*c.cfg.ElectionTimeout || !c.cfg.Join && sinceContact < 4*c.cfg.ElectionTimeout {
			continue
		}
		c.requestJoin(ctx, attempt)
	}
}

// requestJoin requests membership from one of the known control daemons, chosen in turn by attempt.
func (c *Control) requestJoin(ctx context.Context, attempt int) {
	var addresses []string
	for _, address := range append(c.controlAddresses(), c.cfg.Seeds...) {
		if address != c.cfg.PeerAddress {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return
	}
	address := addresses[attempt%len(addresses)]
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply, err := callPeer(ctx, c.peers, address, func(ctx context.Context, conn grpc.ClientConnInterface) (*wiregen.JoinReply, error) {
		return wiregen.NewFleetClient(conn).Join(ctx, &wiregen.JoinRequest{
			Name: c.cfg.Name, Disk: c.quorum.disk.identity, Address: c.cfg.PeerAddress, FailureDomain: c.cfg.FailureDomain,
		})
	})
	c.log.Info().Str("control", address).Bool("member", reply.GetMember()).Err(err).Msg("membership requested")
}

// Join adds a control daemon to the members. A voter that does not lead forwards the request to the leader.
func (c *Control) Join(ctx context.Context, m *wiregen.JoinRequest) (*wiregen.JoinReply, error) {
	if !c.quorum.Status().IsLeader {
		leader, err := c.leader()
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		return callPeer(ctx, c.peers, leader.Address, func(ctx context.Context, conn grpc.ClientConnInterface) (*wiregen.JoinReply, error) {
			return wiregen.NewFleetClient(conn).Join(ctx, m)
		})
	}
	id := consensus.ID{Name: m.GetName(), Disk: m.GetDisk()}
	member, known := c.quorum.Status().Members.Find(id.Name)
	if known && member.ID == id {
		return &wiregen.JoinReply{Member: true}, nil
	}
	if known {
		c.log.Warn().Str("member", id.Name).Str("disk", member.ID.Disk).Str("newDisk", id.Disk).Msg("member lost its disk")
		if err := c.quorum.Remove(ctx, member.ID); err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
	}
	if err := c.quorum.Add(ctx, id, m.GetAddress()); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if !known {
		c.recentJoins.record(c.now())
	}
	c.log.Info().Str("member", id.Name).Str("disk", id.Disk).Str("address", m.GetAddress()).Str("domain", m.GetFailureDomain()).Msg("member joined")
	return &wiregen.JoinReply{Member: true}, nil
}

// replaceUnresponsive removes, on the leader, one unresponsive voter for each daemon that recently joined under a new
// name.
func (c *Control) replaceUnresponsive(ctx context.Context) {
	for clock.Sleep(ctx, time.Second) {
		if !c.recentJoins.pending(c.now()) {
			continue
		}
		voter, ok := c.quorum.replaceableVoter()
		if !ok {
			continue
		}
		err := c.quorum.Remove(ctx, voter)
		if err == nil {
			c.recentJoins.consume()
		}
		c.log.Warn().Str("member", voter.Name).Dur("silence", voterReplyTimeout).Err(err).Msg("unresponsive voter removal")
	}
}

// replaceableVoter returns a voter that has not replied to the leader for voterReplyTimeout, unless too few voters would
// remain without it.
func replaceableVoter(members consensus.Members, replyAges map[consensus.ID]time.Duration, toleratedDisks int) (consensus.ID, bool) {
	voters := members.Voters()
	if len(voters) <= max(2*toleratedDisks+1, minVoters) {
		return consensus.ID{}, false
	}
	for _, id := range voters {
		if replyAges[id] >= voterReplyTimeout {
			return id, true
		}
	}
	return consensus.ID{}, false
}

// minVoters is the number of voters at or below which no unresponsive voter is removed.
const minVoters = 3
