package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"arbutusreel/problem"
)

const (
	// maxInlineBody is the largest body, in bytes, that is written before the response is read; it fits into the socket
	// buffers.
	maxInlineBody = 8 << 10
	// maxHeadBytes bounds the heads that are read for one request: that of its response, and those of the informational
	// and unmatched responses before it.
	maxHeadBytes = 32 << 10
	// maxUnmatchedResponses is the number of responses to other requests that are skipped on one connection, and
	// maxUnmatchedBytes bounds their bodies.
	maxUnmatchedResponses = 4
	maxUnmatchedBytes     = 1 << 20
	// defaultIdleLimit is how long a connection is kept if the endpoint announces no idle limit.
	defaultIdleLimit = 4 * time.Second
	// idleLimitFraction is the fraction of the announced idle limit that is used, because the endpoint starts to count
	// earlier.
	idleLimitFraction = 0.7
)

// Request is an HTTP request with its complete body.
type Request struct {
	Method string
	// Target is the request target as the caller sent it; it is never rewritten.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Repeatable reports that the request may run again, so that a connection that has been idle for longer may be
	// reused.
	Repeatable bool
	// ID identifies the request. A request without one gets a connection of its own, as no response could be matched to
	// it on a kept one.
	ID string
	// ResponseID returns the identifier that a response echoes; it is empty if there is none.
	ResponseID func(h http.Header) string
}

// Response is a response whose header has arrived.
type Response struct {
	Status int
	Header http.Header
	// Fresh reports that the connection was opened for this request.
	Fresh bool
	// EndsWithConnection reports that the body has neither a length nor chunks: every orderly end of the connection ends
	// it.
	EndsWithConnection bool

	body      io.ReadCloser
	conn      *connection
	pool      *Pool
	stop      func() bool
	upload    *upload
	keepAlive bool
	done      bool
}

// head returns the encoded request line and header.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// Header values of a parsed request contain no line breaks; Write would replace them anyway.
	if err := r.Header.Write(&b); err != nil {
		return nil
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// owns reports whether a response belongs to the request. One without an identifier does so only if it is the first on
// a new connection: on a kept one it may repeat the response to an earlier request, also if it is a rejection.
func (r *Request) owns(response *http.Response, first bool) bool {
	if echoed := r.ResponseID(response.Header); echoed != "" {
		return echoed == r.ID
	}
	return first
}

// Send sends the request to the address and returns its response once the header has arrived; the body is read with
// Response.Read. A failure is of type *Error.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.getConn(ctx, address, r)
	if err != nil {
		return nil, &Error{Address: address, Stage: Connecting, Outcome: problem.NotRun, Cause: err}
	}
	reused := c.requestCount > 0
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	fail := func(stage Stage, outcome problem.Outcome, err error) error {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return &Error{Address: address, Stage: stage, Outcome: outcome, Reused: reused, Cause: err}
	}
	head := r.head()
	u, n, err := write(c, head, r.Body)
	if err != nil {
		outcome := problem.Unknown
		if n < len(head) {
			outcome = problem.NotRun
		}
		return nil, fail(Writing, outcome, err)
	}
	c.responses.begin(u, maxHeadBytes)
	response, err := readResponse(c, r, !reused) //nolint:bodyclose // Response.Close closes the connection, and with it the body.
	if err != nil {
		return nil, fail(Awaiting, problem.Unknown, err)
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Fresh: !reused, EndsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0, body: response.Body,
		conn: c, pool: p, stop: stop, upload: u, keepAlive: !response.Close && response.ProtoAtLeast(1, 1),
	}, nil
}

// write sends the header and the body. A body of more than maxInlineBody bytes is sent in the background while the
// response is awaited.
func write(c *connection, head, body []byte) (u *upload, n int, err error) {
	if len(body) <= maxInlineBody {
		n, err = c.Write(append(head, body...))
		return finishedUpload(), n, err
	}
	if n, err = c.Write(head); err != nil {
		return nil, n, err
	}
	return startUpload(func() error {
		_, err := c.Write(body)
		return err
	}), n, nil
}

// readResponse reads the header of the response that belongs to the request; it skips informational responses and up to
// maxUnmatchedResponses responses to other requests.
func readResponse(c *connection, r *Request, fresh bool) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	unmatchedBytes := int64(maxUnmatchedBytes)
	for unmatched := 0; unmatched <= maxUnmatchedResponses; {
		response, err := c.responses.next(request)
		if err != nil {
			return nil, err
		}
		if r.owns(response, fresh && unmatched == 0) {
			return response, nil
		}
		unmatched++
		c.unmatched = true
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, unmatchedBytes))
		if unmatchedBytes -= n; unmatchedBytes == 0 {
			return nil, &UnmatchedBodyError{Limit: maxUnmatchedBytes}
		}
		if err != nil || response.Close {
			return nil, &UnmatchedResponsesError{Responses: unmatched}
		}
	}
	return nil, &UnmatchedResponsesError{Responses: maxUnmatchedResponses}
}

// Read reads the body; it returns io.EOF only at the end of a complete response.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		r.release()
	}
	return n, err
}

// Discard reads the rest of a short body, so that the connection can be reused. A body that does not end within limit
// bytes and the wait is given up with Close.
func (r *Response) Discard(limit int64, wait time.Duration) {
	defer r.Close()
	if r.done || r.conn.SetReadDeadline(time.Now().Add(wait)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r, limit))
}

// release returns the connection to the pool if the exchange left it in a reusable state, and closes it otherwise.
func (r *Response) release() {
	if r.done {
		return
	}
	r.done = true
	if !r.stop() || !r.keepAlive || r.conn.unmatched || r.conn.responses.reader.Buffered() > 0 || !r.upload.written() {
		_ = r.conn.Close()
		return
	}
	r.conn.idleLimit = idleLimit(r.Header, r.pool.idleLimits.Unannounced)
	r.pool.putIdle(r.conn)
}

// Close ends the exchange. If the response was not read to its end, it closes the connection, which makes the endpoint
// stop its work.
func (r *Response) Close() {
	if r.done {
		return
	}
	r.done = true
	r.stop()
	_ = r.conn.Close()
}

// idleLimit returns how long an idle connection may be kept, according to the Keep-Alive header of the response, or
// unannounced without one.
func idleLimit(h http.Header, unannounced time.Duration) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if ok && strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(float64(seconds) * idleLimitFraction * float64(time.Second))
		}
	}
	return unannounced
}
