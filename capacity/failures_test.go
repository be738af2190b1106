package capacity

import (
	"testing"
	"time"
)

// TestFailedEndpointAvoidedForever guards against an endpoint that failed and gets no requests which would show that it has recovered.
func TestFailedEndpointAvoidedForever(t *testing.T) {
	now := time.Unix(1000, 0)
	var failures Failures
	for range 20 {
		failures = failures.With(now, true)
	}
	w := Work{PromptTokens: 700, OutputTokens: 300}
	for _, c := range []struct {
		after  time.Duration
		chosen bool
	}{{0, false}, {time.Second, false}, {30 * time.Second, true}} {
		all := candidates(3)
		all[0].Health.FailureRate = failures.Rate(now.Add(c.after))
		chosen := 0
		for i := range 30 {
			if got, _ := Choose(all, w, NewSpeed(), 0, time.Second, (float64(i)+0.5)/30); got.Index == 0 {
				chosen++
			}
		}
		if want := map[bool]int{true: 10}[c.chosen]; chosen != want {
			t.Errorf("%v after the failures: chosen %d times of 30, want %d", c.after, chosen, want)
		}
	}
}
