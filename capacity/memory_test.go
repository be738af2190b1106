package capacity

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHeldMemory guards against memory that stays counted or is removed twice once requests have ended in any order,
// with parts in common, lying sizes of parts, and answers longer than expected.
func TestHeldMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m HeldMemory
		var running []Holding
		begun := int64(0)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "passed")) * time.Millisecond)
			if len(running) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				if generated := rapid.Int64Range(0, 3000).Draw(t, "generated"); running[i].Outgrown(generated) {
					m.Grow(&running[i], generated)
				}
				m.End(running[i])
				running = append(running[:i], running[i+1:]...)
				continue
			}
			w := Work{PromptTokens: rapid.Int64Range(0, 54_000).Draw(t, "prompt"), OutputTokens: rapid.Int64Range(0, 1100).Draw(t, "output")}
			for range rapid.IntRange(0, 3).Draw(t, "parts") {
				w.Parts = append(w.Parts, Part{ID: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")), Tokens: rapid.Int64Range(0, 1<<62).Draw(t, "tokens")})
			}
			begun += w.HeldTokens()
			running = append(running, m.Begin(now, w, OtherRequests{Requests: rapid.IntRange(0, 64).Draw(t, "others"), Gateways: rapid.IntRange(0, 83).Draw(t, "gateways")}))
			if m.Tokens() < 0 || m.Tokens() > begun {
				t.Fatalf("%d tokens held, requests of %d have begun", m.Tokens(), begun)
			}
		}
		for _, h := range running {
			m.End(h)
		}
		if m.Tokens() != 0 {
			t.Fatalf("%d tokens are held by no request", m.Tokens())
		}
	})
}

// TestSharedOverGateways guards against a popular part that counts once for each of many gateways, so that requests are
// refused although memory is free, and against one that counts far less than once over all of them.
func TestSharedOverGateways(t *testing.T) {
	const gateways, requests = 40, 60
	w := Work{PromptTokens: 7000, Parts: []Part{{ID: "common", Tokens: 6000}, {ID: "own", Tokens: 1000}}}
	held := make([]HeldMemory, gateways)
	now := time.Unix(1000, 0)
	var running []func()
	for i := range 2000 {
		now = now.Add(20 * time.Millisecond)
		m := &held[i%gateways]
		h := m.Begin(now, w, OtherRequests{Requests: min(len(running), requests), Gateways: gateways - 1})
		if running = append(running, func() { m.End(h) }); len(running) > requests {
			running[0]()
			running = running[1:]
		}
	}
	var sum int64
	for i := range held {
		sum += held[i].Tokens()
	}
	if actual := int64(6000 + 1000*requests); sum < actual*9/10 || sum > actual*14/10 {
		t.Errorf("%d tokens counted, %d held", sum, actual)
	}
}
