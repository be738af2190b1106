package configuration

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestEvacuationsOutOfOrder has control daemons that are behind one another, current or not, send their evacuations in random
// order: the ones with the highest index are in force.
func TestEvacuationsOutOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []Orders{{}}
		for index := range int64(12) {
			domain := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
			last := history[len(history)-1]
			if rapid.Bool().Draw(t, "withdrawn") {
				history = append(history, last.WithoutEvacuation(index+1, domain))
			} else {
				history = append(history, last.WithEvacuation(index+1, domain))
			}
		}
		var known, newest Evacuations
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			received := rapid.SampledFrom(history).Draw(t, "orders").Evacuations()
			if received.Index > newest.Index {
				newest = received
			}
			if known = known.With(received, rapid.Bool().Draw(t, "current")); !known.Equal(newest) {
				t.Fatalf("%v in force, want %v", known, newest)
			}
		}
	})
}

// TestEvacuationsWithoutIndex has a control daemon of an earlier version send evacuations, which have no index.
func TestEvacuationsWithoutIndex(t *testing.T) {
	for _, c := range []struct {
		name            string
		known, received []string
		current         bool
		want            []string
	}{
		{"current", []string{"a"}, []string{"b"}, true, []string{"b"}},
		{"current, withdrawn", []string{"a"}, nil, true, nil},
		{"stale", []string{"a"}, []string{"b"}, false, []string{"a"}},
		{"stale, none known", nil, []string{"b"}, false, []string{"b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Evacuations{Index: 7, Domains: c.known}.With(Evacuations{Index: UnknownIndex, Domains: c.received}, c.current)
			if got.Index != 7 || !slices.Equal(got.Domains, c.want) {
				t.Errorf("%v in force", got)
			}
		})
	}
}
