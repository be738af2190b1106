package fleet

import (
	"testing"
	"time"
)

// TestUnresponsiveExpires checks that each control daemon counts as unresponsive until 5 s after it last was.
func TestUnresponsiveExpires(t *testing.T) {
	t0 := time.Unix(1000, 0)
	u := Unresponsive{}.With(t0, "a").With(t0.Add(4*time.Second), "b")
	for _, c := range []struct {
		after time.Duration
		a, b  bool
	}{{4 * time.Second, true, true}, {5 * time.Second, false, true}, {9 * time.Second, false, false}} {
		if a, b := u.Has(t0.Add(c.after), "a"), u.Has(t0.Add(c.after), "b"); a != c.a || b != c.b {
			t.Errorf("after %v: a %v, b %v", c.after, a, b)
		}
	}
	if u.With(t0.Add(6*time.Second), "c").Has(t0, "a") {
		t.Error("an expired record is kept")
	}
}
