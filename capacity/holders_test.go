package capacity

import (
	"testing"
	"time"
)

// TestHolders guards against parts that count as cached where they are not: at another endpoint, behind a part that is not
// cached, too long after the last use, and where the cache is lost.
func TestHolders(t *testing.T) {
	now := time.Unix(1000, 0)
	w := Work{PromptTokens: 1000, Parts: []Part{{ID: "system", Tokens: 500}, {ID: "subject", Tokens: 300}, {ID: "own", Tokens: 200}}}
	h := NewHolders()
	h.Use(now, PartHash("system"), "a")
	h.Use(now, PartHash("subject"), "a")
	h.Use(now, PartHash("subject"), "b")
	h.Use(now, PartHash("system"), "c")
	for _, c := range []struct {
		endpoint string
		after    time.Duration
		parts    int
	}{{"a", time.Second, 2}, {"b", time.Second, 0}, {"c", time.Second, 1}, {"a", holderTTL + 1, 0}, {"d", 0, 0}} {
		at := now.Add(c.after)
		p := h.Of(at, w, PromptHolders{})
		parts, held := p.At(at, c.endpoint, Retention{})
		if parts != c.parts || held.Evicted != 0 || (held.ReadCost == 0) != (parts == 2) {
			t.Errorf("%+v: %d parts, %+v", c, parts, held)
		}
	}
	p := h.Of(now, w, PromptHolders{})
	if parts, held := p.At(now.Add(5*time.Second), "a", NewRetention(80, 400, 0)); parts != 2 || held.Evicted != 400 {
		t.Errorf("%d parts, %+v at an endpoint that evicted half", parts, held)
	}
	h.Forget("a")
	if p = h.Of(now, w, PromptHolders{}); !p.Known() {
		t.Error("the holder b was forgotten with a")
	}
	if parts, _ := p.At(now, "a", Retention{}); parts != 0 {
		t.Errorf("%d parts at an endpoint whose cache is lost", parts)
	}
	for i := range 2 * maxHeldParts {
		h.Use(now, uint64(i), "d")
	}
	if parts, _ := h.Count(); parts > maxHeldParts {
		t.Errorf("%d parts are kept", parts)
	}
	h.Use(now.Add(2*holderTTL), 1, "d")
	if parts, holders := h.Count(); parts != 1 || holders != 1 {
		t.Errorf("%d parts with %d holders after their time", parts, holders)
	}
}

// TestPopularPartIsCheaperToRead guards against a popular part that costs as much to copy as one that is seldom used.
func TestPopularPartIsCheaperToRead(t *testing.T) {
	now, h := time.Unix(1000, 0), NewHolders()
	for i := range 400 {
		h.Use(now.Add(time.Duration(i)*50*time.Millisecond), PartHash("popular"), "a")
	}
	now = now.Add(20 * time.Second)
	h.Use(now, PartHash("rare"), "a")
	cost := map[string]float64{}
	for _, id := range []string{"popular", "rare"} {
		p := h.Of(now, Work{PromptTokens: 2000, Parts: []Part{{ID: id, Tokens: 1000}, {ID: "own", Tokens: 1000}}}, PromptHolders{})
		_, held := p.At(now, "b", Retention{})
		cost[id] = held.ReadCost
	}
	if cost["popular"]*4 > cost["rare"] {
		t.Errorf("costs %v", cost)
	}
}

// TestFirstUses guards against gateways that send the first uses of many parts to the endpoint that was idle in the last report:
// each part goes to the endpoint that it is hashed to while no endpoint has it.
func TestFirstUses(t *testing.T) {
	now, h, chosen := time.Unix(1000, 0), NewHolders(), map[int]bool{}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		w := sharedPrefixWork(id)
		all := candidates(4)
		p := h.Of(now, w, PromptHolders{})
		for i := range all {
			all[i].CachedParts, all[i].Held = p.At(now, all[i].ID, Retention{})
			if i > 0 {
				all[i].Outstanding.PromptTokens[0] = 500
			}
		}
		got, _ := Choose(all, w, NewSpeed(), 0, time.Second, 0)
		chosen[got.Index] = true
		if got.UncachedTokens != w.PromptTokens {
			t.Errorf("part %s: %d tokens to read of a part that no endpoint has", id, got.UncachedTokens)
		}
	}
	if len(chosen) < 3 {
		t.Errorf("first uses of eight parts at %d of 4 endpoints", len(chosen))
	}
}
