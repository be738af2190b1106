package capacity

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetention guards against parts that count as cached after the endpoint has read more than its free cache holds,
// and against doubts where nothing is known or little was read.
func TestRetention(t *testing.T) {
	for _, c := range []struct {
		rate         float64
		memory, held int64
		age          time.Duration
		want         float64
	}{
		{80_000, 0, 0, time.Hour, 1},
		{0, 400_000, 0, time.Hour, 1},
		{80_000, 400_000, 0, time.Second, 1},
		{80_000, 400_000, 0, 5 * time.Second, 0.5},
		{80_000, 400_000, 0, 8 * time.Second, 0},
		{80_000, 400_000, 320_000, time.Second, 0.5},
		{80_000, 400_000, 500_000, time.Second, 0},
		{80_000, 400_000, 0, -time.Second, 1},
	} {
		r := NewRetention(c.rate, c.memory, c.held)
		if got := r.Probability(c.age); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%+v: probability %v", c, got)
		}
	}
}

// TestRetentionBounds guards against estimates outside their bounds: expected tokens between the uncached ones and all, not
// falling with age, and a cost of reading again of at least the prefill, not rising with the uses of a part.
func TestRetentionBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRetention(rapid.Float64Range(0, 1e6).Draw(t, "rate"), rapid.Int64Range(0, 1e6).Draw(t, "memory"), rapid.Int64Range(-10, 2e6).Draw(t, "held"))
		all := rapid.Int64Range(0, 60_000).Draw(t, "all")
		uncached := rapid.Int64Range(0, all).Draw(t, "uncached")
		age := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age"))
		sooner, later := r.Expected(uncached, all, age), r.Expected(uncached, all, 2*age)
		if sooner < uncached || later < sooner || later > all {
			t.Fatalf("expected %d and later %d of %d to %d", sooner, later, uncached, all)
		}
		uses := rapid.Float64Range(-1, 1e4).Draw(t, "uses")
		rare, popular := ReadCost(uses/2), ReadCost(uses)
		if popular < 1 || uses > 0 && rare < popular || rare > minReadCost+rareReadCost {
			t.Fatalf("cost %v at half of %v uses, %v at all", rare, uses, popular)
		}
	})
}

// TestAmpleCacheChoosesAsBefore guards against other choices where caches evict nothing and reading costs what it does without
// known holders: they equal those without them.
func TestAmpleCacheChoosesAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		with, w := candidates(6), sharedPrefixWork(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "part"))
		without := candidates(6)
		preferred := preferredCandidate(with, w)
		for i := range with {
			c := &with[i]
			c.Busy, c.CachedParts = rapid.Float64Range(0, 1).Draw(t, "busy"), rapid.IntRange(0, len(w.Shared())).Draw(t, "cached")
			c.Outstanding.PromptTokens[0] = rapid.Int64Range(0, 80_000).Draw(t, "backlog")
			if i == preferred {
				c.CachedParts = len(w.Shared())
			}
			without[i] = *c
			c.Held = CachedPrompt{Known: true, ReadCost: sharedPrefixCost * float64(w.UncachedTokens(c.CachedParts)-w.UncachedTokens(len(w.Shared())))}
		}
		draw := rapid.Float64Range(0, 0.99).Draw(t, "draw")
		got, _ := Choose(with, w, NewSpeed(), 0, time.Second, draw)
		want, _ := Choose(without, w, NewSpeed(), 0, time.Second, draw)
		// A known holder is preferred, in place of the endpoint to which the part is hashed, and other regions are asked to count the
		// parts, too; the choice here must be the same.
		want.Preferred, want.weighsParts = with[want.Index].CachedParts == len(w.Shared()), true
		if got != want {
			t.Fatalf("chose %+v, without known holders %+v", got, want)
		}
	})
}

// TestSecondHolder guards against a queue at the only holder of a popular part, against a rare part that is read again for
// the same queue, against one kept at the cost of a long wait, and against fetching from an endpoint that has most likely
// evicted the parts.
func TestSecondHolder(t *testing.T) {
	w := sharedPrefixWork("subject")
	shared := w.UncachedTokens(0) - w.UncachedTokens(len(w.Shared()))
	for _, c := range []struct {
		backlog, evicted int64
		uses             float64
		fetch            time.Duration
		stays, fetches   bool
	}{
		{2_000, 0, 20, 0, true, false},
		{15_000, 0, 20, 0, false, false},
		{15_000, 0, 0, 0, true, false},
		{200_000, 0, 0, 0, false, false},
		{60_000, 0, 0, 500, false, true},
		{160_000, shared * 2 / 3, 0, 500, false, false},
	} {
		all := candidates(5)
		const holder = 3
		for i := range all {
			all[i].Held = CachedPrompt{Known: true, ReadCost: ReadCost(c.uses) * float64(shared)}
		}
		all[holder].CachedParts = len(w.Shared())
		all[holder].Held = CachedPrompt{Known: true, Evicted: c.evicted, ReadCost: ReadCost(c.uses) * float64(c.evicted)}
		all[holder].Outstanding = Outstanding{Requests: 5, Waiting: Backlog{5}, PromptTokens: Backlog{c.backlog}}
		got, _ := Choose(all, w, NewSpeed(), c.fetch, time.Second, 0)
		if (got.Index == holder) != c.stays || (got.FetchFrom == holder) != c.fetches {
			t.Errorf("%+v: chose %+v", c, got)
		}
	}
}
