package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"arbutusreel/completion"
	"arbutusreel/dispatch"
	"arbutusreel/exchange"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/stream"
)

// maxProblemBytes is the number of bytes read from the body of an error response.
const maxProblemBytes = 64 << 10

// Header fields that an engine reads.
const (
	requestIDHeader = "X-Request-Id"
	attemptHeader   = "X-Attempt"
)

// ModelClient sends requests to model engines.
type ModelClient struct {
	client *http.Client
}

var _ dispatch.ModelCaller = (*ModelClient)(nil)

// NewModelClient returns a client of model engines that reuses connections.
func NewModelClient() *ModelClient {
	return &ModelClient{client: &http.Client{Transport: newKeepingTransport()}}
}

// Generate sends the request to the engine and passes the pieces of its answer to the sink. It returns
// *stream.IncompleteError if the stream stops early.
func (m *ModelClient) Generate(ctx context.Context, e membership.Endpoint, r dispatch.Request, attempt dispatch.Attempt, sink stream.Sink) (stream.End, error) {
	body, err := buildEngineBody(r, attempt)
	if err != nil {
		return stream.End{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reused := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }})
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
		return stream.End{}, responseError(e, resp, r.CorrelationID, reused)
	}
	return newAnswerReader(r.CorrelationID, attempt.Number, attempt.Next, sink).read(resp.Body)
}

// Connects reports whether a connection to the endpoint succeeds.
func (m *ModelClient) Connects(ctx context.Context, e membership.Endpoint) bool {
	connected, _ := exchange.Probe(ctx, e.Address, connectTimeout)
	return connected
}

// RefusesConnections reports whether no process listens at the engine's address any more, after a connection to it broke.
func (m *ModelClient) RefusesConnections(ctx context.Context, e membership.Endpoint) bool {
	return exchange.RefusesConnections(ctx, e.Address, connectTimeout)
}

// resumePoint asks an engine to continue after the text that earlier attempts have sent.
type resumePoint struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

// buildEngineBody returns the request body for the engine: always with streaming, whatever the caller asked for, and
// starting at the first piece of the attempt.
func buildEngineBody(r dispatch.Request, attempt dispatch.Attempt) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, &completion.MalformedError{Cause: err}
	}
	fields["stream"] = json.RawMessage("true")
	fields["priority"] = json.RawMessage(strconv.Itoa(r.Priority))
	fields["reserveTokens"] = json.RawMessage(strconv.Itoa(attempt.Reserve))
	delete(fields, "resume")
	if attempt.Next > 0 {
		from, err := json.Marshal(resumePoint{Position: attempt.Next, Text: attempt.Text})
		if err != nil {
			return nil, &completion.MalformedError{Cause: err}
		}
		fields["resume"] = from
	}
	return json.Marshal(fields)
}

// responseError returns the problem in an error response of an engine, or *StatusError if there is none. A problem that does
// not name the request is one only on a new connection: on a reused one it may belong to an earlier request.
func responseError(e membership.Endpoint, resp *http.Response, id string, reused bool) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if p, ok := problem.Decode(b); ok && (!reused || problem.CorrelationID(b) == id) {
		return p
	}
	return &StatusError{Endpoint: e.Name, Status: resp.StatusCode}
}
