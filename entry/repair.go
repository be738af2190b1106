package entry

import (
	"errors"
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"

	"arbutusreel/calls"
	"arbutusreel/ledger"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Findings that an operator may report.
const (
	findingRan    = "ran"
	findingNotRun = "notRun"
)

// listDoubtful returns the region's calls that may have run without a recorded outcome.
func (n *Entry) listDoubtful(r *http.Request) (proto.Message, error) {
	doubtful, missing, epoch := n.runner.Doubtful(r.Context())
	reply := &wiregen.RepairListReply{Region: n.cfg.Self.Region, Epoch: epoch, Silent: missing}
	for _, call := range doubtful {
		reply.Calls = append(reply.Calls, &wiregen.DoubtfulCall{
			Team:      call.Key.Team,
			Key:       call.Key.Key,
			Digest:    call.Digest,
			Service:   call.Service,
			Owner:     call.Owner,
			AgeMillis: n.state.now().Sub(call.ClaimedAt).Milliseconds(),
		})
	}
	return reply, nil
}

// settleDoubtful settles a call of the region according to an operator's finding.
func (n *Entry) settleDoubtful(r *http.Request) (proto.Message, error) {
	m, v, err := decodeFinding(r)
	if err != nil {
		return nil, err
	}
	k := ledger.Key{Team: m.GetTeam(), Key: m.GetKey()}
	agreed, err := n.runner.Settle(r.Context(), k, v)
	if err != nil {
		return nil, settleProblem(err)
	}
	n.log.Warn().Str("team", k.Team).Str("finding", m.GetFinding()).Str("operator", v.By).Bool("settled", agreed.By == v.By).Msg("callSettled")
	return &wiregen.RepairReply{
		Team:    k.Team,
		Key:     k.Key,
		Ending:  wiregen.LedgerEnding(agreed.Ending),
		EndedBy: agreed.By,
		Settled: agreed.By == v.By && agreed.Ending == v.Ending,
	}, nil
}

// decodeFinding reads an operator's finding. It returns a *problem.Problem if the finding is malformed.
func decodeFinding(r *http.Request) (*wiregen.RepairRequest, ledger.Value, error) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, ledger.Value{}, problem.New(problem.BodyTooLarge, http.StatusRequestEntityTooLarge, "the request body is too large")
	}
	m := &wiregen.RepairRequest{}
	if err := wire.DecodeJSON(b, m); err != nil {
		return nil, ledger.Value{}, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error())
	}
	v := ledger.Value{By: "operator:" + m.GetOperator()}
	switch {
	case m.GetTeam() == "" || m.GetKey() == "" || m.GetOperator() == "":
		return nil, v, problem.New(problem.MalformedRequest, http.StatusBadRequest, "fields %q, %q and %q are required", "team", "key", "operator")
	case m.GetFinding() == findingNotRun && m.GetOutcome() == nil:
		v.Ending = ledger.SettledNotRun
	case m.GetFinding() == findingRan && m.GetOutcome() == nil:
		v.Ending = ledger.SettledRan
	case m.GetFinding() == findingRan:
		v.Ending = ledger.Completed
		v.Outcome = wire.DecodeOutcome(m.GetOutcome())
		v.Outcome.Kept = true
	default:
		return nil, v, problem.New(problem.MalformedRequest, http.StatusBadRequest, "field %q must be %q or %q, and only %q allows an outcome", "finding", findingRan, findingNotRun, findingRan)
	}
	return m, v, nil
}

// settleProblem returns the problem of a failed settlement.
func settleProblem(err error) error {
	var notFound *calls.NotFoundError
	var inProgress *calls.InProgressError
	switch {
	case errors.As(err, &notFound):
		return problem.New(problem.UnknownCall, http.StatusNotFound, "%s", err.Error())
	case errors.As(err, &inProgress):
		return problem.New(problem.CallInProgress, http.StatusConflict, "%s", err.Error())
	default:
		return problem.New(problem.LedgerUnavailable, http.StatusServiceUnavailable, "%s", err.Error())
	}
}
