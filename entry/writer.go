package entry

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"arbutusreel/completion"
	"arbutusreel/problem"
	"arbutusreel/ring"
	"arbutusreel/stream"
)

// Bounds of the memory of one answer.
const (
	writerEvents   = 64
	maxAnswerBytes = 8 << 20
)

// event is one server-sent event on its way to the caller; the last one ends the answer.
type event struct {
	name string
	data []byte
	last bool
}

// writer is the sink of one answer to a caller. A streamed answer goes through a bounded ring to a goroutine that
// writes it, so that a caller that reads slowly holds up the engine, and one that stopped reading cancels it.
type writer struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	w         http.ResponseWriter
	answer    completion.Answer
	streaming bool
	timeout   time.Duration
	events    *ring.Ring[event]
	done      chan struct{}
	// failure is why the last write failed; it is read after done is closed.
	failure error
	text    strings.Builder
	pieces  int
	// first is called when the first piece was taken, and written when it was written to the caller.
	first, written func()
}

var _ stream.Sink = (*writer)(nil)

// newWriter returns a sink whose context ends when the caller is gone or has not read for timeout.
func newWriter(ctx context.Context, w http.ResponseWriter, answer completion.Answer, streaming bool, timeout time.Duration) *writer {
	ctx, cancel := context.WithCancelCause(ctx)
	return &writer{ctx: ctx, cancel: cancel, w: w, answer: answer, streaming: streaming, timeout: timeout, first: func() {}, written: func() {}}
}

// started reports whether a part of the answer is on its way to the caller.
func (s *writer) started() bool { return s.done != nil }

// Piece sends a piece of a streamed answer, waiting while the caller reads slowly, or keeps it for a whole one.
func (s *writer) Piece(p stream.Piece) error {
	s.pieces++
	if s.pieces == 1 {
		s.first()
	}
	if s.streaming {
		return s.put(event{data: s.answer.Chunk(p)})
	}
	if s.text.Len()+len(p.Text) > maxAnswerBytes {
		return &AnswerTooLargeError{Limit: maxAnswerBytes}
	}
	s.text.WriteString(p.Text)
	return nil
}

func (s *writer) put(e event) error {
	if !s.started() {
		s.start()
	}
	if s.events.Put(s.ctx, e) != nil {
		return context.Cause(s.ctx)
	}
	return nil
}

func (s *writer) start() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.events = ring.New[event](writerEvents)
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		s.write()
	}()
}

// write writes events until the last one or a failure, which cancels the answer.
func (s *writer) write() {
	var b []byte
	for written := s.written; ; written = func() {} {
		e, err := s.events.Take(s.ctx)
		if err != nil {
			return
		}
		b = e.append(b[:0])
		for !e.last && s.events.Len() > 0 {
			if e, err = s.events.Take(s.ctx); err != nil {
				return
			}
			b = e.append(b)
		}
		if s.failure = s.flush(b); s.failure != nil || e.last {
			s.cancel(s.failure)
			return
		}
		written()
	}
}

// cause returns why the caller cannot receive the answer, or nil if it can; net/http ends the context of a connection
// that failed before the writer can say why.
func (s *writer) cause() error {
	if s.ctx.Err() == nil {
		return nil
	}
	if s.started() {
		<-s.done
		if s.failure != nil {
			return s.failure
		}
	}
	return context.Cause(s.ctx)
}

// flush writes bytes to the caller's connection; a caller that takes none for the timeout returns *ReaderStoppedError.
func (s *writer) flush(b []byte) error {
	control := http.NewResponseController(s.w)
	if err := control.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
		return err
	}
	_, err := s.w.Write(b)
	if err == nil {
		err = control.Flush()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &ReaderStoppedError{Timeout: s.timeout}
	}
	return err
}

// finish sends the end of the answer and waits until it is written.
func (s *writer) finish(end stream.End) error {
	if !s.streaming {
		b := s.answer.Complete(s.text.String(), end)
		s.w.Header().Set("Content-Type", "application/json")
		s.w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		return s.flush(b)
	}
	if err := s.put(event{data: s.answer.End(end)}); err != nil {
		return err
	}
	return s.close(event{data: []byte(completion.Done), last: true})
}

// fail ends a started answer with its problem; no Done event follows.
func (s *writer) fail(p *problem.Problem, correlationID string) {
	_ = s.close(event{name: "error", data: problem.Encode(p, correlationID), last: true})
}

// close sends the last event and waits until it is written or has failed.
func (s *writer) close(last event) error {
	err := s.put(last)
	<-s.done
	if s.failure != nil {
		return s.failure
	}
	return err
}

// stop releases what the answer holds; nothing is written afterwards.
func (s *writer) stop() {
	s.cancel(nil)
	if s.started() {
		<-s.done
	}
}

// append adds the event's bytes to b.
func (e event) append(b []byte) []byte {
	if e.name != "" {
		b = append(b, "event: "...)
		b = append(b, e.name...)
		b = append(b, '\n')
	}
	b = append(b, "data: "...)
	b = append(b, e.data...)
	return append(b, '\n', '\n')
}
