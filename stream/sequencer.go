package stream

// Sequencer passes the pieces of one attempt in order, each once; it drops pieces of other attempts, late ones and
// duplicates.
type Sequencer struct {
	requestID string
	attempt   int
	next      int
}

// NewSequencer returns a sequencer for an attempt whose first piece has the position next.
func NewSequencer(requestID string, attempt, next int) *Sequencer {
	return &Sequencer{requestID: requestID, attempt: attempt, next: next}
}

// Accept reports whether p is the next piece; a piece beyond the next one is dropped and returns *GapError.
func (s *Sequencer) Accept(p Piece) (bool, error) {
	if !s.Matches(p.RequestID, p.Attempt) || p.Position < s.next {
		return false, nil
	}
	if p.Position > s.next {
		return false, &GapError{RequestID: s.requestID, Want: s.next, Got: p.Position}
	}
	s.next++
	return true, nil
}

// Matches reports whether a piece or an end belongs to the request and the attempt.
func (s *Sequencer) Matches(requestID string, attempt int) bool {
	return requestID == s.requestID && attempt == s.attempt
}

// Close returns e if all pieces before it were accepted, and otherwise *CountError.
func (s *Sequencer) Close(e End) (End, error) {
	if e.Pieces != s.next {
		return End{}, &CountError{RequestID: s.requestID, Want: e.Pieces, Got: s.next}
	}
	return e, nil
}

// Next returns the position of the next piece, which is the number of the answer's pieces before it over all attempts.
func (s *Sequencer) Next() int { return s.next }
