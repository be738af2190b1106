package exchange

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"
)

// Defaults of a Transport.
const (
	defaultDialTimeout  = 30 * time.Second
	defaultMaxHeadBytes = 64 << 10
)

// maxWrittenWait bounds how long a complete response waits for its request to be written; http.Transport waits as long.
const maxWrittenWait = 50 * time.Millisecond

// TransportConfig configures a Transport.
type TransportConfig struct {
	// Dial opens a connection to an address of the form host:port; nil selects a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// TLS is the configuration for https; nil selects that of the system.
	TLS *tls.Config
	// MaxHeadBytes bounds the heads of a response and of the informational responses before it, in all; zero selects 64 KB.
	MaxHeadBytes int
	// IdleTimeout is how long an idle connection is kept, and MaxIdle how many are kept to each address. With a zero one each request
	// has a connection of its own.
	IdleTimeout time.Duration
	MaxIdle     int
}

// Transport is an http.RoundTripper for HTTP/1.1 that reads responses as Pool does.
//
// Unlike http.Transport it sends no request twice, uses no proxy and leaves the encoding of bodies alone. Trailers are checked and
// dropped. The bodies of requests must not block.
type Transport struct {
	cfg TransportConfig

	mu   sync.Mutex
	idle map[string][]*idleConnection
}

var _ http.RoundTripper = (*Transport)(nil)

// idleConnection is a connection that is closed when its timer fires.
type idleConnection struct {
	*connection

	timer *time.Timer
}

// NewTransport returns a transport without connections.
func NewTransport(cfg TransportConfig) *Transport {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: defaultDialTimeout}).DialContext
	}
	if cfg.MaxHeadBytes == 0 {
		cfg.MaxHeadBytes = defaultMaxHeadBytes
	}
	return &Transport{cfg: cfg, idle: map[string][]*idleConnection{}}
}

// RoundTrip sends a request and returns its response once the head has arrived. A head that is not sound returns
// *MalformedHeadError, and one with too many bytes *HeadTooLargeError.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.cfg.IdleTimeout == 0 && !r.Close {
		r = r.WithContext(r.Context())
		r.Close = true
	}
	c, err := t.connect(r)
	if err != nil {
		if r.Body != nil {
			_ = r.Body.Close()
		}
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c.Conn, Reused: c.requestCount > 0})
	}
	stop := context.AfterFunc(r.Context(), func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, u, err := t.send(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, joinContext(r.Context(), err)
	}
	body := &transportBody{
		ReadCloser: response.Body, ctx: r.Context(), transport: t, conn: c, stop: stop, upload: u, keepAlive: !r.Close && !response.Close && response.ProtoAtLeast(1, 1),
	}
	if response.Body == http.NoBody {
		body.end(true)
	} else {
		response.Body = body
	}
	return response, nil
}

// joinContext adds the reason why the request was ended, if it was, to the error of its connection.
func joinContext(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(ctx.Err(), err)
	}
	return err
}

// send writes the request and reads the head of its response. A request with a long body, or with one of unknown length, is
// written in the background.
func (t *Transport) send(c *connection, r *http.Request) (*http.Response, *upload, error) {
	if r.ContentLength > maxInlineBody || r.ContentLength < 0 || r.ContentLength == 0 && r.Body != nil && r.Body != http.NoBody {
		u := startUpload(func() error { return c.writeRequest(r) })
		c.responses.begin(u, t.cfg.MaxHeadBytes)
		response, err := c.responses.next(r)
		if err != nil {
			_ = c.Close()
			<-u.done
		}
		if err != nil && u.err != nil && !errors.Is(u.err, net.ErrClosed) {
			err = errors.Join(u.err, err)
		}
		return response, u, err
	}
	if err := c.writeRequest(r); err != nil {
		return nil, nil, err
	}
	u := finishedUpload()
	c.responses.begin(u, t.cfg.MaxHeadBytes)
	response, err := c.responses.next(r)
	return response, u, err
}

// writeRequest writes the request. It closes the connection after an error that is not one of the connection, such as one of the
// body, as no response can be expected then.
func (c *connection) writeRequest(r *http.Request) error {
	// Request.Write wraps the errors of body and connection in one type, without Unwrap.
	w, body := &errorWriter{w: c.Conn}, &errorReader{ReadCloser: r.Body}
	if r.Body != nil && r.Body != http.NoBody {
		r = r.WithContext(r.Context())
		r.Body = body
	}
	err := r.Write(w)
	var broken *net.OpError
	switch {
	case err == nil || errors.As(w.err, &broken):
		return w.err
	case w.err != nil:
		err = w.err
	case body.err != nil:
		err = body.err
	}
	_ = c.Close()
	return err
}

// errorWriter keeps the error of its writer. It hides other methods of a connection, with which a body might be copied past Write.
type errorWriter struct {
	w   io.Writer
	err error
}

// Write writes p and keeps the error.
func (w *errorWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.err = err
	return n, err
}

// errorReader keeps the error of a body.
type errorReader struct {
	io.ReadCloser

	err error
}

// Read reads the body and keeps the error, unless it is io.EOF.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// connect returns an idle connection to the host of a request, or a new one.
func (t *Transport) connect(r *http.Request) (*connection, error) {
	port := r.URL.Port()
	if port == "" && r.URL.Scheme == "https" {
		port = "443"
	} else if port == "" {
		port = "80"
	}
	address := net.JoinHostPort(r.URL.Hostname(), port)
	key := r.URL.Scheme + "://" + address
	for c := t.takeIdle(key); c != nil; c = t.takeIdle(key) {
		if c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := t.cfg.Dial(r.Context(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if r.URL.Scheme == "https" {
		conn, err = t.secure(r, conn)
	}
	if err != nil {
		return nil, err
	}
	return newConnection(conn, key), nil
}

// secure performs the TLS handshake with the host of a request. If it fails, it closes the connection.
func (t *Transport) secure(r *http.Request, conn net.Conn) (net.Conn, error) {
	cfg := t.cfg.TLS.Clone()
	if cfg == nil {
		cfg = &tls.Config{}
	}
	if cfg.ServerName == "" {
		cfg.ServerName = r.URL.Hostname()
	}
	secure := tls.Client(conn, cfg)
	if err := secure.HandshakeContext(r.Context()); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
}

// takeIdle returns the connection that was used last, or nil.
func (t *Transport) takeIdle(key string) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idle[key]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	t.setIdle(key, conns[:len(conns)-1])
	c.timer.Stop()
	return c.connection
}

// putIdle keeps a connection for a later request, or closes it if enough are kept.
func (t *Transport) putIdle(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cfg.IdleTimeout == 0 || len(t.idle[c.address]) >= t.cfg.MaxIdle || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.requestCount++
	kept := &idleConnection{connection: c}
	kept.timer = time.AfterFunc(t.cfg.IdleTimeout, func() { t.dropIdle(kept) })
	t.idle[c.address] = append(t.idle[c.address], kept)
}

// dropIdle closes a connection if it is still idle.
func (t *Transport) dropIdle(dropped *idleConnection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idle[dropped.address]
	if i := slices.Index(conns, dropped); i >= 0 {
		_ = dropped.Close()
		t.setIdle(dropped.address, slices.Delete(conns, i, i+1))
	}
}

// setIdle replaces the idle connections to an address. The caller holds the lock.
func (t *Transport) setIdle(key string, conns []*idleConnection) {
	if len(conns) == 0 {
		delete(t.idle, key)
		return
	}
	t.idle[key] = conns
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conns := range t.idle {
		for _, c := range conns {
			c.timer.Stop()
			_ = c.Close()
		}
	}
	t.idle = map[string][]*idleConnection{}
}

// transportBody is the body of a response, which returns or closes its connection at the end.
type transportBody struct {
	io.ReadCloser

	ctx       context.Context
	transport *Transport
	conn      *connection
	stop      func() bool
	upload    *upload
	keepAlive bool
	once      sync.Once
}

// Read returns io.EOF only at the end of a complete body.
func (b *transportBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.end(true)
		return n, err
	default:
		b.end(false)
		return n, joinContext(b.ctx, err)
	}
}

// Close closes the connection if the body has not been read to its end.
func (b *transportBody) Close() error {
	b.end(false)
	return nil
}

// end ends the exchange; complete reports that the response has been read to its end.
func (b *transportBody) end(complete bool) {
	b.once.Do(func() {
		reusable := complete && b.keepAlive && b.conn.responses.reader.Buffered() == 0 && b.upload.writtenWithin(maxWrittenWait)
		if stopped := b.stop(); stopped && reusable {
			b.transport.putIdle(b.conn)
			return
		}
		_ = b.conn.Close()
	})
}
