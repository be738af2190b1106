package metrics

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestSet(t *testing.T) {
	s := New()
	s.Begin()
	s.Begin()
	s.End()
	s.Count("answered")
	s.Tokens(3)
	s.ObserveAddedLatency(200 * time.Microsecond)
	var got any
	if err := json.Unmarshal([]byte(s.String()), &got); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{
		"requests":    map[string]any{"answered": 1.0},
		"tokens":      3.0,
		"active":      1.0,
		"addedMicros": map[string]any{"count": 1.0, "p50": 200.0, "p99": 200.0, "max": 200.0},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
