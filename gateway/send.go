package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"arbutusreel/exchange"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

const (
	// heldBytes bounds the part of an answer that is held, so that another endpoint may be tried if it breaks off; a longer
	// one is passed on as it comes.
	heldBytes = 1 << 20
	// forwardMargin is taken from the time left that another gateway is told, so that its answer is in time here.
	forwardMargin = 90 * time.Millisecond
	// leastFirstPatience and firstPatienceFactor bound the wait for a first piece before another endpoint is tried: that
	// many times what was expected.
	leastFirstPatience  = 900 * time.Millisecond
	firstPatienceFactor = 3
)

// plain is an answer that was received whole, or the beginning of a long one.
type plain struct {
	status int
	header http.Header
	body   []byte
	// rest is what follows the body of a long answer; nil if the body is whole.
	rest io.Reader
}

// send sends the request to an endpoint of this region.
func (j *job) send(at place) next {
	g := j.g
	now := time.Now()
	j.tried[at.endpoint.ID] = true
	j.charge = 1
	f := g.placer.begin(now, j.service.Name, j.call.Work, at)
	h := copyHeader(j.r.Header)
	g.cfg.Dialect.Prepare(h, Order{Instance: at.endpoint.ID, FetchFrom: at.fetchFrom, Left: j.deadline.Sub(now), Urgency: j.urgency(at.verdict), LastEvent: j.lastEvent()})
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	patience := j.firstPatience(at, cancel)
	answer, err := g.pool.Send(ctx, at.endpoint.Address, &exchange.Request{
		Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body, Repeatable: j.route.Repeatable(),
		Owns: func(a *http.Response, fresh bool) bool {
			return g.cfg.Dialect.Owns(a.Header, a.StatusCode, j.call.ID, fresh)
		},
	})
	if err != nil {
		patience.stop()
		f.end(time.Now(), j.endingOf(ctx, err))
		return j.failed(ctx, err, exchange.Outcome(err))
	}
	defer answer.Close()
	j.sends++
	verdict := g.cfg.Dialect.Verdict(answer.Header, answer.Status)
	if verdict.ColdFor > 0 {
		g.placer.tellCold(time.Now(), at.endpoint, verdict.ColdFor)
	}
	if verdict.Rejected {
		patience.stop()
		// A short body is read so that the connection can be kept.
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxRejectionBytes))
		f.end(time.Now(), rejected)
		j.log("rejected").Int("status", answer.Status).Msg("attemptFailed")
		return again
	}
	how, step := j.carry(ctx, answer, verdict, f, patience)
	f.end(time.Now(), how)
	return step
}

// maxRejectionBytes bounds the body of a rejection that is read.
const maxRejectionBytes = 4 << 10

// firstPatience cancels the attempt of a request that may be repeated if its first piece does not come in time and
// another endpoint would bring it on time from then on; until one would, the attempt goes on. A request at another
// gateway is left to that gateway's patience.
func (j *job) firstPatience(at place, cancel context.CancelCauseFunc) *patience {
	limit := max(leastFirstPatience, firstPatienceFactor*at.expected, 3*j.route.Objective/2)
	p := &patience{}
	if !j.route.Repeatable() || j.streaming() || j.runs+j.charge >= j.maxRuns() {
		return p
	}
	q := j.query(time.Now())
	q.tried = maps.Clone(j.tried)
	q.asked.Objective = j.route.Objective
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(limit, func() {
		if j.g.placer.hasRoom(time.Now(), j.g.view.Load(), q) {
			cancel(&SilentStreamError{Limit: limit})
			return
		}
		p.again(limit / 2)
	})
	return p
}

// patience is a timer that may be armed again by its own function until it is stopped.
type patience struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (p *patience) again(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.timer.Reset(d)
	}
}

func (p *patience) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.timer != nil {
		p.timer.Stop()
	}
}

// endingOf tells how an attempt ended whose exchange failed.
func (j *job) endingOf(ctx context.Context, err error) ending {
	var silent *SilentStreamError
	var failure *exchange.Error
	switch {
	case errors.As(context.Cause(ctx), &silent):
		return failed
	case j.r.Context().Err() != nil:
		return abandoned
	case errors.As(err, &failure) && failure.Stage == exchange.Connecting:
		return unreached
	default:
		return failed
	}
}

// failed notes a failed attempt and returns what is next.
func (j *job) failed(ctx context.Context, err error, o problem.Outcome) next {
	j.lastErr = err
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		j.lastErr = errors.Join(cause, err)
	}
	var failure *exchange.Error
	if !errors.As(err, &failure) || failure.Stage != exchange.Connecting {
		j.sends++
	}
	j.doubt(o)
	j.log(string(o)).Err(j.lastErr).Msg("attemptFailed")
	return again
}

// carry passes an answer on to the caller.
func (j *job) carry(ctx context.Context, answer *exchange.Answer, verdict Verdict, f *flight, patience *patience) (ending, next) {
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	if success && (!verdict.Signed || answer.Header.Get("Content-Encoding") != "") {
		return failed, j.failed(ctx, &UnsignedAnswerError{Status: answer.Status}, problem.Unknown)
	}
	if success && j.route.Kind == routes.Stream && isEvents(answer.Header) {
		return j.carryStream(ctx, answer, f, patience)
	}
	defer patience.stop()
	whole, err := readPlain(answer)
	if err != nil {
		return j.endingOf(ctx, err), j.failed(ctx, err, problem.Unknown)
	}
	if f != nil {
		f.first(time.Now())
	}
	if j.streaming() {
		// A stream that goes on cannot take a plain answer.
		return failed, j.failed(ctx, &UnsignedAnswerError{Status: answer.Status}, problem.Ran)
	}
	if whole.rest == nil && answer.Status >= http.StatusInternalServerError {
		j.held = whole
		j.doubt(problem.Ran)
		if j.worthRepeating() {
			j.log(string(problem.Ran)).Int("status", answer.Status).Msg("attemptFailed")
			return ended, again
		}
		return ended, j.answerHeld()
	}
	if err := j.answerPlain(whole); err != nil {
		return j.endingOf(ctx, err), broken
	}
	return succeeded, answered
}

// worthRepeating reports whether another attempt may do better than an endpoint's own failure.
func (j *job) worthRepeating() bool {
	return j.route.Repeatable() && j.runs < j.maxRuns() && j.attempts < maxPlaces && time.Until(j.deadline) > leastTimeLeft
}

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

func readPlain(answer *exchange.Answer) (*plain, error) {
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(answer, heldBytes))
	if err != nil {
		return nil, &exchange.Error{Stage: exchange.Reading, Outcome: problem.Unknown, Cause: err}
	}
	a := &plain{status: answer.Status, header: answer.Header, body: b.Bytes()}
	if n == heldBytes {
		a.rest = answer
	}
	return a, nil
}

// answerHeld gives the caller an endpoint's own failure.
func (j *job) answerHeld() next {
	if err := j.answerPlain(j.held); err != nil {
		return broken
	}
	return answered
}

// answerPlain gives the caller an answer as the endpoint gave it; an error says that the caller does not have all of it.
func (j *job) answerPlain(a *plain) error {
	h := j.w.Header()
	giveHeader(h, a.header)
	if a.rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	j.tellRuns(h)
	j.g.cfg.Metrics.Count("answered")
	if j.firstAt.IsZero() {
		j.firstAt = time.Now()
	}
	j.g.times.note(j.route.Kind, j.received, j.firstAt)
	j.log("answered").Int("status", a.status).Msg("served")
	j.w.WriteHeader(a.status)
	_, err := j.w.Write(a.body)
	if err == nil && a.rest != nil {
		_, err = io.Copy(j.w, a.rest)
	}
	if err != nil {
		j.lastErr = err
		j.log("answerBroken").Err(err).Msg("served")
	}
	return err
}

// connectionHeaders concern one connection alone.
func connectionHeaders() []string {
	return []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}
}

// copyHeader returns a copy of a header without what concerns one connection.
func copyHeader(h http.Header) http.Header {
	c := h.Clone()
	for _, named := range h.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders() {
		c.Del(name)
	}
	for _, name := range []string{outcomeHeader, attemptsHeader, drawHeader, runsHeader, ageHeader} {
		c.Del(name)
	}
	return c
}

// giveHeader copies the header of an answer for the caller.
func giveHeader(to, from http.Header) {
	for name, values := range copyHeader(from) {
		to[name] = values
	}
}
