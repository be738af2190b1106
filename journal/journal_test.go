package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

func mustOpen(t testing.TB, files Files) (*Journal, Contents) {
	t.Helper()
	j, c, err := Open(files, "disk-new")
	if err != nil {
		t.Fatal(err)
	}
	return j, c
}

// writeJournal returns the file of a journal with the records, and its length before the last record.
func writeJournal(t testing.TB, records ...string) (b []byte, beforeLast int) {
	t.Helper()
	d := newMemoryDisk()
	j, _ := mustOpen(t, d)
	for _, r := range records {
		beforeLast = int(j.Size())
		if err := errors.Join(j.Append([]byte(r)), j.Sync()); err != nil {
			t.Fatal(err)
		}
	}
	return d.files[fileName].data, beforeLast
}

func recordTexts(records [][]byte) []string {
	var all []string
	for _, r := range records {
		all = append(all, string(r))
	}
	return all
}

func TestCutAtEveryByteOfTheLastRecord(t *testing.T) {
	b, before := writeJournal(t, "first", "second", "the last record")
	for n := before; n < len(b); n++ {
		d := diskWith(slices.Clone(b[:n]))
		j, c := mustOpen(t, d)
		if diff := cmp.Diff([]string{"first", "second"}, recordTexts(c.Records)); diff != "" {
			t.Fatalf("cut at byte %d: %s", n, diff)
		}
		if c.Truncated != int64(n-before) {
			t.Fatalf("cut at byte %d: %d bytes were truncated", n, c.Truncated)
		}
		if err := errors.Join(j.Append([]byte("next")), j.Sync()); err != nil {
			t.Fatal(err)
		}
		_, c = mustOpen(t, d.crash(0))
		if diff := cmp.Diff([]string{"first", "second", "next"}, recordTexts(c.Records)); diff != "" {
			t.Fatalf("cut at byte %d, then appended: %s", n, diff)
		}
	}
}

func TestFlippedBitIsRefused(t *testing.T) {
	b, _ := writeJournal(t, "first", "second", "the last record")
	for n := range b {
		for bit := range 8 {
			damaged := slices.Clone(b)
			damaged[n] ^= 1 << bit
			_, c, err := Open(diskWith(damaged), "disk-new")
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) {
				t.Fatalf("bit %d of byte %d: error %v, contents %v", bit, n, err, recordTexts(c.Records))
			}
		}
	}
}

// TestHoles zeroes an unsynced write while a later one is preserved, as a power failure may. The journal must open with
// the records before the lost one; the loss of a synced record must be an error.
func TestHoles(t *testing.T) {
	d := newMemoryDisk()
	j, _ := mustOpen(t, d)
	sizes := []int64{j.Size()}
	if err := errors.Join(j.Append([]byte("synced")), j.Sync()); err != nil {
		t.Fatal(err)
	}
	for _, r := range []string{"first", "second", "third"} {
		sizes = append(sizes, j.Size())
		if err := j.Append([]byte(r)); err != nil {
			t.Fatal(err)
		}
	}
	b := d.files[fileName].data
	for _, c := range []struct {
		lost int
		want []string
	}{{1, []string{"synced"}}, {2, []string{"synced", "first"}}} {
		for from := sizes[c.lost]; from < sizes[c.lost+1]; from++ {
			damaged := slices.Clone(b)
			clear(damaged[from:sizes[c.lost+1]])
			if string(damaged) == string(b) {
				continue
			}
			after := diskWith(damaged)
			j, got := mustOpen(t, after)
			if diff := cmp.Diff(c.want, recordTexts(got.Records)); diff != "" {
				t.Fatalf("write %d lost from byte %d on: %s", c.lost, from, diff)
			}
			if err := errors.Join(j.Append([]byte("next")), j.Sync()); err != nil {
				t.Fatal(err)
			}
			if _, got = mustOpen(t, after.crash(0)); !slices.Equal(recordTexts(got.Records), append(slices.Clone(c.want), "next")) {
				t.Fatalf("after an append: %v", recordTexts(got.Records))
			}
		}
	}
	clear(b[sizes[0]:sizes[1]])
	var corrupt *CorruptError
	if _, _, err := Open(diskWith(b), "disk-new"); !errors.As(err, &corrupt) || corrupt.Offset != sizes[0] {
		t.Errorf("a synced record was lost: error %v", err)
	}
}

func TestFullDisk(t *testing.T) {
	b, before := writeJournal(t, "first", "second")
	for capacity := range len(b) - before {
		d := diskWith(slices.Clone(b[:before]))
		j, _ := mustOpen(t, d)
		d.capacity = capacity
		err := j.Append([]byte("second"))
		if !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("capacity of %d bytes: error %v", capacity, err)
		}
		d.capacity = -1
		if again := j.Append([]byte("third")); !errors.Is(again, syscall.ENOSPC) {
			t.Fatalf("a failed journal accepted a record: error %v", again)
		}
		_, c := mustOpen(t, d.crash(capacity))
		if diff := cmp.Diff([]string{"first"}, recordTexts(c.Records)); diff != "" {
			t.Fatalf("capacity of %d bytes: %s", capacity, diff)
		}
	}
}

func TestFailedSyncIsFinal(t *testing.T) {
	d := newMemoryDisk()
	j, _ := mustOpen(t, d)
	d.syncsLeft = 0
	err := errors.Join(j.Append([]byte("first")), j.Sync())
	if !errors.Is(err, syscall.EIO) {
		t.Fatalf("error %v", err)
	}
	d.syncsLeft = -1
	if err := j.Sync(); !errors.Is(err, syscall.EIO) {
		t.Errorf("a later sync answered %v", err)
	}
	if err := j.Compact(nil); !errors.Is(err, syscall.EIO) {
		t.Errorf("a later compaction answered %v", err)
	}
}

func TestEmptyFolderIsNewIdentity(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	open := func(identity string) Contents {
		f, err := OpenFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		j, c, err := Open(f, identity)
		if err != nil {
			t.Fatal(err)
		}
		defer j.Close()
		if _, err := OpenFolder(path); !errors.As(err, new(*LockedError)) {
			t.Errorf("a second process opened the folder: %v", err)
		}
		if err := errors.Join(j.Compact([]byte("snapshot"), []byte("kept")), j.Append([]byte("later")), j.Sync()); err != nil {
			t.Fatal(err)
		}
		return c
	}
	open("disk-1")
	want := Contents{Identity: "disk-1", Snapshot: []byte("snapshot"), Records: [][]byte{[]byte("kept"), []byte("later")}}
	if diff := cmp.Diff(want, open("disk-2")); diff != "" {
		t.Errorf("reopened: %s", diff)
	}
	if err := os.RemoveAll(path); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Contents{Identity: "disk-3"}, open("disk-3")); diff != "" {
		t.Errorf("empty folder: %s", diff)
	}
}

// TestCrashes compares the journal with a list of records under appends, syncs, compactions and power failures that
// preserve part of the unsynced bytes.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newMemoryDisk()
		j, _, err := Open(d, "disk-1")
		if err != nil {
			t.Fatal(err)
		}
		var snapshot string
		var records []string
		durable := 0
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				r := fmt.Sprint("record ", step)
				err = j.Append([]byte(r))
				records = append(records, r)
			case 1:
				err = j.Sync()
				durable = len(records)
			case 2:
				snapshot = fmt.Sprint("snapshot ", step)
				records = records[len(records)/2:]
				err = j.Compact([]byte(snapshot), slices.Collect(func(yield func([]byte) bool) {
					for _, r := range records {
						if !yield([]byte(r)) {
							return
						}
					}
				})...)
				durable = len(records)
			case 3:
				d = d.crash(rapid.IntRange(0, 80).Draw(t, "kept"), rapid.Uint64().Draw(t, "lost"))
				var c Contents
				j, c, err = Open(d, "disk-2")
				if c.Identity != "disk-1" || string(c.Snapshot) != snapshot {
					t.Fatalf("identity %q, snapshot %q, want %q", c.Identity, c.Snapshot, snapshot)
				}
				n := len(c.Records)
				if n < durable || n > len(records) {
					t.Fatalf("%d records, of %d durable and %d appended", n, durable, len(records))
				}
				if diff := cmp.Diff(records[:n], recordTexts(c.Records), cmpopts.EquateEmpty()); diff != "" {
					t.Fatal(diff)
				}
				records, durable = records[:n], n
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	})
}

func sizes() []int { return []int{100, 1000, 10_000, 100_000} }

func BenchmarkAppend(b *testing.B) {
	for _, n := range sizes() {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			record := make([]byte, 256)
			for range b.N {
				f, _ := OpenFolder(b.TempDir())
				j, _ := mustOpen(b, f)
				for range n {
					if err := j.Append(record); err != nil {
						b.Fatal(err)
					}
				}
				if err := errors.Join(j.Sync(), j.Close(), f.Close()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkAppendSync(b *testing.B) {
	f, _ := OpenFolder(b.TempDir())
	j, _ := mustOpen(b, f)
	record := make([]byte, 256)
	for range b.N {
		if err := errors.Join(j.Append(record), j.Sync()); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReplay(b *testing.B) {
	for _, n := range sizes() {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _ := OpenFolder(b.TempDir())
			j, _ := mustOpen(b, f)
			record := make([]byte, 256)
			for range n {
				if err := j.Append(record); err != nil {
					b.Fatal(err)
				}
			}
			j.Close()
			b.ResetTimer()
			for range b.N {
				j, c := mustOpen(b, f)
				if len(c.Records) != n {
					b.Fatalf("%d records", len(c.Records))
				}
				j.Close()
			}
		})
	}
}
