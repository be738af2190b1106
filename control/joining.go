package control

import (
	"context"
	"errors"
	"slices"
	"sync"
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
	// joinTimeout limits one join request, which takes two round trips between regions.
	joinTimeout = 2 * time.Second
	// maxJoinRequests is the number of join requests at once, so that an unreachable daemon delays none at the others.
	maxJoinRequests = 4
	// replacementPeriod is how often the leader looks for failed members that can be replaced.
	replacementPeriod = 200 * time.Millisecond
)

// maintainMembership requests membership from the leader whenever this daemon has no contact with one. That is the
// case for a new daemon, after the loss of its disk, or if it was replaced during an outage.
func (c *Control) maintainMembership(ctx context.Context) {
	if len(c.cfg.Seeds) == 0 {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	requests := make(chan struct{}, maxJoinRequests)
	for attempt := 0; clock.Sleep(ctx, joinPeriod); attempt++ {
		s := c.quorum.Status()
		sinceContact := c.now().Sub(s.LastLeaderContact)
		if s.IsLeader || s.Leader.Name != "" && sinceContact < 2*c.cfg.ElectionTimeout || !c.cfg.Join && sinceContact < 4*c.cfg.ElectionTimeout {
			continue
		}
		select {
		case requests <- struct{}{}:
		default:
			continue
		}
		wg.Go(func() {
			defer func() { <-requests }()
			c.requestJoin(ctx, attempt, c.now().Sub(c.started))
		})
	}
}

// requestJoin requests membership from one of the known control daemons, chosen in turn by attempt.
func (c *Control) requestJoin(ctx context.Context, attempt int, uptime time.Duration) {
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
			UptimeNanos: uptime.Nanoseconds(), Returning: c.quorum.Status().Admitted,
		})
	})
	c.log.Info().Str("control", address).Bool("member", reply.GetMember()).Err(err).Msg("membership requested")
}

// joinRequest is the request of a daemon for membership.
type joinRequest struct {
	id      consensus.ID
	address string
	// uptime is the time since the start of the daemon.
	uptime time.Duration
	// returning reports that the daemon was a member before.
	returning bool
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
	r := joinRequest{
		id: consensus.ID{Name: m.GetName(), Disk: m.GetDisk()}, address: m.GetAddress(),
		uptime: max(0, time.Duration(m.GetUptimeNanos())), returning: m.GetReturning(),
	}
	member, known := c.quorum.Status().Members.Find(r.id.Name)
	if known && member.ID == r.id {
		return &wiregen.JoinReply{Member: true}, nil
	}
	if known {
		c.log.Warn().Str("member", r.id.Name).Str("disk", member.ID.Disk).Str("newDisk", r.id.Disk).Msg("member lost its disk")
	}
	if err := c.quorum.join(ctx, r); err != nil {
		c.log.Warn().Str("member", r.id.Name).Str("disk", r.id.Disk).Dur("uptime", r.uptime).Err(err).Msg("join failed")
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	c.log.Info().Str("member", r.id.Name).Str("disk", r.id.Disk).Str("address", r.address).Str("domain", m.GetFailureDomain()).
		Dur("uptime", r.uptime).Bool("returning", r.returning).Msg("member joined")
	return &wiregen.JoinReply{Member: true}, nil
}

// errNoReplacement is returned if no change of the members follows from a join.
var errNoReplacement = errors.New("no member is to be replaced")

// replaceFailed performs, on the leader, the changes of the members that follow from joins.
func (c *Control) replaceFailed(ctx context.Context) {
	var waiting []string
	for clock.Sleep(ctx, replacementPeriod) {
		if !c.quorum.Status().IsLeader {
			continue
		}
		steps, reasons := make(chan replacementStep, 1), make(chan []string, 1)
		_, err := c.quorum.proposeAndWait(ctx, func(now time.Time) (index, term int64, err error) {
			step, why, ok := c.quorum.replacementStep(now)
			if !ok {
				reasons <- why
				return 0, 0, errNoReplacement
			}
			steps <- step
			return step.propose(now, c.quorum.node)
		})
		select {
		case step := <-steps:
			c.logReplacement(step, err)
			waiting = nil
		case why := <-reasons:
			if len(why) > 0 && !slices.Equal(why, waiting) {
				s := c.quorum.Status()
				c.log.Info().Strs("reasons", why).Int("voters", len(s.Members.Voters())).Int("needed", s.VotesNeeded).Msg("replacement waits")
			}
			waiting = why
		default:
		}
	}
}

func (c *Control) logReplacement(step replacementStep, err error) {
	switch {
	case step.failed != consensus.ID{}:
		c.log.Warn().Str("member", step.failed.Name).Str("joined", step.joined.Name).Err(err).Msg("unresponsive voter removal")
	case step.promoted:
		c.log.Info().Str("joined", step.joined.Name).Err(err).Msg("promoted without a removal")
	default:
		c.log.Info().Str("joined", step.joined.Name).Strs("suspects", step.suspects()).Err(err).Msg("replacement changed")
	}
}
