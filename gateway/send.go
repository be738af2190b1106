package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"arbutusreel/exchange"
	"arbutusreel/origin"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

const (
	// maxBufferedBytes bounds the part of an answer that is buffered, so that the request can be retried at another
	// endpoint if the answer breaks off. The rest of a longer answer is streamed.
	maxBufferedBytes = 1 << 20
	// minBufferedBytes is the size that the buffer for an answer has at first.
	minBufferedBytes = 1 << 10
	// restBufferBytes is the size of the buffer for the rest of an answer that is streamed.
	restBufferBytes = 8 << 10
	// forwardMargin is subtracted from the time left that is sent to another gateway, so that its answer arrives here
	// in time.
	forwardMargin = 90 * time.Millisecond
	// minFirstTimeout and firstTimeoutFactor determine the timeout for the first piece of an answer, after which
	// another endpoint is tried: firstTimeoutFactor times the expected time, but at least minFirstTimeout and at least
	// one and a half times the route's objective.
	minFirstTimeout    = 900 * time.Millisecond
	firstTimeoutFactor = 3
)

// bufferedAnswer is an answer that was received in full, or the beginning of a long one.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// rest reads what follows the body of a long answer; nil if the body is complete. The capacity of body is counted at the
	// caller's answer.
	rest io.Reader
}

// send sends the request to an endpoint of this region.
func (j *job) send(d decision) nextStep {
	g := j.g
	now := time.Now()
	j.tried[d.endpoint.ID] = true
	j.chargedRuns = 1
	a := g.placer.begin(now, j.service.Name, j.call.Work, d)
	a.intervals.eventTokens = streamEventTokens(j.route, j.service)
	h := copyHeader(j.r.Header)
	g.cfg.Headers.Prepare(h, EndpointHeaders{Instance: d.endpoint.ID, FetchFrom: d.fetchFrom, TimeLeft: j.deadline.Sub(now), Urgency: j.urgency(d.verdict), LastEvent: j.lastEvent(), Team: j.teamName(), HideCredential: j.view.table.HasTeams()})
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	timer := j.startFirstTimer(d, cancel)
	if j.route.Repeatable() {
		g.placer.watch(a, cancel)
	}
	answer, err := g.pool.Send(ctx, d.endpoint.Address, &exchange.Request{
		Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body, Repeatable: j.route.Repeatable(),
		ID: j.call.ID, ResponseID: g.cfg.Headers.ResponseID,
	})
	if err != nil {
		timer.stop()
		a.end(time.Now(), j.endingOf(ctx, a, err))
		j.examineBreak(ctx, a, err)
		return j.recordFailure(ctx, err, exchange.Outcome(err))
	}
	defer answer.Close()
	j.sends++
	j.retries.Reach(1)
	g.placer.reach.recordReceived(time.Now())
	if answer.Fresh {
		g.placer.recordConnected(time.Now(), now)
	}
	verdict := g.cfg.Headers.Verdict(answer.Header, answer.Status)
	j.recordVerdict(d, verdict)
	if verdict.Rejected {
		timer.stop()
		answer.Discard(maxRejectionBytes, maxRejectionWait)
		a.end(time.Now(), rejected)
		j.log("rejected").Int("status", answer.Status).Msg("attemptFailed")
		return tryNext
	}
	how, step := j.relayAnswer(ctx, answer, verdict, origin.Origin{Service: d.endpoint.Service, Software: d.endpoint.Software}, a, timer)
	a.end(time.Now(), how)
	if how == failed {
		j.examineBreak(ctx, a, j.lastErr)
	}
	return step
}

// recordVerdict records what an endpoint announced about itself, and logs the start of a departure or a pause.
func (j *job) recordVerdict(d decision, verdict Verdict) {
	news := j.g.placer.recordVerdict(time.Now(), d.endpoint, verdict)
	if news.departs {
		j.g.log.Info().Str("request", j.call.ID).Str("endpoint", d.endpoint.ID).Int64("born", d.endpoint.Born).
			Str("address", d.endpoint.Address).Msg("endpoint is leaving")
	}
	logLimit := func(l Limit, message string) {
		j.g.log.Info().Str("request", j.call.ID).Str("endpoint", d.endpoint.ID).Bool("named", l.Named).Float64("perSecond", l.PerSecond).
			Str("invalid", l.Invalid).Msg(message)
	}
	if news.limit {
		logLimit(verdict.Limit, "limit of endpoint changed")
	}
	if news.brittle {
		logLimit(verdict.Brittle, "brittleness of endpoint changed")
	}
	if verdict.PauseFor > 0 {
		j.g.log.Info().Str("request", j.call.ID).Str("endpoint", d.endpoint.ID).Dur("pause", verdict.PauseFor).Msg("endpoint paused")
	}
}

// maxRejectionBytes and maxRejectionWait bound the part of a rejection's body that is read, and the wait for it.
const (
	maxRejectionBytes = 4 << 10
	maxRejectionWait  = 100 * time.Millisecond
)

// startFirstTimer starts a timer that cancels the attempt of a repeatable request if its first piece does not arrive in
// time and another endpoint is expected to deliver it on time from then on. Until there is one, the attempt continues
// and the timer is rearmed. No timer is started for an attempt that may use up the allowed runs, as each forwarded
// request may; the gateway that receives a forwarded request applies its own timeout.
func (j *job) startFirstTimer(d decision, cancel context.CancelCauseFunc) *firstTimer {
	limit := max(minFirstTimeout, firstTimeoutFactor*d.expected, 3*j.route.Objective/2)
	timer := &firstTimer{}
	if !j.route.Repeatable() || j.streaming() || j.runs+j.chargedRuns >= j.maxRuns() {
		return timer
	}
	q := j.query(time.Now())
	q.tried = maps.Clone(j.tried)
	q.budget.Objective = j.route.Objective
	timer.mu.Lock()
	defer timer.mu.Unlock()
	timer.timer = time.AfterFunc(limit, func() {
		if j.g.placer.canServeOnTime(time.Now(), j.g.view.Load(), q) {
			cancel(&SilentEndpointError{Limit: limit})
			return
		}
		timer.rearm(limit / 2)
	})
	return timer
}

// firstTimer is a timer that its own function may rearm until it is stopped.
type firstTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (p *firstTimer) rearm(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.timer.Reset(d)
	}
}

func (p *firstTimer) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.timer != nil {
		p.timer.Stop()
	}
}

// maxSilence is how long an endpoint may be silent before it is blamed for that.
const maxSilence = 1500 * time.Millisecond

// endingOf returns how an attempt ended whose exchange failed with err. The attempt is nil for a forwarded request.
func (j *job) endingOf(ctx context.Context, a *attempt, err error) ending {
	var silent *SilentEndpointError
	var stranded *StrandedError
	var failure *exchange.Error
	cause := context.Cause(ctx)
	switch {
	case errors.As(cause, &stranded):
		return abandoned
	case errors.As(cause, &silent):
		if a != nil && a.brieflySilent(time.Now()) {
			return abandoned
		}
		return failed
	case j.r.Context().Err() != nil || j.g.answerCtx.Err() != nil:
		return abandoned
	case errors.As(err, &failure) && failure.Stage == exchange.Connecting:
		if isTimeout(err) {
			return unanswered
		}
		return unreached
	default:
		return failed
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// brieflySilent reports whether the endpoint has sent nothing since the attempt began, but for no longer than maxSilence.
func (a *attempt) brieflySilent(now time.Time) bool {
	heard := time.Unix(0, a.endpointReceivedNanos.Load())
	return !heard.After(a.sent) && now.Sub(heard) < maxSilence
}

// recordFailure records a failed attempt and returns the next step.
func (j *job) recordFailure(ctx context.Context, err error, o problem.Outcome) nextStep {
	j.lastErr = err
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		j.lastErr = errors.Join(cause, err)
	}
	var failure *exchange.Error
	if !errors.As(err, &failure) || failure.Stage != exchange.Connecting {
		j.sends++
		j.retries.Reach(1)
	}
	j.recordOutcome(o)
	j.log(string(o)).Str("digest", j.traits().request.String()).Err(j.lastErr).Msg("attemptFailed")
	return tryNext
}

// relayAnswer passes an answer of an endpoint of the origin on to the caller.
func (j *job) relayAnswer(ctx context.Context, answer *exchange.Response, verdict Verdict, of origin.Origin, a *attempt, timer *firstTimer) (ending, nextStep) {
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	if success && (!verdict.Signed || answer.Header.Get("Content-Encoding") != "") {
		return failed, j.recordFailure(ctx, &UnusableAnswerError{Status: answer.Status}, problem.Unknown)
	}
	if success && j.route.Kind == routes.Stream && isEventStream(answer.Header) {
		return j.relayStream(ctx, answer, of, a, timer)
	}
	defer timer.stop()
	buffered, err := readAnswer(j.w, answer, verdict.Signed)
	if err != nil {
		return j.endingOf(ctx, a, err), j.recordFailure(ctx, err, problem.Unknown)
	}
	if a != nil {
		a.recordFirst(time.Now())
	}
	j.recordBegunAnswer(success)
	if j.streaming() {
		// A stream in progress cannot be continued by an answer that is not a stream.
		return failed, j.recordFailure(ctx, &UnusableAnswerError{Status: answer.Status}, problem.Ran)
	}
	if buffered.rest == nil && answer.Status >= http.StatusInternalServerError {
		j.bufferedError = buffered
		j.recordOutcome(problem.Ran)
		if j.shouldRetry() {
			j.log(string(problem.Ran)).Int("status", answer.Status).Msg("attemptFailed")
			return errorAnswer, tryNext
		}
		return errorAnswer, j.writeBufferedError()
	}
	return j.relayBuffered(ctx, buffered, a)
}

// relayBuffered passes an answer on of which all that is buffered has arrived.
func (j *job) relayBuffered(ctx context.Context, answer *bufferedAnswer, a *attempt) (ending, nextStep) {
	err := j.writeAnswer(answer)
	var givenUp *GivenUpError
	switch {
	case errors.As(err, &givenUp):
		return j.endingOf(ctx, a, err), j.recordFailure(ctx, err, problem.Ran)
	case err != nil:
		return j.endingOf(ctx, a, err), truncated
	}
	return succeeded, answered
}

// shouldRetry reports whether another attempt may replace an endpoint's error answer.
func (j *job) shouldRetry() bool {
	return j.route.Repeatable() && j.runs < j.maxRuns() && j.attempts < maxAttempts && time.Until(j.deadline) > minTimeLeft
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// readAnswer buffers an answer of up to maxBufferedBytes, or less if the memory budget is used up. The rest of a longer answer
// remains to be read; if it is not signed, *LongUnsignedAnswerError is returned.
func readAnswer(w *answerWriter, answer *exchange.Response, signed bool) (*bufferedAnswer, error) {
	a := &bufferedAnswer{status: answer.Status, header: answer.Header}
	for {
		if len(a.body) == cap(a.body) && !a.grow(w) {
			a.rest = answer
			break
		}
		n, err := answer.Read(a.body[len(a.body):cap(a.body)])
		a.body = a.body[:len(a.body)+n]
		if errors.Is(err, io.EOF) {
			return a, nil
		}
		if err != nil {
			a.release(w)
			return nil, &exchange.Error{Stage: exchange.Reading, Outcome: problem.Unknown, Cause: err}
		}
	}
	if !signed {
		a.release(w)
		return nil, &LongUnsignedAnswerError{Status: answer.Status}
	}
	return a, nil
}

// grow doubles the buffer, or returns false if it has maxBufferedBytes or there is no memory for it.
func (a *bufferedAnswer) grow(w *answerWriter) bool {
	held := int64(cap(a.body))
	size := min(max(2*held, minBufferedBytes), maxBufferedBytes)
	if size == held || !w.growBuffer(held, size-held) {
		return false
	}
	body := make([]byte, len(a.body), size)
	copy(body, a.body)
	a.body = body
	return true
}

// release drops the buffer.
func (a *bufferedAnswer) release(w *answerWriter) {
	w.hold(-int64(cap(a.body)))
	a.body = nil
}

// writeBufferedError sends the buffered error answer of an endpoint to the caller.
func (j *job) writeBufferedError() nextStep {
	if err := j.writeAnswer(j.bufferedError); err != nil {
		return truncated
	}
	return answered
}

// writeAnswer sends an answer to the caller unchanged. An error means that the caller has not received all of it, and
// *GivenUpError that it has received nothing, as a long answer was given up before it began.
func (j *job) writeAnswer(a *bufferedAnswer) error {
	h := j.w.Header()
	if !j.w.begin() {
		if a.rest != nil {
			a.release(j.w)
			return &GivenUpError{}
		}
		growSocketBuffer(j.r)
	}
	copyAnswerHeader(h, a.header)
	if a.rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	j.setRunsHeader(h)
	j.g.cfg.Metrics.Count("answered")
	if j.firstAt.IsZero() {
		j.firstAt = time.Now()
	}
	j.g.latencies.record(j.route.Kind, j.received, j.firstAt)
	j.log("answered").Int("status", a.status).Msg("served")
	j.w.WriteHeader(a.status)
	_, err := j.w.Write(a.body)
	if err == nil && a.rest != nil {
		a.release(j.w)
		// Not io.Copy, whose buffer of 32 KB would be held for each caller that does not read.
		_, err = io.CopyBuffer(struct{ io.Writer }{j.w}, a.rest, make([]byte, restBufferBytes))
	}
	if err != nil {
		j.lastErr = err
		j.log("answerBroken").Err(err).Msg("served")
	}
	return err
}

// connectionHeaders returns the hop-by-hop headers, which concern a single connection.
func connectionHeaders() []string {
	return []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}
}

// copyHeader returns a copy of a header without hop-by-hop headers and those between gateways.
func copyHeader(h http.Header) http.Header {
	c := h.Clone()
	for _, listed := range h.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders() {
		c.Del(name)
	}
	for _, name := range []string{outcomeHeader, codeHeader, attemptsHeader, drawHeader, runsHeader, reachedHeader, crashesHeader, countedHeader, ageHeader, originHeader, teamHeader, requestHeader, takesBackHeader, inProgressHeader} {
		c.Del(name)
	}
	return c
}

// copyAnswerHeader copies the header of an answer to that of the caller's response.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range copyHeader(from) {
		to[name] = values
	}
}
