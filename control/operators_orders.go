package control

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"arbutusreel/configuration"
	"arbutusreel/consensus"
	"arbutusreel/problem"
	"arbutusreel/wiregen"
)

// PutDocument submits a routing document to the leader. A document whose version is not higher than the one in force
// is ignored without an error. Failures are of type *problem.Problem; the document may still be accepted after one.
func (c *Control) PutDocument(ctx context.Context, d configuration.Document) error {
	return c.submitOrder(ctx, &wiregen.FleetOrder{
		Document: &wiregen.RouteDocument{Version: d.Version, Content: d.Content},
	})
}

// Evacuate orders that the endpoints of a failure domain get no new requests, or withdraws the order. Failures are of
// type *problem.Problem.
//
// An order is refused with problem.OutdatedOrder if it would undo a decision after a log index, which is that of the last entry that was
// decided before the order was sent: its sender may have had the later decision made elsewhere since.
func (c *Control) Evacuate(ctx context.Context, domain string, withdrawn bool, after int64) error {
	if err := c.quorum.Orders().CheckEvacuation(after, domain, withdrawn); err != nil {
		return outdatedOrder(err.Error())
	}
	return c.submitOrder(ctx, &wiregen.FleetOrder{Evacuation: &wiregen.EvacuationOrder{FailureDomain: domain, Withdrawn: withdrawn, KnownIndex: &after}})
}

// KnownIndex returns the index of the last log entry that this voter has applied, or of a later one that the leader has reported as
// decided.
func (c *Control) KnownIndex() int64 { return max(c.quorum.knownIndex(), c.decidedIndex.Load()) }

// recordDecided records the index of a decided log entry.
func (c *Control) recordDecided(index int64) {
	for {
		known := c.decidedIndex.Load()
		if index <= known || c.decidedIndex.CompareAndSwap(known, index) {
			return
		}
	}
}

// Newest returns the newest document accepted by the quorum, including every document accepted before the call.
// Failures are of type *problem.Problem.
func (c *Control) Newest(ctx context.Context) (configuration.Document, error) {
	if c.quorum.Status().IsLeader {
		if err := c.quorum.Confirm(ctx); err != nil {
			return configuration.Document{}, err
		}
		return c.quorum.Orders().Document(), nil
	}
	leader, err := c.leader()
	if err != nil {
		return configuration.Document{}, err
	}
	m, err := callPeer(ctx, c.peers, leader.Address, func(ctx context.Context, conn grpc.ClientConnInterface) (*wiregen.RouteDocument, error) {
		return wiregen.NewFleetClient(conn).Newest(ctx, &wiregen.NewestRequest{})
	})
	if err != nil {
		return configuration.Document{}, leaderUnreachable(leader, err)
	}
	return decodeDocument(m), nil
}

func leaderUnreachable(leader consensus.Member, err error) *problem.Problem {
	return problem.New(problem.QuorumUnavailable, http.StatusServiceUnavailable, "leader %q: %v", leader.ID.Name, err).
		WithOutcome(problem.Unknown).WithRetryAfter(leaderRetryAfter)
}

// leader returns the current leader, which must be another member.
func (c *Control) leader() (consensus.Member, error) {
	s := c.quorum.Status()
	member, ok := s.Members.Find(s.Leader.Name)
	if !ok || member.ID.Name == c.cfg.Name {
		return consensus.Member{}, c.quorum.notLeader()
	}
	return member, nil
}

// submitOrder decides an order locally if this voter leads, and otherwise forwards it to the leader.
func (c *Control) submitOrder(ctx context.Context, m *wiregen.FleetOrder) error {
	began := c.now()
	err := c.decideOrder(ctx, m)
	c.log.Info().Int64("version", m.GetDocument().GetVersion()).Str("evacuated", m.GetEvacuation().GetFailureDomain()).
		Bool("withdrawn", m.GetEvacuation().GetWithdrawn()).Dur("took", c.now().Sub(began)).
		Str("leader", c.quorum.Status().Leader.Name).Err(err).Msg("fleet order processed")
	return err
}

func (c *Control) decideOrder(ctx context.Context, m *wiregen.FleetOrder) error {
	if c.quorum.Status().IsLeader {
		_, err := c.proposeOrder(ctx, m)
		return err
	}
	leader, err := c.leader()
	if err != nil {
		return err
	}
	decision, err := callPeer(ctx, c.peers, leader.Address, func(ctx context.Context, conn grpc.ClientConnInterface) (*wiregen.FleetDecision, error) {
		return wiregen.NewFleetClient(conn).Decide(ctx, m)
	})
	switch {
	case status.Code(err) == codes.Aborted:
		return outdatedOrder(status.Convert(err).Message())
	case err != nil:
		return leaderUnreachable(leader, err)
	}
	c.recordDecided(decision.GetIndex())
	return nil
}

// outdatedOrder returns the problem for an order that would undo a later decision.
func outdatedOrder(reason string) *problem.Problem {
	return problem.New(problem.OutdatedOrder, http.StatusServiceUnavailable, "%s", reason).WithRetryAfter(leaderRetryAfter)
}

// proposeOrder appends an order to the log and returns its index. For a document that is not newer than the one in force, and a departure
// that was accepted, it only confirms leadership and returns zero.
func (c *Control) proposeOrder(ctx context.Context, m *wiregen.FleetOrder) (decided int64, err error) {
	if d := m.GetDocument(); d != nil && d.GetVersion() <= c.quorum.Orders().Document().Version {
		return 0, c.quorum.Confirm(ctx)
	}
	if d := m.GetDeparture(); d != nil && c.quorum.departed(decodeDeparture(d)) {
		return 0, c.quorum.Confirm(ctx)
	}
	command := marshal(&wiregen.ChangeCommand{Fleet: m, UnixMillis: c.now().UnixMilli()})
	_, err = c.quorum.proposeAndWait(ctx, func(now time.Time) (index, term int64, err error) {
		if err := c.quorum.checkEvacuation(m.GetEvacuation()); err != nil {
			return 0, 0, err
		}
		decided, term, err = c.quorum.node.Propose(now, command)
		return decided, term, err
	})
	if err != nil {
		return 0, err
	}
	return decided, nil
}

// Decide decides an order forwarded by another voter.
func (c *Control) Decide(ctx context.Context, m *wiregen.FleetOrder) (*wiregen.FleetDecision, error) {
	index, err := c.proposeOrder(ctx, m)
	var p *problem.Problem
	switch {
	case errors.As(err, &p) && p.Code == problem.OutdatedOrder:
		return nil, status.Error(codes.Aborted, p.Detail)
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &wiregen.FleetDecision{Accepted: true, Index: index}, nil
}

// Newest returns the newest document to another voter.
func (s fleetServer) Newest(ctx context.Context, _ *wiregen.NewestRequest) (*wiregen.RouteDocument, error) {
	c := s.Control
	if !c.quorum.Status().IsLeader {
		return nil, status.Error(codes.Unavailable, c.quorum.notLeader().Error())
	}
	d, err := c.Newest(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &wiregen.RouteDocument{Version: d.Version, Content: d.Content}, nil
}

// fleetServer implements the RPCs whose names collide with methods of Control.
type fleetServer struct {
	*Control
}
