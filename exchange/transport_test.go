package exchange

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"arbutusreel/rawresponse"
)

// countingServer counts the connections to a server and the requests that name their connection as the last one.
type countingServer struct {
	*httptest.Server

	conns, closing atomic.Int32
}

func newCountingServer(t *testing.T, handle http.HandlerFunc) *countingServer {
	t.Helper()
	s := &countingServer{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Close {
			s.closing.Add(1)
		}
		handle(w, r)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.conns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// echo answers with the body of the request once all of it has arrived.
func echo(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	_, _ = w.Write(b)
}

// post sends a request with a body and returns the body of the answer.
func post(ctx context.Context, transport *Transport, url string, body io.Reader) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return "", err
	}
	a, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// lateConn returns from its writes some time after the other side can read them.
type lateConn struct {
	*net.TCPConn
}

// Write writes p and returns after a pause.
func (c lateConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	time.Sleep(5 * time.Millisecond)
	return n, err
}

// dialLate opens a lateConn.
func dialLate(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("connection of type %T", conn)
	}
	return lateConn{tcp}, nil
}

// TestTransportConnections sends requests one after another, with bodies of known and unknown length, and counts the connections.
func TestTransportConnections(t *testing.T) {
	const n = 5
	for name, c := range map[string]struct {
		cfg   TransportConfig
		conns int32
	}{
		"kept":              {TransportConfig{IdleTimeout: time.Minute, MaxIdle: 1}, 1},
		"kept, late writes": {TransportConfig{Dial: dialLate, IdleTimeout: time.Minute, MaxIdle: 1}, 1},
		"none kept":         {TransportConfig{IdleTimeout: time.Minute}, n},
		"single":            {TransportConfig{}, n},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCountingServer(t, echo)
			transport := NewTransport(c.cfg)
			defer transport.CloseIdleConnections()
			for i := range n {
				want := strings.Repeat("x", i*maxInlineBody/2)
				got, err := post(t.Context(), transport, s.URL, strings.NewReader(want))
				if err != nil || got != want {
					t.Errorf("%d bytes of %d, error %v", len(got), len(want), err)
				}
			}
			if got := s.conns.Load(); got != c.conns || name == "single" && s.closing.Load() != n {
				t.Errorf("%d connections, %d requests closed theirs", got, s.closing.Load())
			}
			if got, err := post(t.Context(), transport, s.URL, struct{ io.Reader }{strings.NewReader("unknown length")}); err != nil || got != "unknown length" {
				t.Errorf("%q, error %v", got, err)
			}
		})
	}
}

// TestTransportIdleTimeout checks that an idle connection is closed after its timeout.
func TestTransportIdleTimeout(t *testing.T) {
	closed := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			close(closed)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	if _, err := post(t.Context(), NewTransport(TransportConfig{IdleTimeout: 10 * time.Millisecond, MaxIdle: 1}), s.URL, nil); err != nil {
		t.Fatal(err)
	}
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("the connection is still open")
	}
}

// TestTransportTLS sends a request by TLS to a server whose authority is trusted, and to one whose authority is not.
func TestTransportTLS(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(echo))
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.StartTLS()
	t.Cleanup(s.Close)
	trusted := x509.NewCertPool()
	trusted.AddCert(s.Certificate())
	if got, err := post(t.Context(), NewTransport(TransportConfig{TLS: &tls.Config{RootCAs: trusted}}), s.URL, strings.NewReader("body")); err != nil || got != "body" {
		t.Errorf("%q, error %v", got, err)
	}
	if _, err := post(t.Context(), NewTransport(TransportConfig{}), s.URL, strings.NewReader("body")); err == nil {
		t.Error("a server without a trusted authority was accepted")
	}
}

// TestTransportCancelled cancels requests while they wait for the head or the body of their response: the connection is closed.
func TestTransportCancelled(t *testing.T) {
	for name, start := range map[string]string{"head": "", "body": "begun"} {
		t.Run(name, func(t *testing.T) {
			arrived, left := make(chan struct{}), make(chan struct{})
			s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
				if start != "" {
					_, _ = io.WriteString(w, start)
					_ = http.NewResponseController(w).Flush()
				}
				close(arrived)
				<-r.Context().Done()
				close(left)
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-arrived
				cancel()
			}()
			got, err := post(ctx, NewTransport(TransportConfig{IdleTimeout: time.Minute, MaxIdle: 1}), s.URL, nil)
			if !errors.Is(err, context.Canceled) || !strings.HasPrefix(start, got) {
				t.Errorf("%q, error %v", got, err)
			}
			<-left
		})
	}
}

// failingBody fails after its first bytes.
type failingBody struct {
	io.Reader

	err error
}

// Read returns the error of the body at its end.
func (b *failingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.err
	}
	return n, err
}

// TestTransportBodyFails sends requests whose body cannot be read to its end: the error is returned, and no request arrives whole.
func TestTransportBodyFails(t *testing.T) {
	for _, size := range []int{0, 100, 4 * maxInlineBody} {
		for _, announced := range []int64{-1, int64(size) + 1} {
			t.Run(fmt.Sprintf("%d of %d bytes", size, announced), func(t *testing.T) {
				var whole atomic.Bool
				s := newCountingServer(t, func(_ http.ResponseWriter, r *http.Request) {
					_, err := io.Copy(io.Discard, r.Body)
					whole.Store(err == nil)
				})
				cause := errors.New("the disk failed")
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, &failingBody{Reader: strings.NewReader(strings.Repeat("x", size)), err: cause})
				if err != nil {
					t.Fatal(err)
				}
				r.ContentLength = announced
				a, err := NewTransport(TransportConfig{}).RoundTrip(r)
				if err == nil {
					_ = a.Body.Close()
				}
				if !errors.Is(err, cause) || whole.Load() {
					t.Errorf("error %v, arrived whole: %v", err, whole.Load())
				}
			})
		}
	}
}

// TestTransportMalformed sends requests to servers that answer with heads or trailers that are not valid HTTP/1.
func TestTransportMalformed(t *testing.T) {
	for name, text := range rawresponse.Malformed("", "body") {
		t.Run(name, func(t *testing.T) {
			got, err := post(t.Context(), NewTransport(TransportConfig{}), "http://"+rawresponse.Serve(t, text, rawresponse.Closed), strings.NewReader("x"))
			var malformed *MalformedHeadError
			if !errors.As(err, &malformed) {
				t.Errorf("body %q, error %v", got, err)
			}
		})
	}
}
