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
	// inlineBody is the largest body that is written before the answer is awaited; it fits into a socket's buffers.
	inlineBody = 8 << 10
	// maxForeignAnswers is the number of answers to other requests that are passed over on one connection.
	maxForeignAnswers = 4
	// defaultIdleLimit is how long a connection is kept whose endpoint names no limit.
	defaultIdleLimit = 4 * time.Second
	// idleShare is the part of a named idle limit that is used, as the endpoint counts from an earlier moment.
	idleShare = 0.7
)

// Request is a request with its whole body.
type Request struct {
	Method string
	// Target is the request target as the caller wrote it, which is never rewritten.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Repeatable says that the request may run again, so that a connection may be reused for longer.
	Repeatable bool
	// Owns reports whether an answer belongs to this request; fresh says that the connection carried no other one.
	Owns func(a *http.Response, fresh bool) bool
}

// Answer is an answer whose header has arrived.
type Answer struct {
	Status int
	Header http.Header
	// Fresh says that the connection was opened for this request.
	Fresh bool

	body    io.ReadCloser
	conn    *connection
	pool    *Pool
	stop    func() bool
	written <-chan error
	keep    bool
	ended   bool
}

// head returns the request line and the header.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// A header whose values hold line breaks cannot come from a parsed request; Write replaces them all the same.
	if err := r.Header.Write(&b); err != nil {
		return nil
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Send sends the request to an address and returns its answer, whose body is read with Read. A failure is an *Error.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Answer, error) {
	c, err := p.connect(ctx, address, r.Repeatable)
	if err != nil {
		return nil, &Error{Address: address, Stage: Connecting, Outcome: problem.NotRun, Cause: err}
	}
	kept := c.served > 0
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	fail := func(stage Stage, outcome problem.Outcome, err error) error {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return &Error{Address: address, Stage: stage, Outcome: outcome, Kept: kept, Cause: err}
	}
	head := r.head()
	written, n, err := write(c, head, r.Body)
	if err != nil {
		outcome := problem.Unknown
		if n < len(head) {
			outcome = problem.NotRun
		}
		return nil, fail(Writing, outcome, err)
	}
	response, err := await(c, r, !kept) //nolint:bodyclose // Answer.Close closes the connection, and with it the body.
	if err != nil {
		return nil, fail(Awaiting, problem.Unknown, err)
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Fresh: !kept, body: response.Body,
		conn: c, pool: p, stop: stop, written: written, keep: !response.Close && response.ProtoAtLeast(1, 1),
	}, nil
}

// write sends the header and the body; a long body is sent while the answer is awaited, and its end told by the channel.
func write(c *connection, head, body []byte) (written <-chan error, n int, err error) {
	done := make(chan error, 1)
	if len(body) <= inlineBody {
		n, err = c.Write(append(head, body...))
		done <- err
		return done, n, err
	}
	if n, err = c.Write(head); err != nil {
		return nil, n, err
	}
	go func() {
		_, err := c.Write(body)
		done <- err
	}()
	return done, n, nil
}

// await reads the header of the answer that belongs to the request.
func await(c *connection, r *Request, fresh bool) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	for foreign := 0; foreign <= maxForeignAnswers; {
		response, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.StatusCode != http.StatusSwitchingProtocols && r.Owns(response, fresh) {
			return response, nil
		}
		foreign++
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, &ForeignAnswersError{Answers: foreign}
		}
	}
	return nil, &ForeignAnswersError{Answers: maxForeignAnswers}
}

// Read reads the body; it returns io.EOF only at the end of a whole answer.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.finish()
	}
	return n, err
}

// finish keeps the connection if the exchange left it clean.
func (a *Answer) finish() {
	if a.ended {
		return
	}
	a.ended = true
	clean := a.stop() && a.keep && a.conn.reader.Buffered() == 0
	select {
	case err := <-a.written:
		clean = clean && err == nil
	default:
		clean = false
	}
	if !clean {
		_ = a.conn.Close()
		return
	}
	a.conn.idleLimit = idleLimit(a.Header)
	a.pool.give(a.conn)
}

// Close ends the exchange; an answer that was not read whole takes its connection along, which stops the endpoint's work.
func (a *Answer) Close() {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	_ = a.conn.Close()
}

// idleLimit returns how long the endpoint keeps an idle connection, by its Keep-Alive header.
func idleLimit(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if ok && strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
	return defaultIdleLimit
}
