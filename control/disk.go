package control

import (
	"crypto/rand"
	"slices"

	"google.golang.org/protobuf/proto"

	"arbutusreel/consensus"
	"arbutusreel/journal"
	"arbutusreel/wiregen"
)

// disk persists what a voter must remember.
type disk struct {
	journal  *journal.Journal
	identity string
	// commit is the highest committed index that was written.
	commit int64
	// compacted is the size of the journal after it was last replaced.
	compacted int64
}

// openDisk opens the journal in the files and returns what the voter remembers; an empty one gets a random identity.
func openDisk(files journal.Files) (*disk, consensus.Restored, error) {
	j, contents, err := journal.Open(files, rand.Text())
	if err != nil {
		return nil, consensus.Restored{}, err
	}
	r, err := restore(contents)
	return &disk{journal: j, identity: contents.Identity}, r, err
}

// restore returns what a journal holds; one that no voter has written returns *RecordError.
func restore(contents journal.Contents) (consensus.Restored, error) {
	var r consensus.Restored
	if contents.Snapshot != nil {
		m := &wiregen.ConsensusSnapshot{}
		if err := proto.Unmarshal(contents.Snapshot, m); err != nil {
			return r, &RecordError{Record: "snapshot", Cause: err}
		}
		r.Snapshot = decodeSnapshot(m)
	}
	for _, record := range contents.Records {
		m := &wiregen.JournalRecord{}
		if err := proto.Unmarshal(record, m); err != nil {
			return r, &RecordError{Record: "journal record", Cause: err}
		}
		if hard := m.GetHardState(); hard != nil {
			r.HardState = consensus.HardState{Term: hard.GetTerm(), Vote: decodeID(hard.GetVote())}
		}
		r.Entries = replaceFrom(r.Entries, decodeEntries(m.GetEntries()))
		r.Commit = max(r.Commit, m.GetCommit())
	}
	if err := r.Check(); err != nil {
		return r, &RecordError{Record: "journal", Cause: err}
	}
	return r, nil
}

// replaceFrom appends entries in place of those from the first one's index on.
func replaceFrom(entries, with []consensus.Entry) []consensus.Entry {
	if len(with) == 0 {
		return entries
	}
	n, _ := slices.BinarySearchFunc(entries, with[0].Index, func(e consensus.Entry, index int64) int { return int(e.Index - index) })
	return append(entries[:n:n], with...)
}

// save makes what must be persisted last. A higher committed index is written along, and without a sync if there is
// nothing else: a restarted voter that does not know it learns it from the next leader.
func (d *disk) save(a consensus.Actions, hard consensus.HardState, commit int64) error {
	if a.Install != nil {
		return d.replace(consensus.Restored{HardState: hard, Snapshot: a.Install, Entries: a.Entries})
	}
	if !a.Persists() && commit == d.commit {
		return nil
	}
	if err := d.journal.Append(encodeRecord(a.HardState, a.Entries, commit)); err != nil {
		return err
	}
	d.commit = commit
	if !a.Persists() {
		return nil
	}
	return d.journal.Sync()
}

// replace makes a snapshot and what follows it the whole journal.
func (d *disk) replace(r consensus.Restored) error {
	if err := d.journal.Compact(marshal(encodeSnapshot(r.Snapshot)), encodeRecord(&r.HardState, r.Entries, r.Commit)); err != nil {
		return err
	}
	d.compacted = d.journal.Size()
	return nil
}

// grown returns the number of bytes that were appended since the journal was last replaced.
func (d *disk) grown() int64 { return d.journal.Size() - d.compacted }
