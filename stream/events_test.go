package stream

import (
	"errors"
	"io"
	"testing"
)

// TestEventsOfSecondAnswer has a second answer go on with streams: an event that isn't the next one is refused, one without
// an ID as long as none has come in order.
func TestEventsOfSecondAnswer(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second []int64
		resumable     bool
		accepted      int
	}{
		{"next", []int64{4, 5}, []int64{6, 7}, true, 2},
		{"no event before", nil, []int64{4, -1, 5}, true, 3},
		{"from its start", []int64{4, 5}, []int64{4}, true, 0},
		{"gap", []int64{4, 5}, []int64{6, 8}, true, 1},
		{"without ID", []int64{4, 5}, []int64{-1}, true, 0},
		{"without ID after the next", []int64{4, 5}, []int64{6, -1, 7}, true, 3},
		{"after one without ID", []int64{-1}, []int64{-1}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewEvents(-1)
			s.BeginAnswer()
			for _, id := range c.first {
				if err := s.Accept(id); err != nil {
					t.Fatal(err)
				}
			}
			if s.Resumable() != c.resumable {
				t.Errorf("resumable: %v", s.Resumable())
			}
			s.BeginAnswer()
			if s.AcceptComment() != (len(c.first) == 0) {
				t.Errorf("a comment before the first event is passed on: %v", s.AcceptComment())
			}
			accepted := 0
			var err error
			for accepted < len(c.second) && err == nil {
				if err = s.Accept(c.second[accepted]); err == nil {
					accepted++
				}
			}
			var order *EventOrderError
			if accepted != c.accepted || accepted < len(c.second) && !errors.As(err, &order) {
				t.Errorf("accepted %d events, error %v", accepted, err)
			}
		})
	}
}

// TestEventsOfResumedStream has the first answer go on with a stream that a caller resumes: it must begin with the next event.
func TestEventsOfResumedStream(t *testing.T) {
	for id, want := range map[int64]bool{-1: false, 0: false, 3: false, 4: true, 5: false} {
		s := NewEvents(3)
		s.BeginAnswer()
		if err := s.Accept(id); (err == nil) != want {
			t.Errorf("event %d: %v", id, err)
		}
	}
}

// TestEndOfAnswerWithoutEvent ends answers before their first event: the end of a connection isn't that of the stream.
func TestEndOfAnswerWithoutEvent(t *testing.T) {
	s := NewEvents(3)
	s.BeginAnswer()
	if err := s.End(true); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("with its connection: %v", err)
	}
	if err := s.End(false); err != nil {
		t.Errorf("with an end mark: %v", err)
	}
	if err := errors.Join(s.Accept(4), s.End(true)); err != nil {
		t.Errorf("after an event: %v", err)
	}
}
