package capacity

import (
	"math"
	"testing"
	"time"
)

// TestPace spreads the observations of a slow endpoint over many gateways: the sum of what they know gives its pace, one
// slow answer has little weight, and the endpoint counts as sound again some seconds later.
func TestPace(t *testing.T) {
	now := time.Unix(1000, 0)
	var sum Pace
	for range 20 {
		sum = sum.Plus(now, Pace{}.With(now, 100*time.Millisecond, 400*time.Millisecond))
	}
	for name, c := range map[string]struct {
		pace     Pace
		low, top float64
	}{
		"not observed":      {Pace{}, 1, 1},
		"one slow answer":   {Pace{}.With(now, 100*time.Millisecond, 400*time.Millisecond), 1.5, 2},
		"as expected":       {Pace{}.With(now, 100*time.Millisecond, 100*time.Millisecond), 1, 1},
		"a very slow one":   {Pace{}.With(now, time.Millisecond, time.Minute), 1, 1 + maxFactor},
		"slow, many":        {sum, 3.5, 4},
		"all of it removed": {sum.Minus(now, sum), 1, 1},
	} {
		if got := c.pace.Factor(now); got < c.low || got > c.top {
			t.Errorf("%s: factor %.2f, want %v to %v", name, got, c.low, c.top)
		}
	}
	if later := sum.Factor(now.Add(5 * paceTimeConstant)); math.Abs(later-1) > 0.3 {
		t.Errorf("factor %.2f long after the last observation", later)
	}
}
