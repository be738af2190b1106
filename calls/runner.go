package calls

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/dispatch"
	"arbutusreel/endpoint"
	"arbutusreel/ledger"
	"arbutusreel/problem"
)

// Time limits and retries of one call.
const (
	// sendWindow is how long after the start of its claim the first byte of a call may be sent.
	sendWindow = 3 * time.Second
	// claimWindow is how long a claim is retried while too few replicas answer, and claimRetryPeriod the pause between
	// two tries.
	claimWindow      = 2 * time.Second
	claimRetryPeriod = 100 * time.Millisecond
	// leaseMargin is added to the lease to cover the reading of the clock and the recording of the ending.
	leaseMargin = 2 * time.Second
	// maxProposalRetries is how often an ending that was not agreed on is proposed again, and proposalRetryPeriod the
	// pause after each try.
	proposalRetryPeriod = time.Second
	maxProposalRetries  = 30
)

// Sender sends a call to at most one endpoint and returns its reply.
type Sender interface {
	Call(ctx context.Context, r dispatch.Request) (dispatch.Reply, error)
}

// Runner runs the calls of one instance, each at most once.
type Runner struct {
	self      string
	group     *Group
	sender    Sender
	mayStore  func(dispatch.Request) bool
	retention time.Duration
	log       zerolog.Logger
	now       func() time.Time
	active    atomic.Int64
}

// New returns a runner for the instance self. mayStore reports whether the region may store the answer to a request;
// retention is the age that a caller's token must not reach for its key to be claimed.
func New(
	self string, g *Group, sender Sender, mayStore func(dispatch.Request) bool, retention time.Duration,
	log zerolog.Logger, now func() time.Time,
) *Runner {
	return &Runner{self: self, group: g, sender: sender, mayStore: mayStore, retention: retention, log: log, now: now}
}

// Active returns the number of calls that are running or whose ending is not recorded yet.
func (x *Runner) Active() int64 { return x.active.Load() }

// result is the reply or the error that the caller of a call gets.
type result struct {
	reply dispatch.Reply
	err   error
}

// Run sends the call, or returns the recorded ending if its key is already known. Every error is a *problem.Problem.
//
// A call that was claimed continues after ctx ends, and its ending is recorded.
func (x *Runner) Run(ctx context.Context, r dispatch.Request) (dispatch.Reply, error) {
	return x.RunNotify(ctx, r, func() {})
}

// RunNotify is like Run, and calls ended once the call is over and the attempt to record its ending has finished.
func (x *Runner) RunNotify(ctx context.Context, r dispatch.Request, ended func()) (dispatch.Reply, error) {
	if err := x.validate(r); err != nil {
		ended()
		return dispatch.Reply{}, err
	}
	done := make(chan result, 1)
	x.active.Add(1)
	go func() {
		defer ended()
		defer x.active.Add(-1)
		x.run(context.WithoutCancel(ctx), r, done)
	}()
	select {
	case res := <-done:
		return res.reply, res.err
	case <-ctx.Done():
		return dispatch.Reply{}, callInProgress()
	}
}

// validate returns a problem for a call without an idempotency key, or if the instance has no ledger replicas.
func (x *Runner) validate(r dispatch.Request) error {
	if r.IdempotencyKey == "" {
		return problem.New(problem.KeyRequired, http.StatusBadRequest,
			"service %q needs the header Idempotency-Key", r.Service)
	}
	if x.group.Len() == 0 {
		return problem.New(problem.LedgerUnavailable, http.StatusServiceUnavailable,
			"instance %q has no setting %q", x.self, "ledgerReplicas")
	}
	return nil
}

// run carries a call from its claim to its recorded ending, and sends the result on done as soon as it is known.
func (x *Runner) run(ctx context.Context, r dispatch.Request, done chan<- result) {
	start := x.now()
	remaining := max(r.Deadline.Sub(start), 0)
	call := ledger.Record{
		Key:     ledger.Key{Team: r.Team, Key: r.IdempotencyKey},
		Digest:  requestDigest(r),
		Service: r.Service,
		Attempt: rand.Text(),
		Owner:   x.self,
		Lease:   sendWindow + remaining + leaseMargin,
	}
	token, ok := ledger.ParseToken(r.Epoch)
	if !ok || !token.Fresh(start, x.retention) {
		done <- x.lookUp(ctx, call, ok)
		return
	}
	a := x.claim(ctx, token.Epoch, call, start.Add(min(claimWindow, remaining)))
	x.logClaim(r, a)
	if !a.Claimed() {
		x.runPhase(ctx, a)
		done <- x.resolveLostClaim(ctx, call, a.ClaimReplies())
		return
	}
	r.Claimed, r.SendBy = true, start.Add(sendWindow)
	sendCtx, cancel := context.WithDeadline(ctx, start.Add(sendWindow+remaining))
	defer cancel()
	reply, err := x.sender.Call(sendCtx, r)
	x.recordEnding(ctx, a, r, result{reply: reply, err: err}, done)
}

// claim claims the call. While too few replicas answer, it retries under the same attempt id until end.
func (x *Runner) claim(ctx context.Context, epoch string, call ledger.Record, end time.Time) *ledger.Attempt {
	for {
		a := ledger.NewAttempt(x.group.Len(), x.group.Name(), epoch, call)
		x.runPhase(ctx, a)
		if a.Claimed() || !x.now().Before(end) {
			return a
		}
		if verdict, _ := ledger.DeriveVerdict(
			x.now(), x.group.Len(), call.Attempt, call.Digest, a.ClaimReplies(),
		); verdict != ledger.Unavailable {
			return a
		}
		time.Sleep(claimRetryPeriod)
	}
}

func (x *Runner) logClaim(r dispatch.Request, a *ledger.Attempt) {
	x.log.Info().
		Str("correlationId", r.CorrelationID).
		Str("service", r.Service).
		Str("attempt", a.Call().Attempt).
		Bool("claimed", a.Claimed()).
		Int("replies", len(a.ClaimReplies())).
		Msg("claim")
}

// runPhase sends the request of the attempt's current phase and waits until the phase is decided.
func (x *Runner) runPhase(ctx context.Context, a *ledger.Attempt) {
	p := a.Phase()
	m, ok := a.Request()
	if !ok {
		return
	}
	x.group.broadcast(ctx, m, func(r ledger.Reply) bool {
		a.Handle(p, r)
		return a.Phase() != p
	})
	if a.Phase() == p {
		a.GiveUp()
	}
}

// recordEnding records the ending of a claimed call and sends the result on done.
func (x *Runner) recordEnding(
	ctx context.Context, a *ledger.Attempt, r dispatch.Request, res result, done chan<- result,
) {
	if res.err == nil {
		a.Answered(x.completedValue(r, res.reply))
		x.runPhase(ctx, a)
		done <- res
		x.propagateEnding(ctx, a)
		return
	}
	if p, ok := notSentProblem(res.err); ok {
		a.NotSent()
		x.runPhase(ctx, a)
		done <- result{err: p}
		return
	}
	x.log.Warn().Str("correlationId", r.CorrelationID).Str("attempt", a.Call().Attempt).Err(res.err).Msg("callInDoubt")
	a.InDoubt()
	x.runPhase(ctx, a)
	done <- result{err: callInDoubt()}
}

// completedValue returns the ending of a call that was answered, without the body if the region may not store it.
func (x *Runner) completedValue(r dispatch.Request, reply dispatch.Reply) ledger.Value {
	o := ledger.Outcome{Status: reply.Status, ContentType: reply.ContentType}
	if x.mayStore(r) {
		o.Body, o.Kept = reply.Body, true
	}
	return ledger.Value{Ending: ledger.Completed, Outcome: o, By: x.self}
}

// propagateEnding reports the agreed ending to the replicas. If the ending was not agreed on, it proposes it again, up
// to maxProposalRetries times.
func (x *Runner) propagateEnding(ctx context.Context, a *ledger.Attempt) {
	call := a.Call()
	if a.Chosen() {
		x.announceEnding(ctx, call)
		return
	}
	for range maxProposalRetries {
		if _, ok, _ := x.agreeEnding(ctx, call, ledger.Value{}); ok {
			return
		}
		time.Sleep(proposalRetryPeriod)
	}
	x.log.Error().Str("attempt", call.Attempt).Str("service", call.Service).Msg("endingNotRecorded")
}

// announceEnding reports the chosen ending of the call to every replica.
func (x *Runner) announceEnding(ctx context.Context, call ledger.Record) {
	x.group.broadcast(ctx, ledger.Request{Op: ledger.OpLearn, Group: x.group.Name(), Call: call},
		func(ledger.Reply) bool { return false })
}

// agreeEnding runs a settlement of the call and returns the agreed ending, whether there is one, and the last refusal.
// It proposes an ending that a replica accepted, else that of the call, else proposed.
func (x *Runner) agreeEnding(
	ctx context.Context, call ledger.Record, proposed ledger.Value,
) (ledger.Value, bool, ledger.Refusal) {
	epoch, highest := "", call.Promised
	for _, reply := range x.group.queryAll(ctx, ledger.Request{Op: ledger.OpRead, Group: x.group.Name(), Call: call}) {
		if reply.Active {
			epoch = reply.Epoch
		}
		if highest.Less(reply.Call.Promised) {
			highest = reply.Call.Promised
		}
	}
	ballot := ledger.Ballot{Number: highest.Number + 1, Proposer: rand.Text()}
	s := ledger.NewSettlement(x.group.Len(), x.group.Name(), epoch, call, ballot)
	for range 2 {
		accepting := s.Accepting()
		m, ok := s.Request()
		if !ok {
			break
		}
		x.group.broadcast(ctx, m, func(r ledger.Reply) bool {
			s.Handle(accepting, r, proposed)
			return s.Ended() || s.Accepting() != accepting
		})
	}
	v, ok := s.Chosen()
	if ok {
		call.Value = v
		x.announceEnding(ctx, call)
	}
	return v, ok, s.Refused()
}

// lookUp returns the result of a call whose key may not be claimed, from the records that the replicas have of it.
func (x *Runner) lookUp(ctx context.Context, call ledger.Record, hasToken bool) result {
	var replies []ledger.Reply
	for _, reply := range x.group.queryAll(ctx, ledger.Request{Op: ledger.OpRead, Group: x.group.Name(), Call: call}) {
		replies = append(replies, reply)
	}
	verdict, _ := ledger.DeriveVerdict(x.now(), x.group.Len(), call.Attempt, call.Digest, replies)
	if verdict == ledger.Unavailable && !hasToken {
		return result{err: epochRequired()}
	}
	if verdict == ledger.Unavailable {
		return result{err: callMayBeLost()}
	}
	return x.resolveLostClaim(ctx, call, replies)
}

// resolveLostClaim returns the result of a call that was not claimed, from the replies of the replicas.
func (x *Runner) resolveLostClaim(ctx context.Context, call ledger.Record, replies []ledger.Reply) result {
	verdict, known := ledger.DeriveVerdict(x.now(), x.group.Len(), call.Attempt, call.Digest, replies)
	switch verdict {
	case ledger.Answered:
		return x.recordedResult(ctx, known)
	case ledger.Reused:
		return result{err: keyReused()}
	case ledger.Running:
		return result{err: callInProgress()}
	case ledger.InDoubt:
		return result{err: callInDoubt()}
	case ledger.Stale:
		return result{err: callMayBeLost()}
	case ledger.Full:
		return result{err: ledgerFull()}
	default:
		return result{err: ledgerUnavailable()}
	}
}

// recordedResult returns the result of a call that has an ending, and agrees on the ending first if it is not chosen.
func (x *Runner) recordedResult(ctx context.Context, call ledger.Record) result {
	v := call.Value
	if !call.Chosen {
		var ok bool
		if v, ok, _ = x.agreeEnding(ctx, call, ledger.Value{}); !ok {
			return result{err: callInProgress()}
		}
	}
	return resultOf(v)
}

// notSentProblem returns the problem to report for a call of which no byte was sent, and false if the call may have
// been sent.
func notSentProblem(err error) (*problem.Problem, bool) {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p, p.Outcome == problem.NotRun
	}
	var unsent *endpoint.NotSentError
	if errors.As(err, &unsent) {
		return problem.New(problem.EndpointFailed, http.StatusBadGateway, "%s", unsent.Error()).
			WithRetryAfter(retryAfterInProgress), true
	}
	return nil, false
}

// requestDigest returns the SHA-256 digest, in hexadecimal, of a request's service, method, path, content type and
// body.
func requestDigest(r dispatch.Request) string {
	h := sha256.New()
	for _, part := range []string{r.Service, r.Method, r.Path, r.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}
