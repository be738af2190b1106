package endpoint

import (
	"bufio"
	"bytes"
	"io"

	"arbutusreel/completion"
	"arbutusreel/stream"
)

// Limits of a streamed answer, in bytes.
const (
	// maxEventBytes bounds a line, and initialEventBytes is the initial size of its buffer.
	maxEventBytes     = 1 << 20
	initialEventBytes = 4096
	// maxBytesWithoutPiece bounds what is read from one piece to the next.
	maxBytesWithoutPiece = 2 << 20
)

// errorEvent is the name of the server-sent event with which an engine ends a failed answer.
const errorEvent = "error"

// answerReader reads the answer of one attempt from server-sent events.
type answerReader struct {
	requestID string
	attempt   int
	sequencer *stream.Sequencer
	sink      stream.Sink
	end       stream.End
	ended     bool
}

// newAnswerReader returns a reader for an attempt whose first piece has the position next.
func newAnswerReader(requestID string, attempt, next int, sink stream.Sink) *answerReader {
	return &answerReader{requestID: requestID, attempt: attempt, sequencer: stream.NewSequencer(requestID, attempt, next), sink: sink}
}

// read passes the pieces to the sink until the end mark; any other end returns *stream.IncompleteError.
func (a *answerReader) read(body io.Reader) (stream.End, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialEventBytes), maxEventBytes)
	next, unused := a.sequencer.Next(), 0
	for scanner.Scan() {
		if unused += len(scanner.Bytes()) + 1; unused > maxBytesWithoutPiece {
			return stream.End{}, a.incomplete(&NoPieceError{Limit: maxBytesWithoutPiece})
		}
		done, err := a.handleLine(scanner.Bytes())
		if err != nil {
			return stream.End{}, a.incomplete(err)
		}
		if done {
			return a.end, nil
		}
		if a.sequencer.Next() != next {
			next, unused = a.sequencer.Next(), 0
		}
	}
	if err := scanner.Err(); err != nil {
		return stream.End{}, a.incomplete(err)
	}
	return stream.End{}, a.incomplete(io.ErrUnexpectedEOF)
}

func (a *answerReader) incomplete(cause error) error {
	return &stream.IncompleteError{RequestID: a.requestID, Pieces: a.sequencer.Next(), Cause: cause}
}

// handleLine processes one line of the stream and reports whether it was the end mark.
func (a *answerReader) handleLine(line []byte) (bool, error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return false, nil
	}
	value = bytes.TrimSpace(value)
	switch string(name) {
	case "event":
		if string(value) == errorEvent {
			return false, &EngineError{}
		}
	case "data":
		return a.handleData(value)
	}
	return false, nil
}

func (a *answerReader) handleData(data []byte) (bool, error) {
	if string(data) == completion.Done {
		if !a.ended {
			return false, &NoFinishReasonError{}
		}
		return true, nil
	}
	event, err := completion.DecodeChunk(data)
	if err != nil {
		return false, err
	}
	return false, a.handleEvent(event)
}

// handleEvent processes the piece and the end in an event. It drops events of other requests and attempts.
func (a *answerReader) handleEvent(event completion.Event) error {
	attempt := a.attempt
	if event.HasAttempt {
		attempt = event.Attempt
	}
	if !a.sequencer.Matches(event.ID, attempt) {
		return nil
	}
	if err := a.handlePiece(event); err != nil {
		return err
	}
	if event.FinishReason == "" || a.ended {
		return nil
	}
	return a.handleEnd(event)
}

// handlePiece passes the piece of an event to the sink if it is the next one.
func (a *answerReader) handlePiece(event completion.Event) error {
	if !event.HasPosition {
		if event.Text != "" {
			return &NoPositionError{}
		}
		return nil
	}
	if a.ended && event.Position >= a.sequencer.Next() {
		return &PieceAfterEndError{Position: event.Position}
	}
	piece := stream.Piece{RequestID: a.requestID, Attempt: a.attempt, Position: event.Position, Text: event.Text}
	ok, err := a.sequencer.Accept(piece)
	if err != nil || !ok {
		return err
	}
	return a.sink.Piece(piece)
}

// handleEnd records the end of the answer. If the end states a number of pieces, it must match the pieces accepted.
func (a *answerReader) handleEnd(event completion.Event) error {
	end := stream.End{
		FinishReason: event.FinishReason,
		Pieces:       a.sequencer.Next(),
		PromptTokens: event.PromptTokens,
		CachedTokens: event.CachedTokens,
	}
	if event.HasUsage {
		end.Pieces = event.Pieces
	}
	var err error
	a.end, err = a.sequencer.Close(end)
	a.ended = err == nil
	return err
}
