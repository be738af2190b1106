package endpoint

import (
	"context"
	"io"
	"net/http"

	"arbutusreel/dispatch"
	"arbutusreel/exchange"
	"arbutusreel/membership"
)

// maxReplyBytes is the largest answer of a plain service.
const maxReplyBytes = 8 << 20

// PlainClient sends calls to plain services. Each call has its own transport and connection, so that none is ever sent
// again.
type PlainClient struct{}

var _ dispatch.PlainCaller = (*PlainClient)(nil)

// NewPlainClient returns a client of plain services.
func NewPlainClient() *PlainClient { return &PlainClient{} }

// Connects reports whether a connection to the endpoint succeeds.
func (p *PlainClient) Connects(ctx context.Context, e membership.Endpoint) bool {
	connected, _ := exchange.Probe(ctx, e.Address, connectTimeout)
	return connected
}

// RefusesConnections reports whether no process listens at the endpoint's address any more, after a connection to it broke.
func (p *PlainClient) RefusesConnections(ctx context.Context, e membership.Endpoint) bool {
	return exchange.RefusesConnections(ctx, e.Address, connectTimeout)
}

func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// singleReadBody is a body that can be read only once, so that it cannot be sent again.
type singleReadBody struct{ io.Reader }

// Call sends the call once. It returns *NotSentError if no byte was sent, and *OutcomeUnknownError if no complete
// answer arrived.
func (p *PlainClient) Call(ctx context.Context, e membership.Endpoint, r dispatch.Request) (dispatch.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+e.Address+r.Path, singleReadBody{newOpaqueBody(r.Body)})
	if err != nil {
		return dispatch.Reply{}, &NotSentError{Endpoint: e.Name, Cause: err}
	}
	req.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set("Content-Type", r.ContentType)
	req.Header.Set(requestIDHeader, r.CorrelationID)
	g := &sendOnce{sendBy: r.SendBy}
	client := &http.Client{Transport: g.newTransport(), CheckRedirect: rejectRedirect}
	resp, err := client.Do(req)
	if err != nil && !g.close() {
		return dispatch.Reply{}, &NotSentError{Endpoint: e.Name, Cause: err}
	}
	if err != nil {
		return dispatch.Reply{}, &OutcomeUnknownError{Endpoint: e.Name, Cause: err}
	}
	return readReply(e, resp)
}

// readReply reads a complete answer; an incomplete one returns *OutcomeUnknownError.
func readReply(e membership.Endpoint, resp *http.Response) (dispatch.Reply, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = &AnswerTooLongError{Endpoint: e.Name, Limit: maxReplyBytes}
	}
	if err != nil {
		return dispatch.Reply{}, &OutcomeUnknownError{Endpoint: e.Name, Cause: err}
	}
	return dispatch.Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body, Endpoint: e.Name}, nil
}
