package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// marker is part of the content of requests and must not be logged.
const marker = "grandmother-salt-marker"

// refusal holds the fields of a problem that callers read.
type refusal struct {
	Code             string
	Outcome          string
	Status           int
	RetryAfterMillis int
	CorrelationID    string
}

func TestRefusals(t *testing.T) {
	chat := func(fields string) string {
		return `{"messages":[{"role":"user","content":"` + marker + `"}]` + fields + `}`
	}
	good := chat(`,"model":"dastarkhwan-menu"`)
	tests := []struct {
		name    string
		method  string
		path    string
		body    string
		headers map[string]string
		status  int
		code    string
		retry   bool
	}{
		{"no JSON", "POST", chatPath, marker, nil, 400, "malformedRequest", false},
		{"empty body", "POST", chatPath, "", nil, 400, "malformedRequest", false},
		{"half JSON", "POST", chatPath, good[:len(good)-2], nil, 400, "malformedRequest", false},
		{"text after JSON", "POST", chatPath, good + marker, nil, 400, "malformedRequest", false},
		{"a list", "POST", chatPath, `["` + marker + `"]`, nil, 400, "malformedRequest", false},
		{"no model", "POST", chatPath, chat(""), nil, 400, "malformedRequest", false},
		{"model of a wrong type", "POST", chatPath, chat(`,"model":7`), nil, 400, "malformedRequest", false},
		{"no messages", "POST", chatPath, `{"model":"dastarkhwan-menu"}`, nil, 400, "malformedRequest", false},
		{"messages of a wrong type", "POST", chatPath, `{"model":"dastarkhwan-menu","messages":"` + marker + `"}`, nil, 400, "malformedRequest", false},
		{"no prompt", "POST", "/v1/completions", `{"model":"dastarkhwan-menu"}`, nil, 400, "malformedRequest", false},
		{"no tokens asked", "POST", chatPath, chat(`,"model":"dastarkhwan-menu","max_tokens":0`), nil, 400, "malformedRequest", false},
		{"too many tokens asked", "POST", chatPath, chat(`,"model":"dastarkhwan-menu","max_tokens":1e30`), nil, 400, "malformedRequest", false},
		{"large body", "POST", chatPath, chat(`,"model":"dastarkhwan-menu","x":"` + strings.Repeat("x", 5000) + `"`), nil, 413, "bodyTooLarge", false},
		{"large body of a call", "POST", "/v1/services/club-desk/orders", marker + strings.Repeat("x", 5000), map[string]string{keyHeader: "k"}, 413, "bodyTooLarge", false},
		{"large header", "GET", "/v1/models", "", map[string]string{"X-Large": marker + strings.Repeat("x", 5000)}, 431, "headerTooLarge", false},
		{"unknown model", "POST", chatPath, chat(`,"model":"no-such"`), nil, 404, "unknownModel", false},
		{"unknown service", "POST", "/v1/services/no-such/orders", marker, nil, 404, "unknownService", false},
		{"service of models", "POST", "/v1/services/menu-model/orders", marker, nil, 404, "unknownService", false},
		{"unknown class", "POST", chatPath, good, map[string]string{classHeader: "no-such"}, 400, "unknownClass", false},
		{"unknown label", "POST", chatPath, good, map[string]string{labelsHeader: "no-such"}, 400, "unknownLabel", false},
		{"no credential", "POST", chatPath, good, map[string]string{"Authorization": ""}, 401, "unauthenticated", false},
		{"wrong credential", "POST", chatPath, good, map[string]string{"Authorization": "Bearer " + marker}, 401, "unauthenticated", false},
		{"another scheme", "POST", chatPath, good, map[string]string{"Authorization": "Basic " + marker}, 401, "unauthenticated", false},
		{"unknown route", "GET", "/v2/" + marker, "", nil, 404, "unknownRoute", false},
		{"wrong method", "GET", chatPath, "", nil, 405, "methodNotAllowed", false},
		{"unknown method", "BREW", chatPath, good, nil, 405, "methodNotAllowed", false},
		{"no endpoint", "POST", chatPath, chat(`,"model":"dish-check"`), nil, 503, "noCapacity", true},
		{"no key", "POST", "/v1/services/club-desk/orders", marker, nil, 400, "idempotencyKeyRequired", false},
	}
	g := newTestEntry(t, nil)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, header, body := g.do(tt.method, tt.path, tt.body, tt.headers)
			var p refusal
			if err := json.Unmarshal([]byte(body), &p); err != nil {
				t.Fatalf("status %d, no problem JSON: %q", status, body)
			}
			if status != tt.status || p.Status != tt.status || p.Code != tt.code || p.Outcome != "notRun" {
				t.Errorf("status %d, problem %+v", status, p)
			}
			if (header.Get("Retry-After") != "") != tt.retry || (p.RetryAfterMillis > 0) != tt.retry {
				t.Errorf("Retry-After %q, problem %+v", header.Get("Retry-After"), p)
			}
			if p.CorrelationID == "" || p.CorrelationID != header.Get(correlationHeader) || !strings.Contains(g.log.String(), p.CorrelationID) {
				t.Errorf("correlation id %q, header %q", p.CorrelationID, header.Get(correlationHeader))
			}
		})
	}
	if strings.Contains(g.log.String(), marker) {
		t.Errorf("content of a request was logged: %s", g.log.String())
	}
	for line := range strings.Lines(g.log.String()) {
		if !strings.Contains(line, `"correlationId":"`) {
			t.Errorf("a line of a request has no correlation id: %s", line)
		}
	}
}

func TestNotReady(t *testing.T) {
	g := newTestEntry(t, nil)
	g.entry.state.mu.Lock()
	g.entry.state.inventory, g.entry.state.revision = nil, 0
	g.entry.state.mu.Unlock()
	if status, header, body := g.do(http.MethodPost, chatPath, plan, nil); status != 503 || !strings.Contains(body, `"notReady"`) || header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v, body %q", status, header, body)
	}
	if status, _, _ := g.do(http.MethodGet, "/readyz", "", nil); status != 503 {
		t.Errorf("readyz %d", status)
	}
}

// TestLeaving checks the answers of an entry that is leaving, and of one that refuses new requests.
func TestLeaving(t *testing.T) {
	g := newTestEntry(t, nil)
	g.announce("menu-model", newEngine(0).Handler())
	g.entry.leaving.Store(true)
	resp, err := g.server.Client().Do(g.request(t.Context(), http.MethodPost, chatPath, plan, nil))
	if err != nil {
		t.Fatal(err)
	}
	b, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if !resp.Close || !bytes.HasSuffix(b, []byte("data: [DONE]\n\n")) {
		t.Errorf("close %v, answer %q", resp.Close, b)
	}
	g.entry.closed.Store(true)
	status, header, body := g.do(http.MethodPost, chatPath, plan, nil)
	if status != 503 || !strings.Contains(body, `"code":"stopping"`) || !strings.Contains(body, `"outcome":"notRun"`) || header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v, body %q", status, header, body)
	}
}

// TestSlowSender checks that a request whose body doesn't arrive in full is refused after the body timeout.
func TestSlowSender(t *testing.T) {
	g := newTestEntry(t, func(cfg *Config) { cfg.BodyTimeout = 100 * time.Millisecond })
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", chatPath, teamToken)
	b, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 408 ") || !strings.Contains(string(b), `"code":"bodyTimeout"`) {
		t.Errorf("answer %q, error %v", b, err)
	}
}
