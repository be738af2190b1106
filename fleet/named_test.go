package fleet

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestDrawNamed guards against gateways that get more or less than their weight's share of callers, and against answers
// with fewer or more addresses than allowed.
func TestDrawNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const draws, n = 20_000, 64
		size := rapid.IntRange(3, 90).Draw(t, "gateways")
		var all []Gateway
		sum, largest := 0.0, 0.0
		for i := range size {
			w := rapid.Float64Range(0.14, 0.42).Draw(t, "weight")
			all = append(all, Gateway{Name: fmt.Sprintf("gateway-%02d", i), Weight: w})
			sum, largest = sum+w, max(largest, w)
		}
		all[0].Weight, sum = all[1].Weight/2, sum-all[0].Weight+all[1].Weight/2
		picked := map[string]float64{}
		for i := range draws {
			named := DrawNamed(all, n, (float64(i)+0.5)/draws)
			if len(named) < min(minNamed, size) || len(named) > n {
				t.Fatalf("%d of %d gateways named", len(named), size)
			}
			for _, g := range named {
				picked[g.Name] += 1 / float64(len(named)) / draws
			}
		}
		for _, g := range all {
			if want := g.Weight / sum; sum/largest >= minNamed && math.Abs(picked[g.Name]-want) > 0.01*want {
				t.Errorf("%s of weight %.3f is picked with %.5f, want %.5f", g.Name, g.Weight, picked[g.Name], want)
			}
		}
	})
}

// TestDrawNamedEqual guards against a change of the answers of deployments whose gateways are equal or do not report
// weights, whatever their load, and against a busy gateway being named as often as an idle one of its size.
func TestDrawNamedEqual(t *testing.T) {
	for _, weight := range []float64{0, 0.192} {
		var all []Gateway
		for i := range 70 {
			all = append(all, Gateway{Name: fmt.Sprint(i), Weight: weight, InFlight: i})
		}
		for i, g := range DrawNamed(all, 64, 0.3) {
			if g != all[i] {
				t.Errorf("weight %v: %s named at position %d", weight, g.Name, i)
			}
		}
	}
	named := map[string]int{}
	uneven := []Gateway{{Name: "idle", Weight: 1}, {Name: "busy", Weight: 1, InFlight: 500}, {Name: "large", Weight: 2}, {Name: "small", Weight: 0.5}, {Name: "unknown"}}
	for i := range 1000 {
		for _, g := range DrawNamed(uneven, 64, float64(i)/1000) {
			named[g.Name]++
		}
	}
	if named["busy"] >= named["idle"] || named["small"] >= named["idle"] || named["large"] < named["idle"] {
		t.Errorf("named: %v", named)
	}
}

// TestInFlightIsNoChange guards against messages between control daemons for each change of the requests in progress.
func TestInFlightIsNoChange(t *testing.T) {
	gateways := NewGateways(1)
	gateways.Announce(Gateway{Name: "a", Sequence: 1, Weight: 2, InFlight: 3})
	_, change := gateways.Since(0)
	gateways.Announce(Gateway{Name: "a", Sequence: 2, Weight: 2, InFlight: 9})
	if changed, _ := gateways.Since(change); len(changed) > 0 || gateways.Live()[0].InFlight != 9 {
		t.Errorf("changes %v, live %v", changed, gateways.Live())
	}
}
