package membership

import (
	"testing"
	"time"
)

// TestLateDeltas applies the deltas of an origin out of order: a delta that leaves a gap must not be applied, and an
// older one must not undo a later one. TestGossipUnderFaults reaches these orders too rarely.
func TestLateDeltas(t *testing.T) {
	start := time.Unix(1000, 0)
	origin := NewGossip[int](start, "origin", 1)
	deltasSince := func(since uint64) []Delta[int] {
		return origin.DeltasSince(start, gossipTTL, []Mark{{Origin: "origin", Incarnation: 1, Version: since}})
	}
	origin.Put("a", 1)
	origin.Beat(start)
	full := origin.DeltasSince(start, gossipTTL, nil)
	origin.Put("b", 2)
	second := deltasSince(1)
	origin.Put("a", 3)
	third := deltasSince(2)
	tests := []struct {
		name   string
		deltas [][]Delta[int]
		a, b   int
	}{
		{"in order", [][]Delta[int]{full, second, third}, 3, 2},
		{"a delta after a gap is ignored", [][]Delta[int]{full, third}, 1, 0},
		{"an ignored delta does not hide the ones before it", [][]Delta[int]{full, third, second, third}, 3, 2},
		{"an older delta changes nothing", [][]Delta[int]{full, second, third, full, second}, 3, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewGossip[int](start, "entry", 1)
			for _, deltas := range tt.deltas {
				s.Apply(start, deltas)
			}
			got := map[string]int{}
			s.Each(start, gossipTTL, func(_, key string, value int) { got[key] = value })
			if got["a"] != tt.a || got["b"] != tt.b {
				t.Errorf("the entry has %v, want a %d and b %d", got, tt.a, tt.b)
			}
		})
	}
	t.Run("a repeated beat does not keep an origin alive", func(t *testing.T) {
		s := NewGossip[int](start, "entry", 1)
		s.Apply(start, full)
		s.Apply(start.Add(gossipTTL), full)
		if live := s.Live(start.Add(gossipTTL+time.Second), gossipTTL); len(live) != 1 {
			t.Errorf("live origins are %v", live)
		}
	})
}
