package inventory

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestWithPatchAgainstMap patches the labels of an inventory and compares them with a map as the reference model.
func TestWithPatchAgainstMap(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	label := rapid.Custom(func(t *rapid.T) Label {
		regions := rapid.SampledFrom([][]string{{"north"}, {"south"}, {"north", "south"}}).Draw(t, "allowedRegions")
		return Label{Name: rapid.SampledFrom(names).Draw(t, "name"), AllowedRegions: regions}
	})
	name := func(l Label) string { return l.Name }
	rapid.Check(t, func(t *rapid.T) {
		c := valid()
		c.Teams = nil
		c.Labels = rapid.SliceOfNDistinct(label, 0, 4, name).Draw(t, "labels")
		before, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		put := rapid.SliceOfNDistinct(label, 0, 4, name).Draw(t, "put")
		removed := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 2, rapid.ID).Draw(t, "remove")
		want := map[string]Label{}
		for _, l := range c.Labels {
			want[l.Name] = l
		}
		refused := false
		p := Patch{Put: Contents{Labels: put}}
		for _, n := range removed {
			_, known := want[n]
			refused = refused || !known || slices.ContainsFunc(put, func(l Label) bool { return l.Name == n })
			delete(want, n)
			p.Remove = append(p.Remove, fmt.Sprintf("labels[%s]", n))
		}
		for _, l := range put {
			want[l.Name] = l
		}
		after, err := before.WithPatch(p)
		var faults Faults
		if errors.As(err, &faults) != refused {
			t.Fatalf("refused %v: %v", refused, err)
		}
		if refused {
			return
		}
		got := map[string]Label{}
		for _, l := range after.Contents().Labels {
			got[l.Name] = l
		}
		if diff := cmp.Diff(want, got); diff != "" || len(got) != len(after.Contents().Labels) {
			t.Fatal(diff)
		}
		if diff := cmp.Diff(c, before.Contents()); diff != "" {
			t.Fatalf("the inventory before has changed: %s", diff)
		}
	})
}

func TestWithPatch(t *testing.T) {
	tests := []struct {
		name  string
		patch Patch
		want  []string
	}{
		{name: "nothing"},
		{name: "link by its other direction", patch: Patch{Remove: []string{"links[south-north]"}}},
		{name: "link put in the other direction", patch: Patch{Put: Contents{Links: []Link{{From: "south", To: "north", BytesPerSecond: 2}}}}},
		{name: "adapter of an unknown model", patch: Patch{Put: Contents{Adapters: []Adapter{{Model: "x", Name: "a"}}}}, want: []string{"adapters[0].model"}},
		{name: "unknown list", patch: Patch{Remove: []string{"people[t]"}}, want: []string{"remove[0]"}},
		{name: "unknown item", patch: Patch{Remove: []string{"teams[t]", "teams[u]"}}, want: []string{"remove[1]"}},
		{name: "item that others need", patch: Patch{Remove: []string{"classes[c]"}}, want: []string{"teams[0].defaultClass"}},
		{name: "item put twice", patch: Patch{Put: Contents{Models: []Model{{Name: "m"}, {Name: "m"}}}}, want: []string{"models[1].name"}},
		{name: "item removed and put", patch: Patch{Put: Contents{Models: []Model{{Name: "m"}}}, Remove: []string{"models[m]"}}, want: []string{"remove[0]"}},
		{name: "invalid rules", patch: Patch{Rules: &Rules{RetryBudget: 2}}, want: []string{"rules.retryBudget"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before, err := New(valid())
			if err != nil {
				t.Fatal(err)
			}
			after, err := before.WithPatch(tt.patch)
			var faults Faults
			_ = errors.As(err, &faults)
			var paths []string
			for _, f := range faults {
				paths = append(paths, f.Path)
			}
			if diff := cmp.Diff(tt.want, paths); diff != "" {
				t.Fatal(diff)
			}
			if err == nil && len(after.Contents().Links) > 1 {
				t.Errorf("links %v", after.Contents().Links)
			}
		})
	}
}
