package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"arbutusreel/completion"
	"arbutusreel/dispatch"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/stream"
)

// maxEventBytes is the longest event of a streamed answer.
const maxEventBytes = 1 << 20

// maxProblemBytes is the longest body of a refusal that is read.
const maxProblemBytes = 64 << 10

// Header fields that an engine understands besides the body.
const (
	requestIDHeader = "X-Request-Id"
	attemptHeader   = "X-Attempt"
)

// Models speaks to model engines.
type Models struct {
	client *http.Client
}

var _ dispatch.Models = (*Models)(nil)

// NewModels returns a client of model engines that keeps connections open.
func NewModels() *Models {
	return &Models{client: &http.Client{Transport: newTransport(true)}}
}

// Generate sends the request to the engine and its pieces to the sink; a stream that stops early returns *stream.IncompleteError.
func (m *Models) Generate(ctx context.Context, e membership.Endpoint, r dispatch.Request, attempt dispatch.Attempt, sink stream.Sink) (stream.End, error) {
	body, err := engineBody(r.Body, attempt)
	if err != nil {
		return stream.End{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+r.Path, bytes.NewReader(body))
	if err != nil {
		return stream.End{}, &UnreachableError{Endpoint: e.Name, Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(requestIDHeader, r.CorrelationID)
	req.Header.Set(attemptHeader, strconv.Itoa(attempt.Number))
	resp, err := m.client.Do(req)
	if err != nil {
		return stream.End{}, &UnreachableError{Endpoint: e.Name, Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return stream.End{}, refusal(e, resp)
	}
	return readEvents(resp.Body, stream.NewOrder(r.CorrelationID, attempt.Number, attempt.Next), r.CorrelationID, attempt.Number, sink)
}

// resume asks an engine to go on after the text that an earlier attempt has sent.
func resume(attempt dispatch.Attempt) ([]byte, error) {
	text, err := json.Marshal(attempt.Text)
	if err != nil {
		return nil, &completion.MalformedError{Cause: err}
	}
	return json.Marshal(map[string]json.RawMessage{
		"position": json.RawMessage(strconv.Itoa(attempt.Next)),
		"text":     text,
	})
}

// engineBody returns the body with streaming asked for, whatever the caller asked, from the attempt's first piece on.
func engineBody(body []byte, attempt dispatch.Attempt) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, &completion.MalformedError{Cause: err}
	}
	fields["stream"] = json.RawMessage("true")
	if attempt.Next > 0 {
		from, err := resume(attempt)
		if err != nil {
			return nil, err
		}
		fields["resume"] = from
	}
	return json.Marshal(fields)
}

// refusal returns the problem of an engine's answer that is no stream.
func refusal(e membership.Endpoint, resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if p, ok := problem.Decode(b); ok {
		return p
	}
	return &StatusError{Endpoint: e.Name, Status: resp.StatusCode}
}

// readEvents reads server-sent events until the end of the answer.
func readEvents(body io.Reader, order *stream.Order, requestID string, attempt int, sink stream.Sink) (stream.End, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var end stream.End
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == completion.Done {
			return finish(end, order, requestID)
		}
		event, err := completion.DecodeChunk([]byte(data))
		if err != nil {
			return stream.End{}, &stream.IncompleteError{RequestID: requestID, Pieces: order.Next(), Cause: err}
		}
		if err := deliver(event, order, attempt, sink); err != nil {
			return stream.End{}, &stream.IncompleteError{RequestID: requestID, Pieces: order.Next(), Cause: err}
		}
		if event.FinishReason != "" {
			end = stream.End{FinishReason: event.FinishReason, PromptTokens: event.PromptTokens, CachedTokens: event.CachedTokens}
		}
	}
	cause := scanner.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return stream.End{}, &stream.IncompleteError{RequestID: requestID, Pieces: order.Next(), Cause: cause}
}

// deliver gives the piece of an event to the sink if it is the next one.
func deliver(event completion.Event, order *stream.Order, attempt int, sink stream.Sink) error {
	if !event.HasPosition {
		return nil
	}
	piece := stream.Piece{RequestID: event.ID, Attempt: attempt, Position: event.Position, Text: event.Text}
	ok, err := order.Accept(piece)
	if err != nil || !ok {
		return err
	}
	return sink.Piece(piece)
}

func finish(end stream.End, order *stream.Order, requestID string) (stream.End, error) {
	if end.FinishReason == "" {
		return stream.End{}, &stream.IncompleteError{RequestID: requestID, Pieces: order.Next(), Cause: &NoFinishReasonError{}}
	}
	end.Pieces = order.Next()
	return end, nil
}
