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
	"arbutusreel/problem"
)

// relay is the caller's side of a stream, which may be fed by several runs one after the other.
type relay struct {
	w http.ResponseWriter
	// begun says that the header and a first event have gone out.
	begun bool
	// last is the number of the last event that has gone out.
	last int64
	// lastAt is when it went out, and pause the longest time between two events.
	lastAt time.Time
	pause  time.Duration
}

// streaming reports whether the caller has the beginning of a stream, after which no other answer can be given.
func (j *job) streaming() bool { return j.stream != nil && j.stream.begun }

// lastEvent returns the last event that the caller has.
func (j *job) lastEvent() int64 {
	if j.streaming() {
		return j.stream.last
	}
	return j.call.LastEvent
}

// carryStream passes events on as they come. A stream that breaks may go on at another endpoint. Silence after the first
// event breaks none: an engine that lacks memory puts a stream off and goes on with it later.
func (j *job) carryStream(ctx context.Context, answer *exchange.Answer, f *flight, patience *patience) (ending, next) {
	defer patience.stop()
	if j.stream == nil {
		j.stream = &relay{w: j.w, last: j.call.LastEvent}
	}
	events := newEvents(answer)
	resumed := j.stream.begun
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return j.endStream(answer.Header, answer.Status)
		}
		if err == nil {
			err = j.stream.follows(e, resumed)
		}
		if err != nil {
			return j.breakStream(ctx, err)
		}
		now := time.Now()
		if f != nil {
			f.first(now)
		}
		if j.firstAt.IsZero() {
			j.firstAt = now
		}
		patience.stop()
		if err := j.pass(e, answer); err != nil {
			j.lastErr = err
			j.log("callerLeft").Err(err).Msg("served")
			j.g.cfg.Metrics.Count("callerLeft")
			return abandoned, answered
		}
	}
}

// follows checks that an event of a resumed stream is the one after the last that has gone out.
func (s *relay) follows(e event, resumed bool) error {
	if resumed && e.id >= 0 && s.last >= 0 && e.id != s.last+1 {
		return &EventOrderError{Want: s.last + 1, Got: e.id}
	}
	return nil
}

// pass sends one event to the caller.
func (j *job) pass(e event, answer *exchange.Answer) error {
	s := j.stream
	if !s.begun {
		giveHeader(s.w.Header(), answer.Header)
		s.w.WriteHeader(answer.Status)
		s.begun = true
	}
	if _, err := s.w.Write(e.text); err != nil {
		return &CallerError{Cause: err}
	}
	if e.id >= 0 {
		s.last = e.id
	}
	now := time.Now()
	if !s.lastAt.IsZero() {
		s.pause = max(s.pause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
}

// endStream ends a whole stream.
func (j *job) endStream(header http.Header, status int) (ending, next) {
	if !j.stream.begun {
		giveHeader(j.w.Header(), header)
		j.w.WriteHeader(status)
		j.stream.begun = true
	}
	if j.firstAt.IsZero() {
		j.firstAt = time.Now()
	}
	j.g.times.note(j.route.Kind, j.received, j.firstAt)
	j.g.cfg.Metrics.Count("answered")
	j.log("answered").Int("status", status).Int64("lastEvent", j.stream.last).Dur("longestPause", j.stream.pause).Msg("served")
	return succeeded, answered
}

// breakStream notes that a stream broke off.
func (j *job) breakStream(ctx context.Context, err error) (ending, next) {
	broken := &BrokenStreamError{LastEvent: j.stream.last, Cause: err}
	how := j.endingOf(ctx, err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		how = abandoned
	}
	return how, j.failed(ctx, broken, problem.Ran)
}

// event is one event of a stream as the endpoint wrote it.
type event struct {
	// id is negative if the event has none.
	id   int64
	text []byte
}

// events reads whole events.
type events struct {
	r *bufio.Reader
}

// eventBuffer holds a usual event.
const eventBuffer = 2 << 10

func newEvents(r io.Reader) *events { return &events{r: bufio.NewReaderSize(r, eventBuffer)} }

// next returns the next whole event. It returns io.EOF at the end of the stream, and io.ErrUnexpectedEOF if the stream
// ends within an event.
func (s *events) next() (event, error) {
	e := event{id: NoEvent}
	for {
		line, err := s.r.ReadSlice('\n')
		e.text = append(e.text, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(e.text) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		if blank := bytes.TrimRight(line, "\r\n"); len(blank) == 0 && endsLine(e.text, len(line)) {
			return e, nil
		}
		if id, ok := eventID(e.text); ok {
			e.id = id
		}
	}
}

// endsLine reports whether the last n bytes of text, a line end, follow another line end.
func endsLine(text []byte, n int) bool {
	before := text[:len(text)-n]
	return len(before) == 0 || before[len(before)-1] == '\n'
}

// eventID returns the number in the last line of text if that names the event.
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
