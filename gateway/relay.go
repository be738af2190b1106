package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"arbutusreel/exchange"
	"arbutusreel/origin"
	"arbutusreel/problem"
	"arbutusreel/stream"
)

// callerStream is the response stream to the caller, which may be fed by several runs one after the other.
type callerStream struct {
	w http.ResponseWriter
	// started reports whether the header has been sent.
	started bool
	events  *stream.Events
	// lastAt is when the last event was sent, and longestPause the longest time between two events.
	lastAt       time.Time
	longestPause time.Duration
}

// streaming reports whether part of a stream has been sent to the caller, after which no other answer is possible.
func (j *job) streaming() bool { return j.stream != nil && j.stream.started }

// lastEvent returns the ID of the last event that the caller has received.
func (j *job) lastEvent() int64 {
	if j.streaming() {
		return j.stream.events.Last()
	}
	return j.call.LastEvent
}

// relayStream passes events on as they arrive. A stream that breaks may be resumed at another endpoint. There is no
// timeout between events: an engine that runs out of memory preempts a stream and continues it later.
func (j *job) relayStream(ctx context.Context, answer *exchange.Response, of origin.Origin, a *attempt, timer *firstTimer) (ending, nextStep) {
	defer timer.stop()
	if err := j.checkOrigin(of); err != nil {
		return failed, j.recordFailure(ctx, err, problem.Ran)
	}
	if j.stream == nil {
		last := int64(NoEvent)
		if j.route.Resumable {
			last = j.call.LastEvent
		}
		j.stream = &callerStream{w: j.w, events: stream.NewEvents(last)}
	}
	events := newEventReader(j.w, answer)
	defer events.release()
	resumed := j.stream.started
	j.stream.events.BeginAnswer()
	for {
		e, err := j.stream.next(events, answer.EndsWithConnection, a == nil)
		if errors.Is(err, io.EOF) {
			j.recordLength(a, resumed)
			return j.endStream(answer.Header, answer.Status)
		}
		if err != nil {
			return j.recordBrokenStream(ctx, a, err)
		}
		now := time.Now()
		a.recordArrival(now, j.stream.lastAt)
		a.recordGrowth(j.service)
		if j.firstAt.IsZero() {
			j.firstAt = now
			j.g.crashes.recordBegun(now, j.traits())
			j.endTrial()
		}
		timer.stop()
		if err := j.writeEvent(e, answer, of); err != nil {
			var givenUp *GivenUpError
			if errors.As(err, &givenUp) {
				return j.recordBrokenStream(ctx, a, err)
			}
			j.lastErr = err
			code := "callerLeft"
			if j.w.ended.Load() {
				code = string(problem.ReaderStopped)
			}
			j.log(code).Err(err).Msg("served")
			j.g.cfg.Metrics.Count(code)
			return abandoned, answered
		}
		// hurry has not ended the attempt if the event was on its way.
		if err := j.g.answerCtx.Err(); err != nil && j.mayHandBack() {
			return j.recordBrokenStream(ctx, a, err)
		}
	}
}

// next returns the next event that is passed on to the caller, or io.EOF at the end of the stream. If another gateway hands a
// forwarded stream back, it returns *HandedBackError.
func (s *callerStream) next(r *eventReader, endsWithConnection, forwarded bool) (event, error) {
	for {
		e, err := r.next()
		switch {
		case errors.Is(err, io.EOF):
			if broken := s.events.End(endsWithConnection); broken != nil {
				return event{}, broken
			}
			return event{}, err
		case err != nil:
			return event{}, err
		case !e.comment:
			if err := stream.CheckEvent(e.raw); err != nil {
				return event{}, err
			}
			return e, s.events.Accept(e.id)
		case bytes.HasPrefix(e.raw, []byte(handBackPrefix)):
			// Only another gateway may hand a stream back; such a comment of an endpoint is dropped.
			if runs, ok := parseHandBack(e.raw); ok && forwarded {
				return event{}, &HandedBackError{Runs: runs}
			}
		case s.events.AcceptComment():
			return e, nil
		}
	}
}

// writeEvent sends one event to the caller. It returns *GivenUpError if it would begin an answer that was given up.
func (j *job) writeEvent(e event, answer *exchange.Response, of origin.Origin) error {
	s := j.stream
	if !s.started {
		h := s.w.Header()
		if !j.w.begin() {
			return &GivenUpError{}
		}
		copyAnswerHeader(h, answer.Header)
		j.recordBegun(of)
		s.w.WriteHeader(answer.Status)
		s.started = true
	}
	if _, err := s.w.Write(e.raw); err != nil {
		return &CallerError{Cause: err}
	}
	now := time.Now()
	if !s.lastAt.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return &CallerError{Cause: err}
	}
	j.handable.Store(j.takesBack && s.events.Resumable())
	return nil
}

// endStream completes a stream.
func (j *job) endStream(header http.Header, status int) (ending, nextStep) {
	if !j.stream.started {
		copyAnswerHeader(j.w.Header(), header)
		j.w.WriteHeader(status)
		j.stream.started = true
	}
	if j.firstAt.IsZero() {
		j.firstAt = time.Now()
	}
	j.g.latencies.record(j.route.Kind, j.received, j.firstAt)
	j.g.cfg.Metrics.Count("answered")
	j.log("answered").Int("status", status).Int64("lastEvent", j.stream.events.Last()).Dur("longestPause", j.stream.longestPause).Msg("served")
	return succeeded, answered
}

// recordBrokenStream records that a stream broke off.
func (j *job) recordBrokenStream(ctx context.Context, a *attempt, err error) (ending, nextStep) {
	broken := &BrokenStreamError{LastEvent: j.stream.events.Last(), Cause: err}
	var back *HandedBackError
	if errors.As(err, &back) {
		j.chargedRuns = min(j.chargedRuns, back.Runs)
	}
	how := j.endingOf(ctx, a, err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		how = abandoned
	}
	return how, j.recordFailure(ctx, broken, problem.Ran)
}

// event is one event of a stream, byte for byte as the endpoint sent it.
type event struct {
	// id is negative if the event has none.
	id  int64
	raw []byte
	// comment reports whether it consists of comments and empty lines only.
	comment bool
}

// eventReader splits a stream into events.
type eventReader struct {
	w *answerWriter
	r *bufio.Reader
	// held is the number of bytes of long events that are counted in the memory budget.
	held int64
}

const (
	// eventBufferBytes is enough for a usual event.
	eventBufferBytes = 2 << 10
	// maxEventBytes bounds an event, which is held until it is complete.
	maxEventBytes = 256 << 10
	// longEventBytes is the size up to which events are not counted, as an answer in progress is expected to hold one.
	longEventBytes = 8 << 10
)

func newEventReader(w *answerWriter, r io.Reader) *eventReader {
	return &eventReader{w: w, r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// hold counts the buffer of an event, or returns false if it is long and there is no memory for it.
func (s *eventReader) hold(size int) bool {
	if more := int64(size) - s.held; size > longEventBytes && more > 0 {
		if !s.w.growBuffer(s.held, more) {
			return false
		}
		s.held += more
	}
	return true
}

// release removes the bytes of long events from the memory budget.
func (s *eventReader) release() { s.w.hold(-s.held) }

// next returns the next complete event. It returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream
// ends within an event, and *EventTooLargeError if an event has more than maxEventBytes or than there is memory for.
func (s *eventReader) next() (event, error) {
	e := event{id: NoEvent}
	for {
		line, err := s.r.ReadSlice('\n')
		if len(e.raw)+len(line) > maxEventBytes {
			return event{}, &EventTooLargeError{Limit: maxEventBytes}
		}
		e.raw = append(e.raw, line...)
		if !s.hold(cap(e.raw)) {
			return event{}, &EventTooLargeError{Limit: len(e.raw)}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(e.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		if blank := bytes.TrimRight(line, "\r\n"); len(blank) == 0 && endsWithEmptyLine(e.raw, len(line)) {
			e.comment = isComment(e.raw)
			return e, nil
		}
		if id, ok := eventID(e.raw); ok {
			e.id = id
		}
	}
}

// endsWithEmptyLine reports whether the last n bytes of text, which are a line break, form an empty line.
func endsWithEmptyLine(text []byte, n int) bool {
	before := text[:len(text)-n]
	return len(before) == 0 || before[len(before)-1] == '\n'
}

// isComment reports whether text consists of comments and empty lines.
func isComment(text []byte) bool {
	for line := range bytes.Lines(text) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

// eventID returns the numeric ID in the last line of text, and whether that line is an id field.
func eventID(text []byte) (int64, bool) {
	line := bytes.TrimRight(text, "\r\n")
	if i := bytes.LastIndexByte(line, '\n'); i >= 0 {
		line = line[i+1:]
	}
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}
