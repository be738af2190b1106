package calls

import (
	"net/http"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/ledger"
	"arbutusreel/problem"
)

// retryAfterInProgress is the time after which a caller may retry a call that is in progress or was not sent, or that
// found too few ledger replicas.
const retryAfterInProgress = time.Second

// resultOf returns the result that the caller gets for the ending of its call.
func resultOf(v ledger.Value) result {
	switch {
	case v.Ending == ledger.Completed && v.Outcome.Kept:
		return result{reply: dispatch.Reply{
			Status: v.Outcome.Status, ContentType: v.Outcome.ContentType, Body: v.Outcome.Body,
		}}
	case v.Ending == ledger.Completed:
		return result{err: problem.New(problem.AnswerNotKept, http.StatusConflict,
			"the call ran with status %d; its answer may not be stored here", v.Outcome.Status).
			WithOutcome(problem.Ran)}
	case v.Ending == ledger.SettledRan:
		return result{err: problem.New(problem.CallSettled, http.StatusConflict,
			"an operator found that the call ran; its answer is not known").WithOutcome(problem.Ran)}
	default:
		return result{err: problem.New(problem.CallSettled, http.StatusConflict,
			"an operator found that the call did not run; use a new key to run it")}
	}
}

func callInProgress() *problem.Problem {
	return problem.New(problem.CallInProgress, http.StatusConflict, "the call is in progress").
		WithOutcome(problem.Unknown).WithRetryAfter(retryAfterInProgress)
}

func callInDoubt() *problem.Problem {
	return problem.New(problem.CallUnknown, http.StatusConflict, "the call may have run; an operator will find out").
		WithOutcome(problem.Unknown)
}

func callMayBeLost() *problem.Problem {
	return problem.New(problem.CallUnknown, http.StatusConflict,
		"the ledger may have lost a call with this key").
		WithOutcome(problem.Unknown)
}

func epochRequired() *problem.Problem {
	return problem.New(problem.EpochRequired, http.StatusPreconditionRequired,
		"a new key needs the header Arbutusreel-Epoch with the epoch of GET /v1/entries from before its first try").
		WithOutcome(problem.Unknown)
}

func keyReused() *problem.Problem {
	return problem.New(problem.KeyReused, http.StatusUnprocessableEntity, "the idempotency key belongs to another request")
}

func ledgerFull() *problem.Problem {
	return problem.New(problem.LedgerUnavailable, http.StatusServiceUnavailable, "the ledger is full")
}

func ledgerUnavailable() *problem.Problem {
	return problem.New(problem.LedgerUnavailable, http.StatusServiceUnavailable, "too few ledger replicas answered").
		WithOutcome(problem.Unknown).WithRetryAfter(retryAfterInProgress)
}
