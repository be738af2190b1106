package control

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/configuration"
	"arbutusreel/consensus"
	"arbutusreel/problem"
	"arbutusreel/wiregen"
)

const (
	// decisionTimeout limits the wait for the decision on a change or the confirmation of a read.
	decisionTimeout = 5 * time.Second
	// leaderRetryAfter is the Retry-After time of a refusal because no leader is reachable or another change is pending.
	leaderRetryAfter = 500 * time.Millisecond
)

// notLeader returns a problem that names the leader, if one is known.
func (q *quorum) notLeader() *problem.Problem {
	leader := q.Status().Leader.Name
	if leader == "" {
		return problem.New(problem.QuorumUnavailable, http.StatusServiceUnavailable, "voter %q knows no leader", q.cfg.Name).WithRetryAfter(leaderRetryAfter)
	}
	return problem.New(problem.QuorumUnavailable, http.StatusMisdirectedRequest, "voter %q is not the leader; the leader is %q", q.cfg.Name, leader)
}

// changeUnknown returns the problem for a change whose outcome is unknown.
func changeUnknown(reason string) *problem.Problem {
	return problem.New(problem.ChangeUnknown, http.StatusGatewayTimeout, "%s; send it again with the same change id", reason).WithOutcome(problem.Unknown)
}

// decisionContext returns the context of a call that waits for the event loop: until it answers or ends, or decisionTimeout is over.
func (q *quorum) decisionContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	stop := context.AfterFunc(q.ended, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// unanswered returns the problem for a read that the event loop has not answered.
func (q *quorum) unanswered() *problem.Problem {
	if q.ended.Err() != nil {
		return problem.New(problem.QuorumUnavailable, http.StatusServiceUnavailable, "voter %q has ended", q.cfg.Name).WithRetryAfter(leaderRetryAfter)
	}
	return q.notLeader()
}

// undecided returns the problem for a change that the event loop has not decided.
func (q *quorum) undecided() *problem.Problem {
	if q.ended.Err() != nil {
		return changeUnknown("the voter has ended before the change was decided")
	}
	return changeUnknown("the quorum did not decide in time")
}

// consensusProblem converts a consensus error to a problem.
func (q *quorum) consensusProblem(err error) *problem.Problem {
	var (
		exists  *consensus.MemberExistsError
		unknown *consensus.UnknownMemberError
		pending *consensus.ChangePendingError
		risk    *consensus.QuorumAtRiskError
		old     *configuration.OutdatedOrderError
	)
	switch {
	case errors.As(err, &exists):
		return problem.New(problem.MemberExists, http.StatusConflict, "%s", err.Error())
	case errors.As(err, &unknown):
		return problem.New(problem.UnknownMember, http.StatusNotFound, "%s", err.Error())
	case errors.As(err, &pending):
		return problem.New(problem.ChangePending, http.StatusConflict, "%s", err.Error()).WithRetryAfter(leaderRetryAfter)
	case errors.As(err, &risk):
		return problem.New(problem.QuorumAtRisk, http.StatusConflict, "%s", err.Error())
	case errors.As(err, &old):
		return outdatedOrder(err.Error())
	default:
		return q.notLeader()
	}
}

// checkEvacuation returns *configuration.OutdatedOrderError if an order would undo one in the log that its receiver did not know. All
// entries before its own are in the leader's log, so that no voter needs to check it again, whatever its version.
func (q *quorum) checkEvacuation(m *wiregen.EvacuationOrder) error {
	if m == nil || m.KnownIndex == nil {
		return nil
	}
	orders := q.machine.orders
	for _, e := range q.node.EntriesAfter(q.appliedIndex) {
		c := &wiregen.ChangeCommand{}
		if e.Kind == consensus.CommandEntry && proto.Unmarshal(e.Data, c) == nil {
			orders = applyOrder(e.Index, orders, c.GetFleet())
		}
	}
	return orders.CheckEvacuation(m.GetKnownIndex(), m.GetFailureDomain(), m.GetWithdrawn())
}

// Propose proposes a change to the quorum and waits for the decision.
func (q *quorum) Propose(ctx context.Context, c configuration.Change) (configuration.Answer, error) {
	revision, encoded := q.currentEncoded()
	command := encodeCommand(c, revision, encoded)
	return q.proposeAndWait(ctx, func(now time.Time) (index, term int64, err error) {
		return q.node.Propose(now, command)
	})
}

// recordedAnswer is the recorded answer to a change id; ok is false if there is none.
type recordedAnswer struct {
	answer configuration.Answer
	ok     bool
}

// RecordedAnswer returns the recorded answer to a change id, as of the last entry that this voter has applied.
func (q *quorum) RecordedAnswer(ctx context.Context, changeID string) (configuration.Answer, bool, error) {
	recorded, err := readState(ctx, q, func(m *stateMachine) recordedAnswer {
		answer, ok := m.state.Answer(changeID)
		return recordedAnswer{answer: answer, ok: ok}
	})
	return recorded.answer, recorded.ok, err
}

// historyCopy is a copy of a voter's history with the encoded inventory in force.
type historyCopy struct {
	history          *configuration.History
	encodedInventory []byte
}

// History returns the newest accepted changes and the encoded inventory in force, as of the last entry that this
// voter has applied.
func (q *quorum) History(ctx context.Context) (*configuration.History, []byte, error) {
	copied, err := readState(ctx, q, func(m *stateMachine) historyCopy {
		return historyCopy{history: configuration.RestoreHistory(m.history.Records()), encodedInventory: m.encodedInventory}
	})
	return copied.history, copied.encodedInventory, err
}

// readState runs f on the replicated state in the event loop, between two inputs, and returns its result.
func readState[T any](ctx context.Context, q *quorum, f func(*stateMachine) T) (T, error) {
	ctx, cancel := q.decisionContext(ctx)
	defer cancel()
	result := make(chan T, 1)
	var zero T
	if err := q.enqueue(ctx, func(time.Time) { result <- f(q.machine) }); err != nil {
		return zero, q.unanswered()
	}
	select {
	case value := <-result:
		return value, nil
	case <-ctx.Done():
		return zero, q.unanswered()
	}
}

// Add adds a member; adding a member that is present with the same disk succeeds.
func (q *quorum) Add(ctx context.Context, id consensus.ID, address string) error {
	_, err := q.proposeAndWait(ctx, func(now time.Time) (index, term int64, err error) {
		return q.node.Add(now, id, address)
	})
	if member, ok := q.Status().Members.Find(id.Name); err != nil && ok && member.ID == id {
		return nil
	}
	return err
}

// join admits a daemon that requested membership; admitting a member that is present with the same disk succeeds.
func (q *quorum) join(ctx context.Context, r joinRequest) error {
	_, err := q.proposeAndWait(ctx, func(now time.Time) (index, term int64, err error) {
		return q.node.Join(now, r.id, r.address, r.uptime, r.returning)
	})
	if member, ok := q.Status().Members.Find(r.id.Name); err != nil && ok && member.ID == r.id {
		return nil
	}
	return err
}

// Remove removes a member; the request is refused if the member is present with another disk.
func (q *quorum) Remove(ctx context.Context, id consensus.ID) error {
	_, err := q.proposeAndWait(ctx, func(now time.Time) (index, term int64, err error) {
		member, ok := q.node.Status(now).Members.Find(id.Name)
		if ok && id.Disk != "" && member.ID != id {
			return 0, 0, &consensus.MemberExistsError{Member: member}
		}
		return q.node.Remove(now, id.Name)
	})
	return err
}

// proposeAndWait appends an entry and waits until it is applied. A failure before the entry is appended returns the
// reason; after that the outcome of the change is unknown. Nothing is appended once ctx has ended: its caller may have
// had the opposite change decided through another voter.
func (q *quorum) proposeAndWait(ctx context.Context, propose func(now time.Time) (index, term int64, err error)) (configuration.Answer, error) {
	ctx, cancel := q.decisionContext(ctx)
	defer cancel()
	result := make(chan changeResult, 1)
	err := q.enqueue(ctx, func(now time.Time) {
		if ctx.Err() != nil {
			result <- changeResult{err: q.notLeader()}
			return
		}
		index, term, err := propose(now)
		if err != nil {
			result <- changeResult{err: q.consensusProblem(err)}
			return
		}
		q.pendingChanges[index] = pendingChange{term: term, result: result}
	})
	if err != nil {
		return configuration.Answer{}, q.unanswered()
	}
	select {
	case r := <-result:
		return r.answer, r.err
	case <-ctx.Done():
	}
	select {
	case r := <-result:
		return r.answer, r.err
	default:
		return configuration.Answer{}, q.undecided()
	}
}

// Confirm returns once this voter, as the leader, is confirmed to be current.
func (q *quorum) Confirm(ctx context.Context) error {
	ctx, cancel := q.decisionContext(ctx)
	defer cancel()
	result := make(chan error, 1)
	err := q.enqueue(ctx, func(now time.Time) {
		q.lastReadToken++
		q.pendingReads[q.lastReadToken] = result
		if err := q.node.Read(now, q.lastReadToken); err != nil {
			delete(q.pendingReads, q.lastReadToken)
			result <- q.consensusProblem(err)
		}
	})
	if err != nil {
		return q.unanswered()
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return q.unanswered()
	}
}
