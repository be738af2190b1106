package control

import (
	"context"
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

// replacementOutcome is a change of the members with the error of its proposal, or the reasons why there is none.
type replacementOutcome struct {
	step    replacementStep
	err     error
	reasons []string
}

// replaceFailed performs, on the leader, the changes of the members that follow from joins. It does not wait until a change is
// committed, as some may follow each other sooner.
func (c *Control) replaceFailed(ctx context.Context) {
	var waiting []string
	for clock.Sleep(ctx, replacementPeriod) {
		if !c.quorum.Status().IsLeader {
			continue
		}
		outcomes := make(chan replacementOutcome, 1)
		err := c.quorum.enqueue(ctx, func(now time.Time) {
			step, reasons, ok := c.quorum.replacementStep(now)
			if !ok {
				outcomes <- replacementOutcome{reasons: reasons}
				return
			}
			_, _, err := step.propose(now, c.quorum.node)
			outcomes <- replacementOutcome{step: step, err: err}
		})
		if err != nil {
			return
		}
		select {
		case o := <-outcomes:
			c.logReplacement(o, waiting)
			waiting = o.reasons
		case <-ctx.Done():
			return
		}
	}
}

// logReplacement logs a change, or the reasons why there is none unless they have been logged before.
func (c *Control) logReplacement(o replacementOutcome, logged []string) {
	step := o.step
	switch {
	case step.failed != consensus.ID{}:
		c.log.Warn().Str("member", step.failed.Name).Str("joined", step.joined.Name).Err(o.err).Msg("unresponsive voter removal")
	case step.promoted:
		c.log.Info().Str("joined", step.joined.Name).Err(o.err).Msg("promoted without a removal")
	case step.joined != consensus.ID{}:
		c.log.Info().Str("joined", step.joined.Name).Strs("suspects", step.suspects()).Err(o.err).Msg("replacement changed")
	case len(o.reasons) > 0 && !slices.Equal(o.reasons, logged):
		s := c.quorum.Status()
		c.log.Info().Strs("reasons", o.reasons).Int("voters", len(s.Members.Voters())).Int("needed", s.VotesNeeded).Msg("replacement waits")
	}
}
