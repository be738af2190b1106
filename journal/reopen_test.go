package journal

import "testing"

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
