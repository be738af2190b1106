package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"arbutusreel/intake"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// handler returns a handler that records when the whole request has been read. A request whose connection has been given up by
// then is not served, as its caller would get no answer.
func (a *Acceptor) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		open := true
		switch {
		case c == nil:
		case r.ContentLength == 0:
			open = a.enter(c, intake.Serving)
		default:
			open = a.enter(c, intake.Waiting)
			// The server looks at the body of its own request to decide whether to read the rest of it.
			withBody := *r
			withBody.Body = &body{ReadCloser: r.Body, whole: func() bool { return a.enter(c, intake.Serving) }}
			r = &withBody
		}
		if !open {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	if c := connOf(nc); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// body is the body of a request.
type body struct {
	io.ReadCloser

	// whole is called at the end of the body; it returns false if the connection has been given up.
	whole func() bool
}

// Read reads from the body. It returns net.ErrClosed at the end if the connection has been given up.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.whole != nil {
		if !b.whole() {
			return n, net.ErrClosed
		}
		b.whole = nil
	}
	return n, err
}

// BoundBodies returns a handler that reads bodies only within the bound on what they hold together, for handlers that do not
// bound them. The server must be configured by Configure. A nil acceptor returns next.
func (a *Acceptor) BoundBodies(next http.Handler) http.Handler {
	if a == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && r.ContentLength != 0 {
			bounded := *r
			bounded.Body = &boundedBody{ReadCloser: r.Body, conn: c}
			r = &bounded
		}
		next.ServeHTTP(w, r)
	})
}

// boundedBody is a body that counts as long as its request is in progress.
type boundedBody struct {
	io.ReadCloser

	conn *Conn
	read intake.Body
}

// Read reads from the body. It returns a part of it once there is room for it.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read = b.read.With(p[:n])
	if cost := b.read.Cost(); n > 0 && cost > 0 && !b.conn.growBody(cost) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: b.conn.RemoteAddr(), Err: net.ErrClosed}
	}
	return n, err
}
