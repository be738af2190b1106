package dispatch

import (
	"context"
	"strings"
	"time"

	"arbutusreel/stream"
)

// recorder passes the pieces of all attempts of a request on and keeps what a further attempt needs to go on.
type recorder struct {
	sink     stream.Sink
	next     int
	text     strings.Builder
	failed   bool
	watching *watch
	used     func(pieces int)
	// began is called at the first piece, and begun tells that this was done.
	began func()
	begun bool
}

var _ stream.Sink = (*recorder)(nil)

func newRecorder(sink stream.Sink, from Attempt) *recorder {
	r := &recorder{sink: sink, next: from.Next}
	r.text.WriteString(from.Text)
	return r
}

// attempt returns the attempt that goes on after the last piece.
func (r *recorder) attempt(number int) Attempt {
	return Attempt{Number: number, Next: r.next, Text: r.text.String()}
}

// Piece passes the next piece on; one that was passed on before is dropped, and a later one returns *PositionError.
func (r *recorder) Piece(p stream.Piece) error {
	if p.Position < r.next {
		return nil
	}
	if p.Position > r.next {
		return &PositionError{Want: r.next, Got: p.Position}
	}
	r.watching.stop()
	if err := r.sink.Piece(p); err != nil {
		r.failed = true
		return err
	}
	r.begin()
	r.next++
	r.text.WriteString(p.Text)
	r.watching.progress()
	if r.watching.pieces == 1 || r.next%piecesPerUse == 0 {
		r.used(r.next)
	}
	return nil
}

// begin notes that the answer has begun.
func (r *recorder) begin() {
	if r.begun || r.began == nil {
		return
	}
	r.begun = true
	r.began()
}

// watch begins an attempt.
func (r *recorder) watch(w *watch, used func(int)) {
	r.watching = w
	r.used = used
}

func (r *recorder) unwatch() { r.watching.stop() }

// watch cancels an attempt that makes no progress. The time in which the caller takes a piece does not count.
type watch struct {
	timer  *time.Timer
	later  time.Duration
	pieces int
}

func newWatch(target string, first, later time.Duration, cancel context.CancelCauseFunc) *watch {
	w := &watch{later: later}
	w.timer = time.AfterFunc(first, func() { cancel(&StalledError{Target: target, Timeout: first}) })
	return w
}

func (w *watch) stop() { w.timer.Stop() }

func (w *watch) progress() {
	w.pieces++
	w.timer.Reset(w.later)
}
