package control

import (
	"context"
	"errors"
	"net/http"
	"time"

	"arbutusreel/configuration"
	"arbutusreel/consensus"
	"arbutusreel/problem"
)

const (
	// decisionTimeout bounds the wait for a change to be decided, or for a read to be confirmed.
	decisionTimeout = 5 * time.Second
	// leaderRetry is when to come back after a refusal for want of a leader.
	leaderRetry = 500 * time.Millisecond
)

// notLeader returns the problem that names the leader as far as it is known.
func (q *quorum) notLeader() *problem.Problem {
	leader := q.Status().Leader.Name
	if leader == "" {
		return problem.New(problem.QuorumUnavailable, http.StatusServiceUnavailable, "voter %q knows no leader", q.cfg.Name).WithRetryAfter(leaderRetry)
	}
	return problem.New(problem.QuorumUnavailable, http.StatusMisdirectedRequest, "voter %q is not the leader; the leader is %q", q.cfg.Name, leader)
}

// changeUnknown returns the problem of a change that may or may not be accepted.
func changeUnknown(reason string) *problem.Problem {
	return problem.New(problem.ChangeUnknown, http.StatusGatewayTimeout, "%s; send it again with the same change id", reason).WithOutcome(problem.Unknown)
}

// refusal returns the problem of a consensus error.
func (q *quorum) refusal(err error) *problem.Problem {
	var (
		exists  *consensus.MemberExistsError
		unknown *consensus.UnknownMemberError
		pending *consensus.ChangePendingError
		risk    *consensus.QuorumAtRiskError
	)
	switch {
	case errors.As(err, &exists):
		return problem.New(problem.MemberExists, http.StatusConflict, "%s", err.Error())
	case errors.As(err, &unknown):
		return problem.New(problem.UnknownMember, http.StatusNotFound, "%s", err.Error())
	case errors.As(err, &pending):
		return problem.New(problem.ChangePending, http.StatusConflict, "%s", err.Error()).WithRetryAfter(leaderRetry)
	case errors.As(err, &risk):
		return problem.New(problem.QuorumAtRisk, http.StatusConflict, "%s", err.Error())
	default:
		return q.notLeader()
	}
}

// Propose decides a change through the quorum.
func (q *quorum) Propose(ctx context.Context, c configuration.Change) (configuration.Answer, error) {
	revision, whole := q.wholeInForce()
	command := encodeCommand(c, revision, whole)
	return q.decide(ctx, func(now time.Time) (index, term int64, err error) { return q.node.Propose(now, command) })
}

// givenAnswer is the answer to a change id, if one was given.
type givenAnswer struct {
	answer configuration.Answer
	ok     bool
}

// Answered returns the answer that was given to a change id as far as this voter has applied the log.
func (q *quorum) Answered(ctx context.Context, changeID string) (configuration.Answer, bool, error) {
	given, err := look(ctx, q, func(m *machine) givenAnswer {
		answer, ok := m.state.Answer(changeID)
		return givenAnswer{answer: answer, ok: ok}
	})
	return given.answer, given.ok, err
}

// keptHistory is the history of a voter with the inventory in force.
type keptHistory struct {
	history *configuration.History
	whole   []byte
}

// History returns the newest accepted changes as far as this voter has applied the log.
func (q *quorum) History(ctx context.Context) (*configuration.History, []byte, error) {
	kept, err := look(ctx, q, func(m *machine) keptHistory {
		return keptHistory{history: configuration.RestoreHistory(m.history.Records()), whole: m.whole}
	})
	return kept.history, kept.whole, err
}

// look returns what f reads of the replicated state, between two inputs of the loop.
func look[T any](ctx context.Context, q *quorum, f func(*machine) T) (T, error) {
	result := make(chan T, 1)
	var none T
	if err := q.input(ctx, func(time.Time) { result <- f(q.machine) }); err != nil {
		return none, q.notLeader()
	}
	select {
	case found := <-result:
		return found, nil
	case <-ctx.Done():
		return none, q.notLeader()
	}
}

// Add adds a member; one that is there with the same disk is a success.
func (q *quorum) Add(ctx context.Context, id consensus.ID, address string) error {
	_, err := q.decide(ctx, func(now time.Time) (index, term int64, err error) { return q.node.Add(now, id, address) })
	if member, ok := q.Status().Members.Find(id.Name); err != nil && ok && member.ID == id {
		return nil
	}
	return err
}

// Remove removes a member; one that is there with another disk is refused.
func (q *quorum) Remove(ctx context.Context, id consensus.ID) error {
	_, err := q.decide(ctx, func(now time.Time) (index, term int64, err error) {
		member, ok := q.node.Status(now).Members.Find(id.Name)
		if ok && id.Disk != "" && member.ID != id {
			return 0, 0, &consensus.MemberExistsError{Member: member}
		}
		return q.node.Remove(now, id.Name)
	})
	return err
}

// decide appends an entry and waits until it is applied. A failure before the
// entry was appended says so; after it the outcome is unknown.
func (q *quorum) decide(ctx context.Context, propose func(now time.Time) (index, term int64, err error)) (configuration.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	result := make(chan changeResult, 1)
	err := q.input(ctx, func(now time.Time) {
		index, term, err := propose(now)
		if err != nil {
			result <- changeResult{err: q.refusal(err)}
			return
		}
		q.changes[index] = change{term: term, result: result}
	})
	if err != nil {
		return configuration.Answer{}, q.notLeader()
	}
	select {
	case r := <-result:
		return r.answer, r.err
	case <-ctx.Done():
		return configuration.Answer{}, changeUnknown("the quorum did not decide in time")
	}
}

// Confirm returns once this voter, as the leader, is known to be current.
func (q *quorum) Confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	result := make(chan error, 1)
	err := q.input(ctx, func(now time.Time) {
		q.tokens++
		q.reads[q.tokens] = result
		if err := q.node.Read(now, q.tokens); err != nil {
			delete(q.reads, q.tokens)
			result <- q.refusal(err)
		}
	})
	if err != nil {
		return q.notLeader()
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return q.notLeader()
	}
}
