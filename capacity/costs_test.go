package capacity

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCosts guards against explanations that differ from the choice: the cost of the chosen candidate is that of Choose, and no other
// one costs less by more than a tie.
func TestCosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(1, 8).Draw(t, "endpoints"))
		for i := range all {
			c := &all[i]
			c.Outstanding = Outstanding{Requests: rapid.IntRange(0, 140).Draw(t, "requests"), HeldTokens: rapid.Int64Range(0, 500_000).Draw(t, "held")}
			c.Outstanding.PromptTokens[0] = rapid.Int64Range(0, 200_000).Draw(t, "queued")
			c.Busy, c.FailureRate = rapid.Float64Range(0, 1).Draw(t, "busy"), rapid.Float64Range(0, 1).Draw(t, "failures")
			c.CachedParts, c.Remote = rapid.IntRange(0, 2).Draw(t, "cached"), rapid.Bool().Draw(t, "remote")
			c.Decode = DecodeEstimate{Factor: rapid.Float64Range(0.3, 5).Draw(t, "pace"), Count: 10}
		}
		w := sharedPrefixWork("subject")
		w.Bytes, w.Stream = 10_000, Stream{Gap: 300 * time.Millisecond, EventTokens: 10, First: time.Second, Remaining: 10 * time.Second}
		fetch := time.Duration(rapid.IntRange(0, 5).Draw(t, "fetch")) * time.Microsecond
		choice, _ := Choose(all, w, NewSpeed(), fetch, time.Second, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
		costs := Costs(all, w, NewSpeed(), fetch, time.Second)
		got := costs[choice.Index]
		if got.Total() != choice.Cost || got.Expected != choice.Expected || got.End != choice.End || got.UncachedTokens != choice.UncachedTokens || got.Fetches != (choice.FetchFrom >= 0) {
			t.Fatalf("%+v, chosen %+v", got, choice)
		}
		for i, c := range costs {
			// Each of several ties in a row may move the best by a tie.
			if c.Total() < choice.Cost-time.Duration(len(all))*tieThreshold {
				t.Fatalf("candidate %d costs %v, less than the choice of %v", i, c.Total(), choice.Cost)
			}
		}
	})
}
