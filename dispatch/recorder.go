package dispatch

import (
	"context"
	"strings"
	"time"

	"arbutusreel/origin"
	"arbutusreel/stream"
)

// recorder passes on the pieces of all attempts of a request and records what a further attempt needs to resume the
// answer.
type recorder struct {
	sink stream.Sink
	// next is the position of the next piece, and text the text of all pieces before it.
	next int
	text strings.Builder
	// began is the origin of the first piece.
	began origin.Origin
	// endpoint is the origin of the attempt's pieces, or not known if another region sends them with their origin.
	endpoint   origin.Origin
	sinkFailed bool
	watchdog   *watchdog
	onPieces   func(pieces int)
	// onStart is called at the first piece; started reports whether it was.
	onStart func()
	started bool
}

var _ stream.Sink = (*recorder)(nil)

func newRecorder(sink stream.Sink, from Attempt) *recorder {
	r := &recorder{sink: sink, next: from.Next, began: from.Began}
	r.text.WriteString(from.Text)
	return r
}

// attempt returns the attempt that resumes the answer after the last piece.
func (r *recorder) attempt(number int) Attempt {
	return Attempt{Number: number, Next: r.next, Text: r.text.String(), Began: r.began}
}

// Piece passes the next piece on; one that was passed on before is dropped, one that leaves a gap returns
// *PositionError, and one of another origin than the first piece returns *VersionError.
func (r *recorder) Piece(p stream.Piece) error {
	if p.Position < r.next {
		return nil
	}
	if p.Position > r.next {
		return &PositionError{Want: r.next, Got: p.Position}
	}
	if r.endpoint.Known() {
		p.Origin = r.endpoint
	}
	if r.next > 0 && p.Origin != r.began {
		return &VersionError{Began: r.began, Got: p.Origin}
	}
	r.watchdog.stop()
	if err := r.sink.Piece(p); err != nil {
		r.sinkFailed = true
		return err
	}
	r.began = p.Origin
	r.markStarted()
	r.next++
	r.text.WriteString(p.Text)
	r.watchdog.progress()
	if r.watchdog.pieces == 1 || r.next%reservationUpdatePieces == 0 {
		r.onPieces(r.next)
	}
	return nil
}

// markStarted calls onStart once, at the start of the answer.
func (r *recorder) markStarted() {
	if r.started || r.onStart == nil {
		return
	}
	r.started = true
	r.onStart()
}

// beginAttempt sets the origin of the endpoint and the watchdog of an attempt, and the function that receives the number of pieces of the answer so
// far, over all attempts.
func (r *recorder) beginAttempt(endpoint origin.Origin, w *watchdog, onPieces func(int)) {
	r.endpoint = endpoint
	r.watchdog = w
	r.onPieces = onPieces
}

func (r *recorder) endAttempt() { r.watchdog.stop() }

// watchdog cancels an attempt that makes no progress. The time that the caller needs to accept a piece does not
// count.
type watchdog struct {
	timer *time.Timer
	// laterTimeout is the time-out for each piece after the first one of the attempt.
	laterTimeout time.Duration
	// pieces is the number of pieces of the attempt.
	pieces int
}

func newWatchdog(target string, first, later time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{laterTimeout: later}
	w.timer = time.AfterFunc(first, func() { cancel(&StalledError{Target: target, Timeout: first}) })
	return w
}

func (w *watchdog) stop() { w.timer.Stop() }

func (w *watchdog) progress() {
	w.pieces++
	w.timer.Reset(w.laterTimeout)
}
