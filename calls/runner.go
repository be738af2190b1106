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

// Times of one call.
const (
	// sendWindow is how long after its claim the first byte of a call may be sent.
	sendWindow = 3 * time.Second
	// claimWindow and claimPeriod bound how long a claim is tried while too few replicas answer.
	claimWindow = 2 * time.Second
	claimPeriod = 100 * time.Millisecond
	// leaseMargin covers the reading of the clock, and the recording of the ending.
	leaseMargin = 2 * time.Second
	// finishPeriod and finishTries bound how long an ending that was not agreed is proposed again.
	finishPeriod = time.Second
	finishTries  = 30
)

// Sender sends a call to at most one endpoint.
type Sender interface {
	Call(ctx context.Context, r dispatch.Request) (dispatch.Reply, error)
}

// Runner runs the calls of one instance, each at most once.
type Runner struct {
	self      string
	group     *Group
	sender    Sender
	keeps     func(dispatch.Request) bool
	retention time.Duration
	log       zerolog.Logger
	now       func() time.Time
	active    atomic.Int64
}

// New returns a runner of the instance self; keeps reports whether the region may store the answer of a request.
func New(self string, g *Group, sender Sender, keeps func(dispatch.Request) bool, retention time.Duration, log zerolog.Logger, now func() time.Time) *Runner {
	return &Runner{self: self, group: g, sender: sender, keeps: keeps, retention: retention, log: log, now: now}
}

// Active returns the number of calls whose ending is not recorded yet.
func (x *Runner) Active() int64 { return x.active.Load() }

// result is how a call ended for its caller.
type result struct {
	reply dispatch.Reply
	err   error
}

// Run sends the call unless its key is known, whose recorded ending it returns; a failure is a *problem.Problem.
//
// A call that was claimed runs on when ctx ends, and its ending is recorded.
func (x *Runner) Run(ctx context.Context, r dispatch.Request) (dispatch.Reply, error) {
	return x.RunThen(ctx, r, func() {})
}

// RunThen is Run, and calls ended once the call runs no more and its ending is recorded.
func (x *Runner) RunThen(ctx context.Context, r dispatch.Request, ended func()) (dispatch.Reply, error) {
	if err := x.check(r); err != nil {
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
	case end := <-done:
		return end.reply, end.err
	case <-ctx.Done():
		return dispatch.Reply{}, inProgress()
	}
}

// check refuses a call that the ledger cannot hold.
func (x *Runner) check(r dispatch.Request) error {
	if r.IdempotencyKey == "" {
		return problem.New(problem.KeyRequired, http.StatusBadRequest, "service %q needs the header Idempotency-Key", r.Service)
	}
	if x.group.Len() == 0 {
		return problem.New(problem.LedgerUnavailable, http.StatusServiceUnavailable, "instance %q has no setting %q", x.self, "ledgerReplicas")
	}
	return nil
}

// run takes a call from its claim to its recorded ending; the result is told as soon as it is known.
func (x *Runner) run(ctx context.Context, r dispatch.Request, done chan<- result) {
	began := x.now()
	patience := max(r.Deadline.Sub(began), 0)
	call := ledger.Record{
		Key:     ledger.Key{Team: r.Team, Key: r.IdempotencyKey},
		Digest:  digestOf(r),
		Service: r.Service,
		Attempt: rand.Text(),
		Owner:   x.self,
		Lease:   sendWindow + patience + leaseMargin,
	}
	token, ok := ledger.ParseToken(r.Epoch)
	if !ok || !token.Fresh(began, x.retention) {
		done <- x.look(ctx, call, ok)
		return
	}
	a := x.claim(ctx, token.Epoch, call, began.Add(min(claimWindow, patience)))
	x.logClaim(r, a)
	if !a.Claimed() {
		x.phase(ctx, a)
		done <- x.judge(ctx, call, a.Seen())
		return
	}
	r.Claimed, r.SendBy = true, began.Add(sendWindow)
	sending, cancel := context.WithDeadline(ctx, began.Add(sendWindow+patience))
	defer cancel()
	reply, err := x.sender.Call(sending, r)
	x.end(ctx, a, r, result{reply: reply, err: err}, done)
}

// claim claims the call; while too few replicas answer, the same attempt tries again until the time for it is over.
func (x *Runner) claim(ctx context.Context, epoch string, call ledger.Record, end time.Time) *ledger.Attempt {
	for {
		a := ledger.NewAttempt(x.group.Len(), x.group.Name(), epoch, call)
		x.phase(ctx, a)
		if a.Claimed() || !x.now().Before(end) {
			return a
		}
		if verdict, _ := ledger.Judge(x.now(), x.group.Len(), call.Attempt, call.Digest, a.Seen()); verdict != ledger.Unavailable {
			return a
		}
		time.Sleep(claimPeriod)
	}
}

func (x *Runner) logClaim(r dispatch.Request, a *ledger.Attempt) {
	x.log.Info().
		Str("correlationId", r.CorrelationID).
		Str("service", r.Service).
		Str("attempt", a.Call().Attempt).
		Bool("claimed", a.Claimed()).
		Int("replies", len(a.Seen())).
		Msg("claim")
}

// phase sends the request of the attempt's phase and waits until the phase is decided.
func (x *Runner) phase(ctx context.Context, a *ledger.Attempt) {
	p := a.Phase()
	m, ok := a.Request()
	if !ok {
		return
	}
	x.group.ask(ctx, m, func(r ledger.Reply) bool {
		a.Handle(p, r)
		return a.Phase() != p
	})
	if a.Phase() == p {
		a.GiveUp()
	}
}

// end records how a claimed call ended.
func (x *Runner) end(ctx context.Context, a *ledger.Attempt, r dispatch.Request, got result, done chan<- result) {
	if got.err == nil {
		a.Answered(x.value(r, got.reply))
		x.phase(ctx, a)
		done <- got
		x.finish(ctx, a)
		return
	}
	if p, ok := notSent(got.err); ok {
		a.NotSent()
		x.phase(ctx, a)
		done <- result{err: p}
		return
	}
	x.log.Warn().Str("correlationId", r.CorrelationID).Str("attempt", a.Call().Attempt).Err(got.err).Msg("callInDoubt")
	a.InDoubt()
	x.phase(ctx, a)
	done <- result{err: inDoubt()}
}

// value returns the ending of a call that was answered, without its body where that may not be stored.
func (x *Runner) value(r dispatch.Request, reply dispatch.Reply) ledger.Value {
	o := ledger.Outcome{Status: reply.Status, ContentType: reply.ContentType}
	if x.keeps(r) {
		o.Body, o.Kept = reply.Body, true
	}
	return ledger.Value{Ending: ledger.Completed, Outcome: o, By: x.self}
}

// finish tells the replicas that the ending was agreed, or proposes it again until it is.
func (x *Runner) finish(ctx context.Context, a *ledger.Attempt) {
	call := a.Call()
	if a.Chosen() {
		x.learn(ctx, call)
		return
	}
	for range finishTries {
		if _, ok, _ := x.agree(ctx, call, ledger.Value{}); ok {
			return
		}
		time.Sleep(finishPeriod)
	}
	x.log.Error().Str("attempt", call.Attempt).Str("service", call.Service).Msg("endingNotRecorded")
}

func (x *Runner) learn(ctx context.Context, call ledger.Record) {
	x.group.ask(ctx, ledger.Request{Op: ledger.OpLearn, Group: x.group.Name(), Call: call}, func(ledger.Reply) bool { return false })
}

// agree settles the ending of a call; proposed is used if no replica has accepted one.
func (x *Runner) agree(ctx context.Context, call ledger.Record, proposed ledger.Value) (ledger.Value, bool, ledger.Refusal) {
	epoch, highest := "", call.Promised
	for _, reply := range x.group.all(ctx, ledger.Request{Op: ledger.OpRead, Group: x.group.Name(), Call: call}) {
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
		x.group.ask(ctx, m, func(r ledger.Reply) bool {
			s.Handle(accepting, r, proposed)
			return s.Ended() || s.Accepting() != accepting
		})
	}
	v, ok := s.Chosen()
	if ok {
		call.Value = v
		x.learn(ctx, call)
	}
	return v, ok, s.Refused()
}

// look answers a call whose key may not be claimed, from what the replicas know of it.
func (x *Runner) look(ctx context.Context, call ledger.Record, hasToken bool) result {
	var replies []ledger.Reply
	for _, reply := range x.group.all(ctx, ledger.Request{Op: ledger.OpRead, Group: x.group.Name(), Call: call}) {
		replies = append(replies, reply)
	}
	verdict, _ := ledger.Judge(x.now(), x.group.Len(), call.Attempt, call.Digest, replies)
	if verdict == ledger.Unavailable && !hasToken {
		return result{err: epochRequired()}
	}
	if verdict == ledger.Unavailable {
		return result{err: stale()}
	}
	return x.judge(ctx, call, replies)
}

// judge answers a call that was not claimed.
func (x *Runner) judge(ctx context.Context, call ledger.Record, replies []ledger.Reply) result {
	verdict, known := ledger.Judge(x.now(), x.group.Len(), call.Attempt, call.Digest, replies)
	switch verdict {
	case ledger.Answered:
		return x.answer(ctx, known)
	case ledger.Reused:
		return result{err: keyReused()}
	case ledger.Running:
		return result{err: inProgress()}
	case ledger.InDoubt:
		return result{err: inDoubt()}
	case ledger.Stale:
		return result{err: stale()}
	case ledger.NoRoom:
		return result{err: noRoom()}
	default:
		return result{err: unavailable()}
	}
}

// answer returns the ending of a known call, which is agreed on first if need be.
func (x *Runner) answer(ctx context.Context, call ledger.Record) result {
	v := call.Value
	if !call.Chosen {
		var ok bool
		if v, ok, _ = x.agree(ctx, call, ledger.Value{}); !ok {
			return result{err: inProgress()}
		}
	}
	return answerOf(v)
}

// notSent returns the problem of a call of which no byte was sent.
func notSent(err error) (*problem.Problem, bool) {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p, p.Outcome == problem.NotRun
	}
	var unsent *endpoint.NotSentError
	if errors.As(err, &unsent) {
		return problem.New(problem.EndpointFailed, http.StatusBadGateway, "%s", unsent.Error()).WithRetryAfter(retryAfterInProgress), true
	}
	return nil, false
}

// digestOf identifies what a request asks: its service, method, path, content type and body.
func digestOf(r dispatch.Request) string {
	h := sha256.New()
	for _, part := range []string{r.Service, r.Method, r.Path, r.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}
