package entry

import (
	"context"
	"net/http"
	"time"

	"arbutusreel/clock"
	"arbutusreel/problem"
)

// drainPollPeriod is how often a stopping entry checks for requests in progress.
const drainPollPeriod = 10 * time.Millisecond

// cancelGrace is the time that requests cancelled at the drain timeout have to report the failure to their callers.
const cancelGrace = 2 * time.Second

// drain withdraws the entry from the directory, waits until this is known, then refuses new requests and waits for
// those in progress. At the drain timeout it cancels the remaining requests.
func (n *Entry) drain(ctx context.Context, cancelRequests context.CancelCauseFunc) {
	n.leaving.Store(true)
	n.limiter.leave()
	n.log.Info().Dur("notice", n.cfg.DrainNotice).Msg("drain started")
	n.state.updateEntry(n.selfAdvert())
	n.publish(ctx)
	clock.Sleep(ctx, n.cfg.DrainNotice)
	n.closed.Store(true)
	n.log.Info().Int64("active", n.inProgress()).Msg("refusing new requests")
	n.waitIdle(ctx, n.cfg.DrainTimeout)
	if left := n.inProgress(); left > 0 {
		n.log.Warn().Int64("active", left).Dur("timeout", n.cfg.DrainTimeout).Msg("drain timed out")
		cancelRequests(n.stopping().WithOutcome(problem.Unknown))
		n.waitIdle(ctx, cancelGrace)
	}
	n.log.Info().Int64("active", n.inProgress()).Msg("drained")
}

// waitIdle returns when no request is in progress, or after the timeout.
func (n *Entry) waitIdle(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for n.inProgress() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, drainPollPeriod)
	}
}

// stopping returns the problem with which a stopping entry refuses new requests.
func (n *Entry) stopping() *problem.Problem {
	return problem.New(problem.Stopping, http.StatusServiceUnavailable, "instance %q is stopping; use another entry", n.cfg.Self.Name).WithRetryAfter(retryAfterStopping)
}

// ready reports whether callers may use the entry: it has an inventory, is not leaving, and knows an endpoint or has
// waited for announcements for the time of warmUp.
func (n *Entry) ready() bool {
	_, revision := n.state.Inventory()
	if revision == 0 || n.leaving.Load() {
		return false
	}
	return len(n.state.Endpoints()) > 0 || n.state.now().Sub(n.startedAt) >= warmUp
}

// inProgress returns the number of requests in progress, including calls whose outcome is not recorded yet.
func (n *Entry) inProgress() int64 { return n.active.Load() + n.runner.Active() }
