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

// Limits of the memory of one answer.
const (
	writerEvents   = 64
	maxAnswerBytes = 8 << 20
)

// event is a server-sent event; the last one ends the answer.
type event struct {
	name string
	data []byte
	last bool
}

// writer is the sink of one answer to a caller. A streamed answer goes through a bounded queue to a goroutine
// that writes it. A caller that reads slowly therefore applies backpressure to the engine, and one that has stopped
// reading cancels the answer.
type writer struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	w         http.ResponseWriter
	answer    completion.Answer
	streaming bool
	timeout   time.Duration
	events    *ring.Queue[event]
	done      chan struct{}
	// failure is the error of the last write; it is read only after done is closed.
	failure error
	text    strings.Builder
	pieces  int
	// onFirstPiece is called when the first piece arrives, and onFirstWrite when it has been written to the caller.
	onFirstPiece, onFirstWrite func()
}

var _ stream.Sink = (*writer)(nil)

// newWriter returns a sink whose context ends when the caller disconnects or doesn't read within the timeout.
func newWriter(ctx context.Context, w http.ResponseWriter, answer completion.Answer, streaming bool, timeout time.Duration) *writer {
	ctx, cancel := context.WithCancelCause(ctx)
	return &writer{ctx: ctx, cancel: cancel, w: w, answer: answer, streaming: streaming, timeout: timeout, onFirstPiece: func() {}, onFirstWrite: func() {}}
}

// started reports whether writing the answer to the caller has begun.
func (s *writer) started() bool { return s.done != nil }

// Piece enqueues a piece of a streamed answer, and blocks while the queue is full. For an answer that is not streamed
// it buffers the piece.
func (s *writer) Piece(p stream.Piece) error {
	s.pieces++
	if s.pieces == 1 {
		s.onFirstPiece()
	}
	if s.streaming {
		return s.enqueue(event{data: s.answer.Chunk(p)})
	}
	if s.text.Len()+len(p.Text) > maxAnswerBytes {
		return &AnswerTooLargeError{Limit: maxAnswerBytes}
	}
	s.text.WriteString(p.Text)
	return nil
}

func (s *writer) enqueue(e event) error {
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
		s.writeEvents()
	}()
}

// writeEvents writes events until the last one or until a write fails, which cancels the answer.
func (s *writer) writeEvents() {
	var b []byte
	for written := s.onFirstWrite; ; written = func() {} {
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

// cause returns why the caller cannot receive the answer, or nil if it can. It waits for the writer's error, since
// net/http may end the context of a failed connection before that error is known.
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

// flush writes bytes to the caller's connection. It returns *ReaderStoppedError if the caller reads nothing within the
// timeout.
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
	if err := s.enqueue(event{data: s.answer.End(end)}); err != nil {
		return err
	}
	return s.close(event{data: []byte(completion.Done), last: true})
}

// fail ends a started answer with an error event; no Done event follows.
func (s *writer) fail(p *problem.Problem, correlationID string) {
	_ = s.close(event{name: "error", data: problem.Encode(p, correlationID), last: true})
}

// close enqueues the last event and waits until it is written or has failed.
func (s *writer) close(last event) error {
	err := s.enqueue(last)
	<-s.done
	if s.failure != nil {
		return s.failure
	}
	return err
}

// stop releases the resources of the answer; nothing is written afterwards.
func (s *writer) stop() {
	s.cancel(nil)
	if s.started() {
		<-s.done
	}
}

// append appends the encoded event to b.
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
