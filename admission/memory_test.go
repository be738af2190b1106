package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// TestMemoryBudget lets holders acquire and release bytes, and checks the bound of each holder, that of all deferrable
// requests together, and that a holder of nothing is refused at most two thirds of the free bytes only if it is
// deferrable.
func TestMemoryBudget(t *testing.T) {
	holders := []Holder{{Team: "a"}, {Team: "b"}, {Team: "a", Deferrable: true}, {Team: "b", Deferrable: true}}
	rapid.Check(t, func(t *rapid.T) {
		const size = 900
		budget := NewMemoryBudget(size)
		held := map[Holder][]int64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			if n := len(held[h]); n > 0 && rapid.Bool().Draw(t, "gives") {
				budget.Release(h, held[h][n-1])
				held[h] = held[h][:n-1]
				continue
			}
			bytes := rapid.Int64Range(0, 300).Draw(t, "bytes")
			first := len(held[h]) == 0
			acquired := budget.Acquire(h, bytes)
			if acquired {
				held[h] = append(held[h], bytes)
			}
			if free := size - budget.Used(); first && !acquired && !h.Deferrable && 3*bytes <= 2*free {
				t.Fatalf("%v holds nothing and with %d bytes free was refused %d", h, free, bytes)
			}
			sum, deferrable := int64(0), int64(0)
			for h, all := range held {
				own := int64(0)
				for _, b := range all {
					own += b
				}
				if h.Deferrable {
					deferrable += own
				}
				if own > size*2/3 || h.Deferrable && own > size/3 {
					t.Fatalf("%v holds %d of %d", h, own, size)
				}
				sum += own
			}
			if sum != budget.Used() || sum > size || deferrable > size/2 {
				t.Fatalf("%d bytes are held, %d of them by deferrable requests, %d used", sum, deferrable, budget.Used())
			}
		}
		for h, all := range held {
			for _, b := range all {
				budget.Release(h, b)
			}
		}
		if budget.Used() != 0 || len(budget.held) != 0 {
			t.Fatalf("%d bytes are still used, holders %v", budget.Used(), budget.held)
		}
	})
}
