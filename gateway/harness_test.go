package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/keys"
	"arbutusreel/metrics"
	"arbutusreel/routes"
)

// testHeaderCodec implements HeaderCodec with short header names.
type testHeaderCodec struct{}

func (testHeaderCodec) Call(h http.Header) (Call, error) {
	c := Call{ID: h.Get("Id"), LastEvent: NoEvent, Resumes: h.Get("Resumes")}
	if n, err := strconv.ParseInt(h.Get("Last"), 10, 64); err == nil {
		c.LastEvent = n
	}
	if n, err := strconv.Atoi(h.Get("Patience")); err == nil {
		c.Patience = time.Duration(n) * time.Millisecond
	}
	if n, err := strconv.ParseInt(h.Get("Tokens"), 10, 64); err == nil {
		c.Work = capacity.Work{PromptTokens: n}
	}
	if key := h.Get("Key"); key != "" {
		credential := routes.NewCredential(key)
		c.Caller, c.Credential = key, &credential
	}
	for part := range strings.SplitSeq(h.Get("Parts"), ",") {
		if part != "" {
			c.Work.Parts = append(c.Work.Parts, capacity.Part{ID: part, Tokens: 10})
		}
	}
	return c, nil
}

func (testHeaderCodec) Prepare(h http.Header, e EndpointHeaders) {
	h.Set("Instance", e.Instance)
	h.Del("Team")
	if e.Team != "" {
		h.Set("Team", e.Team)
	}
	if e.HideCredential {
		h.Del("Key")
	}
	if e.LastEvent >= 0 {
		h.Set("Last", strconv.FormatInt(e.LastEvent, 10))
	}
}

func (testHeaderCodec) Forward(h http.Header, left time.Duration, team string, hideCredential bool) {
	h.Del("Team")
	if team != "" {
		h.Set("Team", team)
	}
	if hideCredential {
		h.Del("Key")
	}
	h.Set("Patience", strconv.FormatInt(left.Milliseconds(), 10))
}

func (testHeaderCodec) ResponseID(h http.Header) string { return h.Get("Id") }

func (testHeaderCodec) Verdict(h http.Header, _ int) Verdict {
	v := Verdict{Rejected: h.Get("Rejected") != "", Signed: h.Get("Signed") != "", Leaving: h.Get("Leaving") != ""}
	if n, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		v.Limit = Limit{Named: true, PerSecond: n}
	} else {
		v.Limit.Invalid = h.Get("Limit")
	}
	if n, err := strconv.Atoi(h.Get("Pause")); err == nil {
		v.PauseFor = time.Duration(n) * time.Millisecond
	}
	return v
}

// endpointScript writes the answer to the n-th request of an endpoint on any connection, counted from 0. It returns
// false to close the connection, which is reset if reset was called.
type endpointScript func(c *endpointConn, r *http.Request, n int) bool

type endpointConn struct {
	net.Conn
	endpoint *testEndpoint
}

// reset makes closing the connection send a TCP reset, and returns false.
func (c *endpointConn) reset() bool {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	return false
}

// head writes the header of a stream.
func (c *endpointConn) head(id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, c.endpoint.id)
}

func (c *endpointConn) chunk(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func (c *endpointConn) event(n int) { c.chunk(fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)) }

func (c *endpointConn) end() { fmt.Fprint(c, "0\r\n\r\n") }

func (c *endpointConn) plain(id string, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nId: %s\r\nSigned: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, c.endpoint.id, len(body), body)
}

// testEndpoint is an endpoint that follows a script and records the requests that it has read in full.
type testEndpoint struct {
	id      string
	address string
	// software is the version of the endpoint's software.
	software string
	mu       sync.Mutex
	seen     []*http.Request
	closed   chan struct{}
}

func (e *testEndpoint) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen
}

func newEndpoint(t testing.TB, id string, script endpointScript) *testEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &testEndpoint{id: id, address: l.Addr().String(), closed: make(chan struct{}, 64)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(&endpointConn{Conn: conn, endpoint: e}, script)
		}
	}()
	return e
}

func (e *testEndpoint) serve(c *endpointConn, script endpointScript) {
	defer func() {
		_ = c.Close()
		e.closed <- struct{}{}
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || r.ProtoMajor == 2 {
			// A gRPC client may still connect to an address that was another server's.
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		e.mu.Lock()
		n := len(e.seen)
		e.seen = append(e.seen, r)
		e.mu.Unlock()
		if !script(c, r, n) {
			return
		}
	}
}

const testHost = "host.example"

// testTable returns a table with one route of each kind, all served by one service.
func testTable(t testing.TB, change func(*routes.Route)) *routes.Table {
	t.Helper()
	var all []routes.Route
	for _, kind := range []routes.Kind{routes.Unsafe, routes.Safe, routes.Stream} {
		r := routes.Route{
			Name: kind.String(), Host: testHost, PathPrefix: "/" + kind.String() + "/", Kind: kind, MaxAttempts: 2, Resumable: true,
			Backends: []routes.Backend{{Service: "desk", Weight: 1}}, Timeout: 5 * time.Second, Objective: time.Second, GapObjective: 100 * time.Millisecond,
		}
		if kind == routes.Unsafe {
			r.MaxAttempts = 1
		}
		if change != nil {
			change(&r)
		}
		all = append(all, r)
	}
	table, err := routes.New(1, all, []routes.Service{{Name: "desk"}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

type testGateway struct {
	*Gateway
	server *httptest.Server
}

func testConfig() Config {
	return Config{
		Name: "gateway-a", Region: "here", FailureDomain: "here-a", Regions: map[string]string{"here-a": "here", "there-a": "there"},
		Headers: testHeaderCodec{}, RetryRatio: 1, RetryReserve: 100, RetryWindow: 10 * time.Second, ColdBurst: 1, Grace: time.Second,
		RegionRoundTrip: 10 * time.Millisecond, Keys: keys.Plain(), Metrics: metrics.New(),
	}
}

// newGateway returns a gateway whose view contains the endpoints. It prefers them in the given order.
func newGateway(t testing.TB, table *routes.Table, endpoints ...*testEndpoint) *testGateway {
	t.Helper()
	g := New(testConfig(), zerolog.Nop(), rand.NewPCG(1, 1))
	v := &view{table: table, endpoints: map[string][]fleet.Endpoint{}, software: newSoftwareVersions(), updatedAt: time.Now(), current: true}
	for i, e := range endpoints {
		v.endpoints["desk"] = append(v.endpoints["desk"], fleet.Endpoint{ID: e.id, Born: 1, Service: "desk", Software: e.software, Address: e.address, Slots: 8, LastSeen: time.Now()})
		v.software.add(v.endpoints["desk"][i], "here", true)
		// The latency factor rises from one endpoint to the next, so that the order of attempts is fixed.
		g.placer.states[e.id] = &endpointState{
			born: 1, pace: capacity.Pace{Ratios: (2 + 2*float64(i)) * 1e9, Count: 1e9, At: time.Now()}, cachedParts: map[string]time.Time{}, coldWindow: capacity.NewWindow(time.Second), receivedNanos: new(atomic.Int64),
		}
	}
	g.view.Store(v)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, false) }))
	t.Cleanup(func() {
		server.Close()
		g.cancelWork()
	})
	return &testGateway{Gateway: g, server: server}
}

// result is the answer that a caller received.
type result struct {
	status int
	header http.Header
	body   string
	// whole reports whether the answer's framing was complete.
	whole bool
	err   error
}

func (g *testGateway) call(ctx context.Context, method, path string, header map[string]string) result {
	r, err := http.NewRequestWithContext(ctx, method, g.server.URL+path, nil)
	if err != nil {
		return result{err: err}
	}
	r.Host = testHost
	r.Header.Set("Id", "request-1")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer a.Body.Close()
	var b strings.Builder
	_, err = io.Copy(&b, a.Body)
	return result{status: a.StatusCode, header: a.Header, body: b.String(), whole: err == nil, err: err}
}

func pieces(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// newForwardServer serves the requests that other gateways forward to g, and returns its address.
func newForwardServer(t *testing.T, g *testGateway) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, true) }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
