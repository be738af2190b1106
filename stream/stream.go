package stream

import (
	"fmt"

	"arbutusreel/origin"
)

// Piece is one token of an answer at a position, from one attempt of a request.
type Piece struct {
	RequestID string
	Attempt   int
	Position  int
	Text      string
	// Origin is the service and the software version of the endpoint that wrote the piece.
	Origin origin.Origin
}

// End completes an answer; Pieces is the number of pieces before it, over all attempts.
type End struct {
	FinishReason string
	Pieces       int
	PromptTokens int
	CachedTokens int
}

// Sink receives the pieces of one answer in order; an error stops the answer.
type Sink interface {
	Piece(p Piece) error
}

// GapError reports a piece whose position is beyond the next one expected.
type GapError struct {
	RequestID string
	Want      int
	Got       int
}

// Error names the request and the positions.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream of request %q: position %d where %d was expected", e.RequestID, e.Got, e.Want)
}

// CountError reports an end of an answer whose number of pieces differs from those accepted.
type CountError struct {
	RequestID string
	Want      int
	Got       int
}

// Error names the request and both numbers of pieces.
func (e *CountError) Error() string {
	return fmt.Sprintf("stream of request %q: the end counts %d pieces, %d were accepted", e.RequestID, e.Want, e.Got)
}

// IncompleteError reports an answer that stopped before its end.
type IncompleteError struct {
	RequestID string
	Pieces    int
	Cause     error
}

// Error names the request, the pieces received and the cause.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("stream of request %q stopped after %d pieces: %v", e.RequestID, e.Pieces, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }
