package endpoint

import (
	"bufio"
	"bytes"
	"io"

	"arbutusreel/completion"
	"arbutusreel/stream"
)

// Sizes of the events of a streamed answer.
const (
	maxEventBytes     = 1 << 20
	initialEventBytes = 4096
)

// errorEvent is the name of the server-sent event by which an engine ends a failed answer.
const errorEvent = "error"

// reader reads the answer of one attempt from its server-sent events.
type reader struct {
	requestID string
	attempt   int
	sequencer *stream.Sequencer
	sink      stream.Sink
	end       stream.End
	ended     bool
}

// newReader returns a reader of an attempt whose first piece has the position next.
func newReader(requestID string, attempt, next int, sink stream.Sink) *reader {
	return &reader{requestID: requestID, attempt: attempt, sequencer: stream.NewSequencer(requestID, attempt, next), sink: sink}
}

// read gives the pieces to the sink until the end mark; any other end returns *stream.IncompleteError.
func (a *reader) read(body io.Reader) (stream.End, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialEventBytes), maxEventBytes)
	for scanner.Scan() {
		done, err := a.line(scanner.Bytes())
		if err != nil {
			return stream.End{}, a.incomplete(err)
		}
		if done {
			return a.end, nil
		}
	}
	if err := scanner.Err(); err != nil {
		return stream.End{}, a.incomplete(err)
	}
	return stream.End{}, a.incomplete(io.ErrUnexpectedEOF)
}

func (a *reader) incomplete(cause error) error {
	return &stream.IncompleteError{RequestID: a.requestID, Pieces: a.sequencer.Next(), Cause: cause}
}

// line takes one line of the stream and reports whether it was the end mark.
func (a *reader) line(line []byte) (bool, error) {
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
		return a.data(value)
	}
	return false, nil
}

func (a *reader) data(data []byte) (bool, error) {
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
	return false, a.event(event)
}

// event takes the piece and the end of an event; an event of another request or attempt is dropped.
func (a *reader) event(event completion.Event) error {
	attempt := a.attempt
	if event.HasAttempt {
		attempt = event.Attempt
	}
	if !a.sequencer.Owns(event.ID, attempt) {
		return nil
	}
	if err := a.piece(event); err != nil {
		return err
	}
	if event.FinishReason == "" || a.ended {
		return nil
	}
	return a.finish(event)
}

// piece gives the piece of an event to the sink if it is the next one.
func (a *reader) piece(event completion.Event) error {
	if !event.HasPosition {
		if event.Text != "" {
			return &NoPositionError{}
		}
		return nil
	}
	if a.ended && event.Position >= a.sequencer.Next() {
		return &AfterEndError{Position: event.Position}
	}
	piece := stream.Piece{RequestID: a.requestID, Attempt: a.attempt, Position: event.Position, Text: event.Text}
	ok, err := a.sequencer.Accept(piece)
	if err != nil || !ok {
		return err
	}
	return a.sink.Piece(piece)
}

// finish takes the end of the answer, which must count the pieces accepted if it counts any.
func (a *reader) finish(event completion.Event) error {
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
