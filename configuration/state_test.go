package configuration

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

func TestStateNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		first := map[string]Answer{}
		n := rapid.IntRange(1, 100).Draw(t, "changes")
		for range n {
			id := strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "id"))
			before := s.Revision()
			expected := before - rapid.Int64Range(0, 2).Draw(t, "behind")
			answer := s.Apply(Change{ID: id, Expected: expected})
			if known, ok := first[id]; ok {
				if answer != known {
					t.Fatalf("change %s was answered %+v, and first %+v", id, answer, known)
				}
				if s.Revision() != before {
					t.Fatalf("a resent change moved the revision from %d to %d", before, s.Revision())
				}
				continue
			}
			first[id] = answer
			if answer.Accepted != (expected == before) {
				t.Fatalf("change on %d at revision %d: accepted is %v", expected, before, answer.Accepted)
			}
			if s.Revision() < before {
				t.Fatalf("revision went from %d to %d", before, s.Revision())
			}
		}
	})
}
