package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"arbutusreel/dispatch"
	"arbutusreel/membership"
)

// maxReplyBytes is the longest answer of a plain service.
const maxReplyBytes = 8 << 20

// Plain speaks to plain services, with a new connection for each call so that the transport never resends one.
type Plain struct {
	client *http.Client
}

var _ dispatch.Plain = (*Plain)(nil)

// NewPlain returns a client of plain services.
func NewPlain() *Plain {
	return &Plain{client: &http.Client{Transport: newTransport(false), CheckRedirect: refuseRedirect}}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// once is a body that can be read only once, so that it cannot be sent again.
type once struct{ io.Reader }

// Call sends the call once; it returns *NotSentError if no connection was made and *DoubtError if no whole answer came.
func (p *Plain) Call(ctx context.Context, e membership.Endpoint, r dispatch.Request) (dispatch.Reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, "http://"+e.Address+r.Path, once{newBody(r.Body)})
	if err != nil {
		return dispatch.Reply{}, &NotSentError{Endpoint: e.Name, Cause: err}
	}
	req.ContentLength = int64(len(r.Body))
	req.Header.Set("Content-Type", r.ContentType)
	req.Header.Set(requestIDHeader, r.CorrelationID)
	resp, err := p.client.Do(req)
	if err != nil && !connected.Load() {
		return dispatch.Reply{}, &NotSentError{Endpoint: e.Name, Cause: err}
	}
	if err != nil {
		return dispatch.Reply{}, &DoubtError{Endpoint: e.Name, Cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return dispatch.Reply{}, &DoubtError{Endpoint: e.Name, Cause: err}
	}
	return dispatch.Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body, Endpoint: e.Name}, nil
}
