package journal

import (
	"slices"
	"syscall"
	"testing"
)

// endingFiles is a disk whose process ends before it performs the operation after the given number of operations.
type endingFiles struct {
	*memoryDisk
	left int
}

type endingFile struct {
	File
	files *endingFiles
}

func (f *endingFiles) end() error {
	f.left--
	if f.left < 0 {
		return syscall.EIO
	}
	return nil
}

func (f *endingFiles) Append(name string) (File, error) {
	if err := f.end(); err != nil {
		return nil, err
	}
	file, err := f.memoryDisk.Append(name)
	return &endingFile{File: file, files: f}, err
}

func (f *endingFiles) Rename(from, to string) error {
	if err := f.end(); err != nil {
		return err
	}
	return f.memoryDisk.Rename(from, to)
}

func (f *endingFiles) Remove(name string) error {
	if err := f.end(); err != nil {
		return err
	}
	return f.memoryDisk.Remove(name)
}

func (f *endingFiles) Sync() error {
	if err := f.end(); err != nil {
		return err
	}
	return f.memoryDisk.Sync()
}

func (f *endingFile) Write(b []byte) (int, error) {
	if err := f.files.end(); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

func (f *endingFile) Sync() error {
	if err := f.files.end(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *endingFile) Truncate(size int64) error {
	if err := f.files.end(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// runUntilEnd opens the journal, appends a record, compacts the journal and appends another record, until the process ends after the
// given number of operations of the disk. It reports whether the process did.
func runUntilEnd(d *memoryDisk, operations int) (ended bool) {
	j, _, err := Open(&endingFiles{memoryDisk: d, left: operations}, "identity")
	steps := []func() error{
		func() error { return j.Append([]byte("appended")) },
		func() error { return j.Sync() },
		func() error { return j.Compact([]byte("snapshot"), []byte("compacted")) },
		func() error { return j.Append([]byte("appended")) },
		func() error { return j.Sync() },
	}
	for _, step := range steps {
		if err == nil {
			err = step()
		}
	}
	return err != nil
}

// TestRecordsLostAfterEnds has two processes in a row end at each operation of the disk, the next one append and sync a record, and
// the power fail: the journal has what that process read, and the record.
func TestRecordsLostAfterEnds(t *testing.T) {
	for first, firstEnded := 0, true; firstEnded; first++ {
		for second, secondEnded := 0, true; secondEnded; second++ {
			d := newMemoryDisk()
			firstEnded = runUntilEnd(d, first)
			secondEnded = runUntilEnd(d, second)
			j, before, err := Open(d, "third")
			if err != nil {
				t.Fatal(err)
			}
			if err := j.Append([]byte("last")); err != nil {
				t.Fatal(err)
			}
			if err := j.Sync(); err != nil {
				t.Fatal(err)
			}
			_, after, err := Open(d.crash(0), "fourth")
			if err != nil {
				t.Fatal(err)
			}
			want := append(recordTexts(before.Records), "last")
			if after.Identity != before.Identity || string(after.Snapshot) != string(before.Snapshot) || !slices.Equal(recordTexts(after.Records), want) {
				t.Errorf("ends after %d and %d operations: identity %q, snapshot %q and records %q, want %q, %q and %q", first, second,
					after.Identity, after.Snapshot, recordTexts(after.Records), before.Identity, before.Snapshot, want)
			}
		}
	}
}

// TestRecordsLostAfterUnsyncedRename has a process end between the rename of a compaction and the sync of the folder, and the
// next process append and sync a record before a power failure.
func TestRecordsLostAfterUnsyncedRename(t *testing.T) {
	d := newMemoryDisk()
	j, _, err := Open(d, "identity")
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Append([]byte("first")); err != nil {
		t.Fatal(err)
	}
	if err := j.Sync(); err != nil {
		t.Fatal(err)
	}
	const syncsBeforeRename = 1
	d.syncsLeft = syncsBeforeRename
	if err := j.Compact([]byte("snapshot"), []byte("second")); err == nil {
		t.Fatal("the folder was synced")
	}
	d.syncsLeft = -1
	if j, _, err = Open(d, "other"); err != nil {
		t.Fatal(err)
	}
	if err := j.Append([]byte("third")); err != nil {
		t.Fatal(err)
	}
	if err := j.Sync(); err != nil {
		t.Fatal(err)
	}
	_, c, err := Open(d.crash(0), "other")
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Records) != 2 || string(c.Records[1]) != "third" {
		t.Errorf("the journal has the snapshot %q and the records %q", c.Snapshot, c.Records)
	}
}
