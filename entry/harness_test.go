package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

const (
	teamToken  = "lahore-demo-token"
	chatPath   = "/v1/chat/completions"
	pollPeriod = 5 * time.Millisecond
	pollLimit  = 10 * time.Second
)

// syncBuffer is a log buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// testEntry is an entry in the test process that runs none of the daemon's background tasks.
type testEntry struct {
	t      testing.TB
	entry  *Entry
	server *httptest.Server
	log    *syncBuffer
}

// newTestEntry returns an entry of region lahore with the inventory of examples/lunchclub in force.
func newTestEntry(t testing.TB, change func(*Config)) *testEntry {
	t.Helper()
	cfg := Config{
		Self:              membership.Entry{Name: "entry-lahore-0", Region: "lahore", FailureDomain: "lahore-a"},
		MaxBodyBytes:      4096,
		RequestBytes:      64 << 20,
		MaxHeaderBytes:    4096,
		AnnouncementLease: time.Hour,
		ReaderTimeout:     10 * time.Second,
		BodyTimeout:       10 * time.Second,
		DrainTimeout:      time.Minute,
	}
	if change != nil {
		change(&cfg)
	}
	g := &testEntry{t: t, log: &syncBuffer{}}
	g.entry = New(cfg, zerolog.New(g.log), time.Now)
	b, err := os.ReadFile("../examples/lunchclub/inventory.json")
	if err != nil {
		t.Fatal(err)
	}
	m := &wiregen.Inventory{}
	if err := wire.DecodeJSON(b, m); err != nil {
		t.Fatal(err)
	}
	inv, err := wire.DecodeInventory(m)
	if err != nil {
		t.Fatal(err)
	}
	g.entry.state.adopt(inv, 1, "test")
	servers := g.entry.newServers(context.Background())
	g.server = httptest.NewUnstartedServer(servers.callers.Handler)
	servers.callers.Handler = g.server.Config.Handler
	g.server.Config = servers.callers
	g.server.Start()
	t.Cleanup(g.server.Close)
	return g
}

// announce starts a server with the handler and adds it as an endpoint of the service.
func (g *testEntry) announce(service string, handler http.Handler) {
	server := httptest.NewServer(handler)
	g.t.Cleanup(server.Close)
	e := membership.Endpoint{
		Name:          service + "-0",
		Incarnation:   1,
		Sequence:      1,
		Address:       server.Listener.Addr().String(),
		Region:        "lahore",
		FailureDomain: "lahore-c",
		Service:       service,
		Slots:         8,
	}
	if service == "menu-model" {
		e.Models = []string{"dastarkhwan-menu"}
	}
	g.entry.state.announce(e, time.Hour)
}

// request returns a request with the team's token.
func (g *testEntry) request(ctx context.Context, method, path, body string, headers map[string]string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, g.server.URL+path, strings.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+teamToken)
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	return r
}

// do sends a request and returns the status, header and body of the response.
func (g *testEntry) do(method, path, body string, headers map[string]string) (int, http.Header, string) {
	g.t.Helper()
	resp, err := g.server.Client().Do(g.request(g.t.Context(), method, path, body, headers))
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		g.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(b)
}

// waitFor polls a condition and fails the test if it doesn't become true within pollLimit.
func (g *testEntry) waitFor(what string, condition func() bool) {
	g.t.Helper()
	deadline := time.Now().Add(pollLimit)
	for !condition() {
		if time.Now().After(deadline) {
			g.t.Fatalf("timed out waiting until %s; log:\n%s", what, g.log.String())
		}
		time.Sleep(pollPeriod)
	}
}
