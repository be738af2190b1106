package acceptor

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/intake"
)

const waitTime = 20 * time.Second

// newServer starts a server with an acceptor; requests under /wait end when wait is closed.
func newServer(t *testing.T, limits intake.Limits, wait <-chan struct{}) (a *Acceptor, address string) {
	t.Helper()
	a = New(limits, zerolog.Nop(), time.Now)
	s := &http.Server{ReadHeaderTimeout: waitTime, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/wait" {
			<-wait
		}
		fmt.Fprintf(w, "%s %d", r.URL.Path, len(b))
	})}
	a.Configure(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(a.Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return a, l.Addr().String()
}

type testConn struct {
	net.Conn

	t *testing.T
	r *bufio.Reader
}

func dial(t *testing.T, address string) *testConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTime))
	return &testConn{Conn: c, t: t, r: bufio.NewReader(c)}
}

func (c *testConn) send(text string) { _, _ = io.WriteString(c, text) }

// expect reads an answer with a body.
func (c *testConn) expect(body string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("want %q: %v", body, err)
	}
	defer resp.Body.Close()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != body {
		c.t.Fatalf("got %q, %v, want %q", got, err, body)
	}
}

// expectClosed waits until the server has closed the connection.
func (c *testConn) expectClosed() {
	c.t.Helper()
	if n, err := c.r.Read(make([]byte, 1)); n > 0 || err == nil || isTimeout(err) {
		c.t.Errorf("the connection is open: %v", err)
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTime); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

const get = "GET %s HTTP/1.1\r\nHost: a\r\n\r\n"

// TestCallerLockedOut guards against a listener whose connections are all taken by clients that send nothing, a part of a
// head or a part of a body.
func TestCallerLockedOut(t *testing.T) {
	a, address := newServer(t, intake.Limits{Connections: 3}, nil)
	for i, start := range []string{"", "GET / HTTP/1.1\r\nHost", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"} {
		dial(t, address).send(start)
		until(t, "it is accepted", func() bool { return a.Counts().Waiting == i+1 })
	}
	for range 5 {
		c := dial(t, address)
		c.send(fmt.Sprintf(get, "/x"))
		c.expect("/x 0")
		until(t, "it is idle", func() bool { return a.Counts().Idle > 0 })
	}
	if counts := a.Counts(); counts.Waiting+counts.Idle+counts.Serving > 3 || counts.Shed != 5 {
		t.Errorf("%+v", counts)
	}
}

// TestRequestInProgressShed guards against an answer that is lost because a connection had to yield.
func TestRequestInProgressShed(t *testing.T) {
	wait := make(chan struct{})
	a, address := newServer(t, intake.Limits{Connections: 2}, wait)
	var inProgress []*testConn
	for i := range 2 {
		c := dial(t, address)
		c.send("POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
		until(t, "it is served", func() bool { return a.Counts().Serving == i+1 })
		inProgress = append(inProgress, c)
	}
	dial(t, address).expectClosed()
	close(wait)
	for _, c := range inProgress {
		c.expect("/wait 3")
	}
	if got := a.Counts().Refused; got != 1 {
		t.Errorf("%d connections were refused, want 1", got)
	}
}

// TestKeptConnections guards against requests on one connection that are mistaken for one another: in one write, and cut at any
// byte.
func TestKeptConnections(t *testing.T) {
	_, address := newServer(t, intake.Limits{Connections: 4, HeadBytes: 1 << 20}, nil)
	text := fmt.Sprintf(get, "/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n\r\n\r\n" + "POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + fmt.Sprintf(get, "/4")
	for cut := 0; cut <= len(text); cut += 5 {
		c := dial(t, address)
		c.send(text[:cut])
		time.Sleep(time.Millisecond)
		c.send(text[cut:])
		for _, want := range []string{"/1 0", "/2 4", "/3 2", "/4 0"} {
			c.expect(want)
		}
		_ = c.Close()
	}
}

// TestHeadsHeldTogether guards against heads that are each within the limit and together take any memory.
func TestHeadsHeldTogether(t *testing.T) {
	const bound = 4 << 20
	a, address := newServer(t, intake.Limits{Connections: 100, HeadBytes: bound}, nil)
	head := "GET /x HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 3000)
	for range 20 {
		dial(t, address).send(head)
	}
	until(t, "connections are closed", func() bool { return a.Counts().Shed >= 14 })
	if got := a.Counts().HeadBytes; got > bound {
		t.Errorf("%d bytes of heads are held", got)
	}
	c := dial(t, address)
	c.send(head + "\r\n")
	c.expect("/x 0")
}

// TestHandledHeadsOverBound guards against heads of closed connections that are no longer counted while their handlers still hold
// them.
func TestHandledHeadsOverBound(t *testing.T) {
	const bound, cost = 4 << 20, 3000*256 + 2*12000
	a := New(intake.Limits{Connections: 100, HeadBytes: bound}, zerolog.Nop(), time.Now)
	var handled atomic.Int64
	wait := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		<-wait
		fmt.Fprint(io.Discard, len(r.Header))
	}))
	a.Configure(s.Config)
	s.Listener = a.Listener(s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
	for range 20 {
		dial(t, s.Listener.Addr().String()).send(head)
	}
	until(t, "connections are closed", func() bool { return a.Counts().Shed >= 15 })
	if got := handled.Load(); got > bound/cost {
		t.Errorf("%d heads of %d bytes are held, limit %d bytes", got, cost, bound)
	}
	close(wait)
	c := dial(t, s.Listener.Addr().String())
	c.send(head + "some body")
	c.expect("")
}

// TestShedConnectionsSilent guards against connections that are given up without a line in the log, and against a line for each.
func TestShedConnectionsSilent(t *testing.T) {
	var log bytes.Buffer
	now := time.Unix(1, 0)
	a := New(intake.Limits{Connections: 1}, zerolog.New(&log), func() time.Time { return now })
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := a.Listener(tcp)
	defer l.Close()
	accept := func() {
		dial(t, l.Addr().String())
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	for i, want := range []int{0, 1, 1} {
		if accept(); strings.Count(log.String(), "connections exceed a bound") != want {
			t.Errorf("%d connections: %q", i+1, log.String())
		}
	}
	now = now.Add(time.Minute)
	if accept(); strings.Count(log.String(), `"shed":`) != 2 {
		t.Errorf("a minute later: %q", log.String())
	}
}

// TestClosedListenerWaitsForPlace guards against a listener that, when closed, still waits for a place for a new connection.
func TestClosedListenerWaitsForPlace(t *testing.T) {
	began := time.Now()
	a := New(intake.Limits{Connections: 1}, zerolog.Nop(), func() time.Time { return began })
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := a.Listener(tcp)
	dial(t, tcp.Addr().String())
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, _ := first.(*Conn)
	a.enter(c, intake.Serving)
	dial(t, tcp.Addr().String())
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond)
	_ = l.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("got %v", err)
		}
	case <-time.After(waitTime):
		t.Error("the listener still accepts")
	}
}

// newLimitedServer starts a server whose heads have limits.
func newLimitedServer(t *testing.T, limits HeadLimits) (address string) {
	t.Helper()
	a := New(intake.Limits{}, zerolog.Nop(), time.Now)
	s := &http.Server{ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, MaxHeaderBytes: 1 << 20, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	a.Configure(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(a.ListenerWithin(l, func() HeadLimits { return limits })) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// TestHeadOverLimit guards against heads beyond the configured limit, on new connections and on kept ones; those within it are
// served.
func TestHeadOverLimit(t *testing.T) {
	const limit = 20000
	address := newLimitedServer(t, HeadLimits{Bytes: limit})
	start := "GET /x HTTP/1.1\r\nHost: a\r\nX: "
	c := dial(t, address)
	for range 2 {
		c.send(start + strings.Repeat("x", limit-len(start)-4) + "\r\n\r\n")
		c.expect("/x")
	}
	c.send(start + strings.Repeat("x", limit))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !resp.Close {
		t.Fatalf("%+v, %v", resp, err)
	}
	_ = resp.Body.Close()
	endless := dial(t, address)
	_, err = io.WriteString(endless, "GET /x HTTP/1.1\r\n")
	total := 0
	for block := strings.Repeat("a:\r\n", 4000); err == nil && total < 32<<20; total += len(block) {
		_, err = io.WriteString(endless, block)
	}
	if err == nil {
		t.Error("a head without end was read")
	}
}

// TestDrippingHead guards against heads that arrive byte by byte, on new connections and on kept ones, where the server waits for
// the next request much longer.
func TestDrippingHead(t *testing.T) {
	address := newLimitedServer(t, HeadLimits{Time: 200 * time.Millisecond})
	for name, first := range map[string]string{"new": "", "kept": fmt.Sprintf(get, "/x")} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, address)
			if first != "" {
				c.send(first)
				c.expect("/x")
			}
			_, err := io.WriteString(c, "GET /x HTTP/1.1\r\nX: ")
			for deadline := time.Now().Add(waitTime); err == nil && time.Now().Before(deadline); _, err = io.WriteString(c, "x") {
				time.Sleep(5 * time.Millisecond)
			}
			if err == nil {
				t.Error("the connection stayed open")
			}
		})
	}
}
