package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// TestRoom lets holders take and return bytes and checks the bounds of all of them.
func TestRoom(t *testing.T) {
	holders := []Holder{{Team: "a"}, {Team: "b"}, {Team: "a", Deferrable: true}, {Team: "b", Deferrable: true}}
	rapid.Check(t, func(t *rapid.T) {
		const size = 900
		r := NewRoom(size)
		held := map[Holder][]int64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			if n := len(held[h]); n > 0 && rapid.Bool().Draw(t, "gives") {
				r.Give(h, held[h][n-1])
				held[h] = held[h][:n-1]
				continue
			}
			bytes := rapid.Int64Range(0, 300).Draw(t, "bytes")
			first := len(held[h]) == 0
			taken := r.Take(h, bytes)
			if taken {
				held[h] = append(held[h], bytes)
			}
			if free := size - r.Used(); first && !taken && !h.Deferrable && 3*bytes <= 2*free {
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
			if sum != r.Used() || sum > size || deferrable > size/2 {
				t.Fatalf("%d bytes are held, %d of them by deferrable requests, %d used", sum, deferrable, r.Used())
			}
		}
		for h, all := range held {
			for _, b := range all {
				r.Give(h, b)
			}
		}
		if r.Used() != 0 || len(r.held) != 0 {
			t.Fatalf("%d bytes are still used, holders %v", r.Used(), r.held)
		}
	})
}
