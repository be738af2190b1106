package problem

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Outcome says whether a failed request was run.
type Outcome string

// Outcomes of a failed request.
const (
	// NotRun means that no endpoint has run the request, and that none will.
	NotRun Outcome = "notRun"
	// Unknown means that an endpoint may have run the request, completely or in part.
	Unknown Outcome = "outcomeUnknown"
	// Ran means that an endpoint ran the request and that its answer cannot be returned.
	Ran Outcome = "ran"
)

// Code identifies a kind of problem.
type Code string

// Codes of the problems.
const (
	MalformedRequest   Code = "malformedRequest"
	BodyTooLarge       Code = "bodyTooLarge"
	Unauthenticated    Code = "unauthenticated"
	UnknownCredential  Code = "unknownCredential"
	Forbidden          Code = "forbidden"
	UnknownModel       Code = "unknownModel"
	UnknownService     Code = "unknownService"
	UnknownClass       Code = "unknownClass"
	UnknownLabel       Code = "unknownLabel"
	UnknownRoute       Code = "unknownRoute"
	UnknownTeam        Code = "unknownTeam"
	ResidencyRefused   Code = "residencyRefused"
	LoopRefused        Code = "loopRefused"
	PatienceExceeded   Code = "patienceExceeded"
	LimitExceeded      Code = "limitExceeded"
	OverAllotment      Code = "overAllotment"
	AllotmentUnknown   Code = "allotmentUnknown"
	NoCapacity         Code = "noCapacity"
	EndpointFailed     Code = "endpointFailed"
	VersionUnavailable Code = "versionUnavailable"
	PromptBlocked      Code = "promptBlocked"
	// RequestBlocked: endpoints crashed under the request itself.
	RequestBlocked Code = "requestBlocked"
	// Stranded: no endpoint is reached from the instance, and no other instance may serve the request.
	Stranded           Code = "stranded"
	AnswerIncomplete   Code = "answerIncomplete"
	KeyRequired        Code = "idempotencyKeyRequired"
	KeyReused          Code = "idempotencyKeyReused"
	CallInProgress     Code = "callInProgress"
	CallUnknown        Code = "callOutcomeUnknown"
	UnknownCall        Code = "unknownCall"
	CallSettled        Code = "callSettled"
	AnswerNotKept      Code = "answerNotKept"
	EpochRequired      Code = "epochRequired"
	LedgerUnavailable  Code = "ledgerUnavailable"
	Stopping           Code = "stopping"
	InstanceFull       Code = "instanceFull"
	NotReady           Code = "notReady"
	RevisionConflict   Code = "revisionConflict"
	UnknownRevision    Code = "unknownRevision"
	InvalidInventory   Code = "invalidInventory"
	QuorumUnavailable  Code = "quorumUnavailable"
	HomeRegionRequired Code = "homeRegionUnreachable"
	ReaderStopped      Code = "readerStopped"
	ChangeUnknown      Code = "changeOutcomeUnknown"
	MemberExists       Code = "memberExists"
	UnknownMember      Code = "unknownMember"
	MemberUnreachable  Code = "memberUnreachable"
	ChangePending      Code = "changePending"
	QuorumAtRisk       Code = "quorumAtRisk"
	OutdatedOrder      Code = "outdatedOrder"
	CallerGone         Code = "callerGone"
	BodyTimeout        Code = "bodyTimeout"
	HeaderTooLarge     Code = "headerTooLarge"
	MethodNotAllowed   Code = "methodNotAllowed"
	Internal           Code = "internal"
)

// Problem is a failure as reported to a caller or operator; RetryAfter is zero if a retry will not help.
type Problem struct {
	Code       Code
	Status     int
	Detail     string
	Outcome    Outcome
	RetryAfter time.Duration
}

var _ error = (*Problem)(nil)

// New returns a problem with the outcome NotRun.
func New(code Code, status int, format string, args ...any) *Problem {
	return &Problem{Code: code, Status: status, Detail: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// Error returns the code and the detail.
func (p *Problem) Error() string {
	return string(p.Code) + ": " + p.Detail
}

// WithRetryAfter returns a copy of p with the wait before a retry.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	q := *p
	q.RetryAfter = d
	return &q
}

// WithOutcome returns a copy of p with the outcome.
func (p *Problem) WithOutcome(o Outcome) *Problem {
	q := *p
	q.Outcome = o
	return &q
}

// From returns the Problem in the chain of err; any other error becomes an internal problem with an unknown outcome
// and the HTTP status of err.
func From(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return &Problem{Code: Internal, Status: merry.HTTPCode(err), Detail: "internal failure", Outcome: Unknown}
}
