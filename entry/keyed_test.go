package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
)

// TestKeyedRefusals checks calls that are refused before the ledger is checked: a call with a key has an unknown
// outcome, since an earlier attempt may have run, unless its body is too large.
func TestKeyedRefusals(t *testing.T) {
	const orders = "/v1/services/club-desk/orders"
	tests := []struct {
		name    string
		path    string
		headers map[string]string
		body    string
		closed  bool
		code    string
		outcome string
	}{
		{"stopping", orders, map[string]string{keyHeader: "k"}, "lentils", true, "stopping", "outcomeUnknown"},
		{"stopping, no key", orders, nil, "lentils", true, "stopping", "notRun"},
		{"stopping, a completion", chatPath, map[string]string{keyHeader: "k"}, "{}", true, "stopping", "notRun"},
		{"wrong credential", orders, map[string]string{keyHeader: "k", "Authorization": "Bearer x"}, "lentils", false, "unauthenticated", "outcomeUnknown"},
		{"unknown class", orders, map[string]string{keyHeader: "k", classHeader: "x"}, "lentils", false, "unknownClass", "outcomeUnknown"},
		{"unknown service", "/v1/services/x/orders", map[string]string{keyHeader: "k"}, "lentils", false, "unknownService", "outcomeUnknown"},
		{"large body", orders, map[string]string{keyHeader: "k"}, strings.Repeat("x", 5000), false, "bodyTooLarge", "notRun"},
	}
	g := newTestEntry(t, nil)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g.entry.closed.Store(tt.closed)
			_, _, body := g.do(http.MethodPost, tt.path, tt.body, tt.headers)
			var p refusal
			if err := json.Unmarshal([]byte(body), &p); err != nil || p.Code != tt.code || p.Outcome != tt.outcome {
				t.Errorf("%v, problem %+v, want %s and %s", err, p, tt.code, tt.outcome)
			}
		})
	}
}
