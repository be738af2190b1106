package configuration

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestDocumentsByVersion applies documents in random order, with repeated versions and differing contents; the first
// document of the highest version must be in force.
func TestDocumentsByVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Orders
		first := map[int64]string{}
		var highest int64
		for _, version := range rapid.SliceOfN(rapid.Int64Range(1, 9), 1, 30).Draw(t, "versions") {
			content := rapid.StringN(1, 3, -1).Draw(t, "content")
			if version > highest {
				highest, first[version] = version, content
			}
			o = o.WithDocument(Document{Version: version, Content: []byte(content)})
			if got := o.Document(); got.Version != highest || string(got.Content) != first[highest] {
				t.Fatalf("document %d %q is in force, want %d %q", got.Version, got.Content, highest, first[highest])
			}
		}
	})
}

func TestEvacuations(t *testing.T) {
	o := Orders{}.WithEvacuation(1, "b").WithEvacuation(2, "a").WithEvacuation(3, "b")
	if diff := cmp.Diff([]string{"a", "b"}, o.Evacuations().Domains); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"a"}, o.WithoutEvacuation(4, "b").WithoutEvacuation(5, "c").Evacuations().Domains); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"a", "b"}, o.Evacuations().Domains); diff != "" {
		t.Errorf("withdrawing changed the orders before it: %s", diff)
	}
}
