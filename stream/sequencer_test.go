package stream

import (
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestSequencer feeds an attempt's pieces mixed with those of other attempts, late ones and duplicates, in any order.
func TestSequencer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.IntRange(0, 3).Draw(t, "first")
		n := first + rapid.IntRange(0, 8).Draw(t, "pieces")
		sequencer := NewSequencer("own", 1, first)
		var accepted []int
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			p := Piece{
				RequestID: rapid.SampledFrom([]string{"own", "own", "own", "other"}).Draw(t, "request"),
				Attempt:   rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "attempt"),
				Position:  rapid.IntRange(0, n).Draw(t, "position"),
			}
			next := sequencer.Next()
			ok, err := sequencer.Accept(p)
			own := p.RequestID == "own" && p.Attempt == 1
			var gap *GapError
			if ok != (own && p.Position == next) || errors.As(err, &gap) != (own && p.Position > next) {
				t.Fatalf("piece %+v at position %d: accepted %v, error %v", p, next, ok, err)
			}
			if ok {
				accepted = append(accepted, p.Position)
			}
		}
		for i, position := range accepted {
			if position != first+i {
				t.Fatalf("accepted positions %v from %d", accepted, first)
			}
		}
		_, err := sequencer.Close(End{Pieces: n})
		if (err == nil) != (first+len(accepted) == n) {
			t.Fatalf("end of %d pieces after %d accepted from %d: %v", n, len(accepted), first, err)
		}
	})
}

func TestSequencerDropsWithoutChange(t *testing.T) {
	sequencer := NewSequencer("own", 0, 0)
	pieces := []Piece{{RequestID: "own"}, {RequestID: "own"}, {RequestID: "other", Position: 1}, {RequestID: "own", Attempt: 1, Position: 1}}
	var accepted []bool
	for _, p := range pieces {
		ok, _ := sequencer.Accept(p)
		accepted = append(accepted, ok)
	}
	if !slices.Equal(accepted, []bool{true, false, false, false}) || sequencer.Next() != 1 {
		t.Errorf("accepted %v, next %d", accepted, sequencer.Next())
	}
}
