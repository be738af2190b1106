package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"arbutusreel/completion"
	"arbutusreel/dispatch"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/stream"
)

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

var _ dispatch.ModelCaller = (*Models)(nil)

// NewModels returns a client of model engines that keeps connections open.
func NewModels() *Models {
	return &Models{client: &http.Client{Transport: newTransport(true)}}
}

// Generate sends the request to the engine and its pieces to the sink; a stream that stops early returns *stream.IncompleteError.
func (m *Models) Generate(ctx context.Context, e membership.Endpoint, r dispatch.Request, attempt dispatch.Attempt, sink stream.Sink) (stream.End, error) {
	body, err := engineBody(r, attempt)
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
	return newReader(r.CorrelationID, attempt.Number, attempt.Next, sink).read(resp.Body)
}

// resume asks an engine to go on after the text that earlier attempts have sent.
type resume struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

// engineBody returns the body with streaming asked for, whatever the caller asked, from the attempt's first piece on.
func engineBody(r dispatch.Request, attempt dispatch.Attempt) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, &completion.MalformedError{Cause: err}
	}
	fields["stream"] = json.RawMessage("true")
	fields["priority"] = json.RawMessage(strconv.Itoa(r.Priority))
	fields["reserveTokens"] = json.RawMessage(strconv.Itoa(attempt.Reserve))
	delete(fields, "resume")
	if attempt.Next > 0 {
		from, err := json.Marshal(resume{Position: attempt.Next, Text: attempt.Text})
		if err != nil {
			return nil, &completion.MalformedError{Cause: err}
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
