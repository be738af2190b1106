package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCharge checks that a request takes one retry for each attempt beyond the first that reaches an endpoint, whatever
// the other attempts were.
func TestCharge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		a := NewAllowance(10*time.Second, 0)
		a.SetReserve(float64(rapid.IntRange(0, 4).Draw(t, "reserve")))
		c := Charge{}
		attempts, reached := 0, 0
		for range rapid.IntRange(1, 12).Draw(t, "attempts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			if !c.Begin(now, func() bool { return a.Take(now) }) {
				if attempts < int(a.reserve)+1 {
					t.Fatalf("refused after %d attempts that reached endpoints, reserve %v", attempts, a.reserve)
				}
				break
			}
			n := rapid.IntRange(0, 3).Draw(t, "reached")
			if n > 0 {
				attempts++
				reached += n
			}
			c.Reach(n)
			c.Reach(rapid.IntRange(0, 1).Draw(t, "repeated") * n)
		}
		if takenAt, ok := c.Unspent(); ok {
			a.Return(now, takenAt)
		}
		if c.Reached() != reached {
			t.Fatalf("%d endpoints reached, want %d", c.Reached(), reached)
		}
		left := 0
		for a.Take(now) {
			left++
		}
		if want := int(a.reserve) - max(attempts-1, 0); left != want {
			t.Fatalf("%d retries left after %d attempts that reached endpoints, want %d", left, attempts, want)
		}
	})
}

// TestReturnOutsideWindow checks that a retry that is returned late adds nothing to later windows.
func TestReturnOutsideWindow(t *testing.T) {
	const window = 10 * time.Second
	for _, delay := range []time.Duration{time.Second, window, 2 * window} {
		now := time.Unix(0, 0)
		a := NewAllowance(window, 0)
		a.SetReserve(1)
		if !a.Take(now) {
			t.Fatal("the reserve is not allowed")
		}
		a.Return(now.Add(delay), now)
		now = now.Add(delay + window/2)
		if !a.Take(now) || a.Take(now) {
			t.Errorf("returned after %v: the reserve is not allowed exactly once", delay)
		}
	}
}
