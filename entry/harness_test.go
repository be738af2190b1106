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

// syncBuffer is a log that is safe for concurrent use.
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

// gateway is an entry in the test's process without its daemon duties.
type gateway struct {
	t      testing.TB
	entry  *Entry
	server *httptest.Server
	log    *syncBuffer
}

// newGateway returns an entry of lahore with the Lunch Club's inventory in force.
func newGateway(t testing.TB, change func(*Config)) *gateway {
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
	g := &gateway{t: t, log: &syncBuffer{}}
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

// announce makes a handler known as an endpoint of a service.
func (g *gateway) announce(service string, handler http.Handler) {
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

// request returns a request of the team.
func (g *gateway) request(ctx context.Context, method, path, body string, headers map[string]string) *http.Request {
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

// do sends a request and returns the status, header and body of its answer.
func (g *gateway) do(method, path, body string, headers map[string]string) (int, http.Header, string) {
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

// until polls a condition; it fails the test if the condition does not come about.
func (g *gateway) until(what string, condition func() bool) {
	g.t.Helper()
	deadline := time.Now().Add(pollLimit)
	for !condition() {
		if time.Now().After(deadline) {
			g.t.Fatalf("gave up waiting: %s; log:\n%s", what, g.log.String())
		}
		time.Sleep(pollPeriod)
	}
}
