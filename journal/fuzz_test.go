package journal

import (
	"bytes"
	"slices"
	"testing"
)

// FuzzOpen checks for arbitrary files that Open either fails or opens them, that a record appended after opening is
// read back, and that a second Open truncates nothing more.
func FuzzOpen(f *testing.F) {
	whole, before := writeJournal(f, "first", "second", "the last record")
	f.Add(whole)
	f.Add(whole[:before+3])
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{})
	f.Add(append(slices.Clone(whole), make([]byte, 600)...))
	f.Add(appendFrame(slices.Clone(whole), identityFrame, []byte("again")))
	f.Add(append(slices.Clone(whole), 0xff, 0xff, 0xff, 0xff, byte(recordFrame)))
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
		if err != nil || again.Identity != c.Identity || again.Truncated != 0 || !bytes.Equal(again.Snapshot, c.Snapshot) {
			t.Fatalf("opened again: %+v, %v; before: %+v", again, err, c)
		}
		if want := append(recordTexts(c.Records), "next"); !slices.Equal(recordTexts(again.Records), want) {
			t.Errorf("records %q, want %q", recordTexts(again.Records), want)
		}
	})
}
