package stream

// Order passes the pieces of one attempt in order, each once; it drops pieces of other attempts, late ones and
// duplicates.
type Order struct {
	requestID string
	attempt   int
	next      int
}

// NewOrder returns an order for an attempt whose first piece has the position next.
func NewOrder(requestID string, attempt, next int) *Order {
	return &Order{requestID: requestID, attempt: attempt, next: next}
}

// Accept reports whether p is the next piece; a piece beyond the next one is dropped and returns *GapError.
func (o *Order) Accept(p Piece) (bool, error) {
	if !o.Owns(p.RequestID, p.Attempt) || p.Position < o.next {
		return false, nil
	}
	if p.Position > o.next {
		return false, &GapError{RequestID: o.requestID, Want: o.next, Got: p.Position}
	}
	o.next++
	return true, nil
}

// Owns reports whether a piece or an end belongs to the request and the attempt.
func (o *Order) Owns(requestID string, attempt int) bool {
	return requestID == o.requestID && attempt == o.attempt
}

// Close returns e if all pieces before it were accepted, and otherwise *CountError.
func (o *Order) Close(e End) (End, error) {
	if e.Pieces != o.next {
		return End{}, &CountError{RequestID: o.requestID, Want: e.Pieces, Got: o.next}
	}
	return e, nil
}

// Next returns the position of the next piece, which is the number of pieces accepted.
func (o *Order) Next() int { return o.next }
