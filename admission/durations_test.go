package admission

import (
	"testing"
	"time"
)

// TestDurations checks that a request is expected to end in time if a quarter more than the longest recent one does, if any
// is known.
func TestDurations(t *testing.T) {
	start := time.Unix(1000, 0)
	type ended struct{ at, took time.Duration }
	for _, c := range []struct {
		name     string
		ended    []ended
		at, left time.Duration
		ends     bool
		known    bool
	}{
		{"none known", nil, 0, time.Hour, true, false},
		{"short", []ended{{0, 100 * time.Millisecond}}, time.Second, 125 * time.Millisecond, true, true},
		{"too long", []ended{{0, 100 * time.Millisecond}}, time.Second, 124 * time.Millisecond, false, true},
		{"one of many is long", []ended{{0, time.Second}, {time.Second, 1}, {2 * time.Second, 1}}, 3 * time.Second, time.Second, false, true},
		{"long in the previous period", []ended{{0, time.Second}, {16 * time.Second, 1}}, 29 * time.Second, time.Second, false, true},
		{"long before the previous period", []ended{{0, time.Second}, {16 * time.Second, 1}}, 31 * time.Second, time.Second, true, true},
		{"long ago", []ended{{0, time.Second}}, time.Minute, time.Hour, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d Durations
			for _, e := range c.ended {
				d = d.With(start.Add(e.at), e.took)
			}
			if ends, known := d.EndsIn(start.Add(c.at), c.left); ends != c.ends || known != c.known {
				t.Errorf("ends in time: %v, known: %v", ends, known)
			}
		})
	}
}
