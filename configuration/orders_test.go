package configuration

import (
	"errors"
	"fmt"
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

// TestOutdatedOrder checks which orders about the failure domain d would undo a decision that was not known where they arrived.
func TestOutdatedOrder(t *testing.T) {
	restored := RestoreOrders(5, Document{}, Evacuations{Index: 2, Domains: []string{"d"}})
	many := restored
	for i := range int64(maxEvacuationDecisions) {
		many = many.WithEvacuation(10+i, fmt.Sprint(i))
	}
	for _, c := range []struct {
		name      string
		orders    Orders
		known     int64
		withdrawn bool
		outdated  bool
	}{
		{"before the snapshot", restored, 4, true, true},
		{"at the snapshot", restored, 5, true, false},
		{"in force already", restored, 0, false, false},
		{"before a change", restored.WithoutEvacuation(7, "d"), 6, false, true},
		{"after a change", restored.WithoutEvacuation(7, "d"), 7, false, false},
		{"before the same order again", restored.WithEvacuation(7, "d"), 6, true, true},
		{"before orders about others", restored.WithEvacuation(7, "d").WithEvacuation(8, "e"), 7, true, false},
		{"decision retained", many, 9, true, false},
		{"decision not retained", many.WithEvacuation(1000, "e"), 9, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.orders.CheckEvacuation(c.known, "d", c.withdrawn)
			if got := errors.As(err, new(*OutdatedOrderError)); got != c.outdated {
				t.Errorf("got %v", err)
			}
		})
	}
}
