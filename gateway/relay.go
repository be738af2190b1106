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
)

// callerStream is the response stream to the caller, which may be fed by several runs one after the other.
type callerStream struct {
	w http.ResponseWriter
	// started reports whether the header has been sent.
	started bool
	// lastEvent is the ID of the last event sent.
	lastEvent int64
	// lastAt is when the last event was sent, and longestPause the longest time between two events.
	lastAt       time.Time
	longestPause time.Duration
}

// streaming reports whether part of a stream has been sent to the caller, after which no other answer is possible.
func (j *job) streaming() bool { return j.stream != nil && j.stream.started }

// lastEvent returns the ID of the last event that the caller has received.
func (j *job) lastEvent() int64 {
	if j.streaming() {
		return j.stream.lastEvent
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
		j.stream = &callerStream{w: j.w, lastEvent: j.call.LastEvent}
	}
	events := newEventReader(answer)
	resumed := j.stream.started
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) && answer.EndsWithConnection && !j.stream.started && j.call.LastEvent == NoEvent {
			// A process that ends closes its connections in order, too.
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			j.recordLength(a, resumed)
			return j.endStream(answer.Header, answer.Status)
		}
		if err == nil {
			err = j.stream.checkOrder(e, resumed)
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
			j.lastErr = err
			code := "callerLeft"
			if j.w.ended.Load() {
				code = string(problem.ReaderStopped)
			}
			j.log(code).Err(err).Msg("served")
			j.g.cfg.Metrics.Count(code)
			return abandoned, answered
		}
	}
}

// checkOrder returns an error if an event of a resumed stream does not directly follow the last one sent.
func (s *callerStream) checkOrder(e event, resumed bool) error {
	if resumed && e.id >= 0 && s.lastEvent >= 0 && e.id != s.lastEvent+1 {
		return &EventOrderError{Want: s.lastEvent + 1, Got: e.id}
	}
	return nil
}

// writeEvent sends one event to the caller.
func (j *job) writeEvent(e event, answer *exchange.Response, of origin.Origin) error {
	s := j.stream
	if !s.started {
		copyAnswerHeader(s.w.Header(), answer.Header)
		j.recordBegun(of)
		s.w.WriteHeader(answer.Status)
		s.started = true
	}
	if _, err := s.w.Write(e.raw); err != nil {
		return &CallerError{Cause: err}
	}
	if e.id >= 0 {
		s.lastEvent = e.id
	}
	now := time.Now()
	if !s.lastAt.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return &CallerError{Cause: err}
	}
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
	j.log("answered").Int("status", status).Int64("lastEvent", j.stream.lastEvent).Dur("longestPause", j.stream.longestPause).Msg("served")
	return succeeded, answered
}

// recordBrokenStream records that a stream broke off.
func (j *job) recordBrokenStream(ctx context.Context, a *attempt, err error) (ending, nextStep) {
	broken := &BrokenStreamError{LastEvent: j.stream.lastEvent, Cause: err}
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
}

// eventReader splits a stream into events.
type eventReader struct {
	r *bufio.Reader
}

const (
	// eventBufferBytes is enough for a usual event.
	eventBufferBytes = 2 << 10
	// maxEventBytes bounds an event, which is held until it is complete.
	maxEventBytes = 256 << 10
)

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the next complete event. It returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream
// ends within an event, and *EventTooLargeError if an event has more than maxEventBytes.
func (s *eventReader) next() (event, error) {
	e := event{id: NoEvent}
	for {
		line, err := s.r.ReadSlice('\n')
		if len(e.raw)+len(line) > maxEventBytes {
			return event{}, &EventTooLargeError{Limit: maxEventBytes}
		}
		e.raw = append(e.raw, line...)
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
