package journal

import (
	"bytes"
	"slices"
	"testing"
)

// FuzzOpen checks that any file is refused or opened, that what is added to an opened one lasts, and that the cut is final.
func FuzzOpen(f *testing.F) {
	whole, before := written(f, "first", "second", "the last record")
	f.Add(whole)
	f.Add(whole[:before+3])
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{})
	f.Add(append(slices.Clone(whole), make([]byte, 600)...))
	f.Add(appendPart(slices.Clone(whole), identityKind, []byte("again")))
	f.Add(append(slices.Clone(whole), 0xff, 0xff, 0xff, 0xff, byte(recordKind)))
	f.Fuzz(func(t *testing.T, b []byte) {
		d := diskWith(slices.Clone(b))
		j, c, err := Open(d, "disk-new")
		if err != nil {
			return
		}
		if err := j.Append([]byte("next")); err != nil {
			t.Fatal(err)
		}
		_, again, err := Open(d, "disk-new")
		if err != nil || again.Identity != c.Identity || again.Cut != 0 || !bytes.Equal(again.Snapshot, c.Snapshot) {
			t.Fatalf("opened again: %+v, %v; before: %+v", again, err, c)
		}
		if want := append(texts(c.Records), "next"); !slices.Equal(texts(again.Records), want) {
			t.Errorf("records %q, want %q", texts(again.Records), want)
		}
	})
}
