package fleet

import (
	"testing"
	"time"
)

// TestSecondRequestBacksOff asks after 1.5 s, and after twice the wait since each failure.
func TestSecondRequestBacksOff(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewSecondRequest(now)
	for wait := 1500 * time.Millisecond; wait < 10*time.Second; wait *= 2 {
		if r.Due(now.Add(wait-1)) || !r.Due(now.Add(wait)) {
			t.Errorf("not due %v later", wait)
		}
		now = now.Add(wait)
		r = r.WithFailure(now)
	}
}
