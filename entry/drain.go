package entry

import (
	"context"
	"net/http"
	"time"

	"arbutusreel/clock"
	"arbutusreel/problem"
)

// drainPoll is the period at which a stopping entry looks for requests in progress.
const drainPoll = 10 * time.Millisecond

// cutGrace is the time in which requests that exceed the drain timeout are told so.
const cutGrace = 2 * time.Second

// drain leaves the directory, waits for this to spread, refuses new requests, and waits for those in progress.
func (n *Entry) drain(ctx context.Context, cut context.CancelCauseFunc) {
	n.leaving.Store(true)
	n.rates.leave()
	n.log.Info().Dur("notice", n.cfg.DrainNotice).Msg("leaving")
	n.state.hear(n.self())
	n.publish(ctx)
	clock.Sleep(ctx, n.cfg.DrainNotice)
	n.closed.Store(true)
	n.log.Info().Int64("active", n.inProgress()).Msg("refusing")
	n.waitIdle(ctx, n.cfg.DrainTimeout)
	if left := n.inProgress(); left > 0 {
		n.log.Warn().Int64("active", left).Dur("timeout", n.cfg.DrainTimeout).Msg("drainTimeout")
		cut(n.stopping().WithOutcome(problem.Unknown))
		n.waitIdle(ctx, cutGrace)
	}
	n.log.Info().Int64("active", n.inProgress()).Msg("drained")
}

// waitIdle returns when no request is in progress, or after the timeout.
func (n *Entry) waitIdle(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for n.inProgress() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, drainPoll)
	}
}

// stopping returns the refusal of a request that came too late.
func (n *Entry) stopping() *problem.Problem {
	return problem.New(problem.Stopping, http.StatusServiceUnavailable, "instance %q is stopping; use another entry", n.cfg.Self.Name).WithRetryAfter(retryAfterStopping)
}

// ready reports whether callers may use the entry: it has an inventory, and endpoints had the time to be known.
func (n *Entry) ready() bool {
	_, revision := n.state.Inventory()
	if revision == 0 || n.leaving.Load() {
		return false
	}
	return len(n.state.Endpoints()) > 0 || n.state.now().Sub(n.began) >= warmUp
}

// inProgress returns the number of requests in progress, with the calls whose ending is not recorded yet.
func (n *Entry) inProgress() int64 { return n.active.Load() + n.runner.Active() }
