package stream

// Order lets the pieces of one attempt through in order and drops foreign, late and doubled ones.
type Order struct {
	requestID string
	attempt   int
	next      int
}

// NewOrder returns an order for an attempt whose first piece has the position next.
func NewOrder(requestID string, attempt, next int) *Order {
	return &Order{requestID: requestID, attempt: attempt, next: next}
}

// Accept reports whether p is the next piece; a piece beyond the next one returns *GapError.
func (o *Order) Accept(p Piece) (bool, error) {
	if p.RequestID != o.requestID || p.Attempt != o.attempt || p.Position < o.next {
		return false, nil
	}
	if p.Position > o.next {
		return false, &GapError{RequestID: o.requestID, Want: o.next, Got: p.Position}
	}
	o.next++
	return true, nil
}

// Next returns the position of the next piece, which is the number of pieces accepted.
func (o *Order) Next() int { return o.next }
