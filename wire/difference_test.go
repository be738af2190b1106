package wire_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

func TestDifferences(t *testing.T) {
	before := &wiregen.Inventory{
		Regions: []*wiregen.Region{{Name: "lahore", FailureDomains: []string{"a", "b"}}, {Name: "karachi"}},
		Links:   []*wiregen.Link{{From: "lahore", To: "karachi", RoundTripMillis: 80}},
		Rules:   &wiregen.Rules{RetryBudget: 0.1},
	}
	tests := map[string]struct {
		change func(*wiregen.Inventory)
		want   []wire.Difference
	}{
		"nothing": {change: func(*wiregen.Inventory) {}},
		"order of items": {change: func(m *wiregen.Inventory) {
			m.Regions[0], m.Regions[1] = m.Regions[1], m.Regions[0]
		}},
		"value": {
			change: func(m *wiregen.Inventory) { m.Rules.RetryBudget = 0.2 },
			want:   []wire.Difference{{Path: "rules.retryBudget", Before: "0.1", After: "0.2"}},
		},
		"value of an item": {
			change: func(m *wiregen.Inventory) { m.Links[0].RoundTripMillis = 90 },
			want:   []wire.Difference{{Path: "links[lahore-karachi].roundTripMillis", Before: "80", After: "90"}},
		},
		"list of texts": {
			change: func(m *wiregen.Inventory) { m.Regions[0].FailureDomains = []string{"a"} },
			want:   []wire.Difference{{Path: "regions[lahore].failureDomains", Before: "a,b", After: "a"}},
		},
		"item removed and added": {
			change: func(m *wiregen.Inventory) { m.Regions[1] = &wiregen.Region{Name: "peshawar"} },
			want: []wire.Difference{
				{Path: "regions[peshawar]", After: `{"name":"peshawar"}`},
				{Path: "regions[karachi]", Before: `{"name":"karachi"}`},
			},
		},
		"adapters of one name": {
			change: func(m *wiregen.Inventory) {
				m.Adapters = []*wiregen.Adapter{{Model: "a", Name: "x"}, {Model: "b", Name: "x"}}
			},
			want: []wire.Difference{
				{Path: "adapters[a:x]", After: `{"model":"a","name":"x"}`},
				{Path: "adapters[b:x]", After: `{"model":"b","name":"x"}`},
			},
		},
		"message removed": {
			change: func(m *wiregen.Inventory) { m.Rules = nil },
			want:   []wire.Difference{{Path: "rules.retryBudget", Before: "0.1"}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			after := proto.CloneOf(before)
			tt.change(after)
			if diff := cmp.Diff(tt.want, wire.Differences(before, after)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDifferencesFindEveryChange draws teams and checks that two inventories have no differences if and only if they
// hold the same teams.
func TestDifferencesFindEveryChange(t *testing.T) {
	team := rapid.Custom(func(t *rapid.T) *wiregen.Team {
		return &wiregen.Team{
			Name:            rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
			Labels:          rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 0, 2).Draw(t, "labels"),
			TokensPerSecond: float64(rapid.IntRange(0, 2).Draw(t, "tokensPerSecond")),
		}
	})
	teams := rapid.SliceOfNDistinct(team, 0, 3, (*wiregen.Team).GetName)
	rapid.Check(t, func(t *rapid.T) {
		before := &wiregen.Inventory{Teams: teams.Draw(t, "before")}
		after := &wiregen.Inventory{Teams: teams.Draw(t, "after")}
		same := len(before.GetTeams()) == len(after.GetTeams())
		for _, a := range after.GetTeams() {
			found := false
			for _, b := range before.GetTeams() {
				found = found || proto.Equal(a, b)
			}
			same = same && found
		}
		if differences := wire.Differences(before, after); (len(differences) == 0) != same {
			t.Fatalf("differences %v, although same is %v", differences, same)
		}
	})
}
