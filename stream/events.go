package stream

import (
	"fmt"
	"io"
)

// Events decides which server-sent events of a stream are passed on, if several answers may feed it one after the other.
type Events struct {
	// last is the ID of the last event; negative if there was none.
	last int64
	// begun reports whether an event was passed on, and continued whether the present answer goes on with events before it.
	begun, continued bool
	// answered reports whether the present answer has had an event.
	answered bool
}

// NewEvents returns the events of a stream of which the caller already has those up to the ID last, if it is not negative. The
// first answer goes on with it then.
func NewEvents(last int64) *Events { return &Events{last: last} }

// Last returns the ID of the last event; it is negative if there was none.
func (s *Events) Last() int64 { return s.last }

// Resumable reports whether another answer may go on with the stream: it is known after which event, or has no event yet.
func (s *Events) Resumable() bool { return s.last >= 0 || !s.begun }

// BeginAnswer begins an answer that feeds the stream from now on.
func (s *Events) BeginAnswer() { s.continued, s.answered = s.begun || s.last >= 0, false }

// AcceptComment reports whether a comment is passed on. One that an answer sends before it has shown that it goes on with
// the stream is dropped.
func (s *Events) AcceptComment() bool { return s.answered || !s.begun }

// Accept returns *EventOrderError if an event of the present answer must not be passed on. The ID is negative if it has none.
// IDs increase. An answer that goes on with a stream must begin with the next event, as an event without an ID may be an error.
func (s *Events) Accept(id int64) error {
	outOfOrder := id >= 0 && id <= s.last
	if outOfOrder || s.continued && id != s.last+1 && (id >= 0 || !s.answered) {
		return &EventOrderError{Want: s.last + 1, Got: id}
	}
	s.begun, s.answered = true, true
	if id >= 0 {
		s.last = id
	}
	return nil
}

// End returns io.ErrUnexpectedEOF if the orderly end of the present answer is not the end of the stream: that of a
// connection may also be the end of the process that answered, if no event has shown that it was able to.
func (s *Events) End(endsWithConnection bool) error {
	if endsWithConnection && !s.answered {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// EventOrderError reports an event that does not follow the one before it; Got is negative if it has no ID.
type EventOrderError struct {
	Want, Got int64
}

// Error names both event numbers.
func (e *EventOrderError) Error() string {
	if e.Got < 0 {
		return fmt.Sprintf("an event without an ID arrived instead of event %d", e.Want)
	}
	return fmt.Sprintf("event %d arrived instead of event %d", e.Got, e.Want)
}
