package calls

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"sync"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/endpoint"
	"arbutusreel/ledger"
	"arbutusreel/problem"
)

// retryAfterInProgress is when a caller may ask again for a call in progress.
const retryAfterInProgress = time.Second

// Sender sends a call to at most one endpoint.
type Sender interface {
	Call(ctx context.Context, r dispatch.Request) (dispatch.Reply, error)
}

// Runner runs the calls of one instance.
type Runner struct {
	mu     sync.Mutex
	ledger *ledger.Ledger
	sender Sender
	now    func() time.Time
}

// New returns a runner that records in the ledger and sends through the sender.
func New(l *ledger.Ledger, sender Sender, now func() time.Time) *Runner {
	return &Runner{ledger: l, sender: sender, now: now}
}

// Run sends the call unless its key is known, whose recorded outcome it returns; a failure is a *problem.Problem.
func (x *Runner) Run(ctx context.Context, r dispatch.Request) (dispatch.Reply, error) {
	if r.IdempotencyKey == "" {
		return dispatch.Reply{}, problem.New(problem.KeyRequired, http.StatusBadRequest, "service %q needs the header Idempotency-Key", r.Service)
	}
	k := ledger.Key{Team: r.Team, Key: r.IdempotencyKey}
	digest := digestOf(r)
	call, claimed := x.claim(k, digest)
	if !claimed {
		return known(call, digest)
	}
	reply, err := x.sender.Call(ctx, r)
	return x.settle(k, reply, err)
}

func (x *Runner) claim(k ledger.Key, digest string) (ledger.Call, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ledger.Claim(x.now(), k, digest)
}

// settle records how a call ended.
func (x *Runner) settle(k ledger.Key, reply dispatch.Reply, err error) (dispatch.Reply, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err == nil {
		x.ledger.Complete(k, ledger.Outcome{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body})
		return reply, nil
	}
	var p *problem.Problem
	var notSent *endpoint.NotSentError
	if errors.As(err, &notSent) {
		x.ledger.Withdraw(k)
		return reply, problem.New(problem.EndpointFailed, http.StatusBadGateway, "%s", notSent.Error()).WithRetryAfter(retryAfterInProgress)
	}
	if errors.As(err, &p) && p.Outcome == problem.NotRun {
		x.ledger.Withdraw(k)
		return reply, p
	}
	x.ledger.Doubt(k)
	return reply, problem.New(problem.CallUnknown, http.StatusBadGateway, "the call may have run").WithOutcome(problem.Unknown)
}

// known answers a call whose key is in the ledger.
func known(c ledger.Call, digest string) (dispatch.Reply, error) {
	if c.Digest != digest {
		return dispatch.Reply{}, problem.New(problem.KeyReused, http.StatusUnprocessableEntity, "the idempotency key belongs to another request")
	}
	switch c.Phase {
	case ledger.Completed:
		return dispatch.Reply{Status: c.Outcome.Status, ContentType: c.Outcome.ContentType, Body: c.Outcome.Body}, nil
	case ledger.Doubtful:
		return dispatch.Reply{}, problem.New(problem.CallUnknown, http.StatusConflict, "the call may have run").WithOutcome(problem.Unknown)
	default:
		return dispatch.Reply{}, problem.New(problem.CallInProgress, http.StatusConflict, "the call is in progress").WithOutcome(problem.Unknown).WithRetryAfter(retryAfterInProgress)
	}
}

// digestOf identifies what a request asks: its service, method, path and body.
func digestOf(r dispatch.Request) string {
	h := sha256.New()
	for _, part := range []string{r.Service, r.Method, r.Path, r.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}
