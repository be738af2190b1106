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
	// joinPeriod is how often a daemon without a leader asks to become a member.
	joinPeriod = 300 * time.Millisecond
	// joinTimeout bounds one such call: a removal and an addition, each two round trips between regions.
	joinTimeout = 2 * time.Second
	// voterSilence is the silence after which a voter may be replaced by a daemon that joined.
	voterSilence = 6 * time.Second
	// replacementAge is how long after a daemon has joined a silent voter may be replaced by it.
	replacementAge = 20 * time.Second
)

// keepMember asks the leader for membership whenever this daemon hears no leader: it is new, its disk was lost, or it
// was replaced while it was away.
func (c *Control) keepMember(ctx context.Context) {
	if len(c.cfg.Seeds) == 0 {
		return
	}
	for i := 0; clock.Sleep(ctx, joinPeriod); i++ {
		s := c.quorum.Status()
		silence := c.now().Sub(s.Heard)
		if s.Leads || s.Leader.Name != "" && silence < 2*c.cfg.ElectionTimeout || !c.cfg.Join && silence < 4*c.cfg.ElectionTimeout {
			continue
		}
		c.askToJoin(ctx, i)
	}
}

// askToJoin asks one of the daemons that are known, each in turn.
func (c *Control) askToJoin(ctx context.Context, turn int) {
	var known []string
	for _, address := range append(c.controlAddresses(), c.cfg.Seeds...) {
		if address != c.cfg.PeerAddress {
			known = append(known, address)
		}
	}
	if len(known) == 0 {
		return
	}
	address := known[turn%len(known)]
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply, err := callPeer(ctx, c.peers, address, func(ctx context.Context, conn grpc.ClientConnInterface) (*wiregen.JoinReply, error) {
		return wiregen.NewFleetClient(conn).Join(ctx, &wiregen.JoinRequest{
			Name: c.cfg.Name, Disk: c.quorum.disk.identity, Address: c.cfg.PeerAddress, FailureDomain: c.cfg.FailureDomain,
		})
	})
	c.log.Info().Str("control", address).Bool("member", reply.GetMember()).Err(err).Msg("joinAsked")
}

// Join makes a control daemon a member, at the leader.
func (c *Control) Join(ctx context.Context, m *wiregen.JoinRequest) (*wiregen.JoinReply, error) {
	if !c.quorum.Status().Leads {
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
		c.log.Warn().Str("member", id.Name).Str("disk", member.ID.Disk).Str("newDisk", id.Disk).Msg("memberLostDisk")
		if err := c.quorum.Remove(ctx, member.ID); err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
	}
	if err := c.quorum.Add(ctx, id, m.GetAddress()); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if !known {
		c.joined.note(c.now())
	}
	c.log.Info().Str("member", id.Name).Str("disk", id.Disk).Str("address", m.GetAddress()).Str("domain", m.GetFailureDomain()).Msg("memberJoined")
	return &wiregen.JoinReply{Member: true}, nil
}

// replaceSilent removes, at the leader, one voter that is silent for each daemon that joined lately under a new name.
func (c *Control) replaceSilent(ctx context.Context) {
	for clock.Sleep(ctx, time.Second) {
		if !c.joined.open(c.now()) {
			continue
		}
		silent, ok := c.quorum.silentVoter(voterSilence)
		if !ok || len(c.quorum.Status().Members.Voters()) <= max(2*c.cfg.ToleratedDisks+1, leastVoters) {
			continue
		}
		err := c.quorum.Remove(ctx, silent)
		if err == nil {
			c.joined.use()
		}
		c.log.Warn().Str("member", silent.Name).Dur("silence", voterSilence).Err(err).Msg("silentVoterReplaced")
	}
}

// leastVoters is the number of voters below which none is removed.
const leastVoters = 3
