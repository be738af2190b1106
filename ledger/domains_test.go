package ledger

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPlace(t *testing.T) {
	domains := map[string]string{"a0": "a", "a1": "a", "a2": "a", "b0": "b", "b1": "b", "c0": "c"}
	tests := []struct {
		name  string
		slots []string
		want  Placement
	}{
		{"three domains", []string{"a0", "b0", "c0"}, Placement{}},
		{"a majority in one domain", []string{"a0", "a1", "b0"}, Placement{FatalDomain: "a", Alternative: []string{"a0", "b0", "c0"}}},
		{"all in one domain", []string{"a0", "a1", "a2"}, Placement{FatalDomain: "a", Alternative: []string{"a0", "b0", "c0"}}},
		{
			"five replicas in two domains",
			[]string{"a0", "a1", "b0", "b1", "a2"},
			Placement{FatalDomain: "a", Alternative: []string{"a0", "a1", "b0", "b1", "c0"}},
		},
		{"two replicas can spare none", []string{"a0", "b0"}, Placement{FatalDomain: "a"}},
		{"unknown domains count in none", []string{"a0", "x", "y"}, Placement{}},
		{"no replicas", nil, Placement{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, CheckPlacement(tt.slots, domains)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
