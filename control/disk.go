package control

import (
	"crypto/rand"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/consensus"
	"arbutusreel/journal"
	"arbutusreel/wiregen"
)

// disk persists the voter's durable state. After the start, write is the only method that may be called, by one goroutine.
type disk struct {
	journal  *journal.Journal
	identity string
	// founders are the initial voters if this voter is one of them and has not compacted its journal, or nil.
	founders []consensus.InitialVoter
	// compactedSize is the size of the journal in bytes after the last compaction.
	compactedSize int64
}

// diskWrite is state to be persisted; if snapshot is set, it replaces everything persisted before.
type diskWrite struct {
	hardState *consensus.HardState
	snapshot  *consensus.Snapshot
	entries   []consensus.Entry
	commit    int64
}

// durable reports whether the write must be synced.
func (w diskWrite) durable() bool {
	return w.hardState != nil || w.snapshot != nil || len(w.entries) > 0
}

// openDisk opens the journal in the files and returns the persisted state. A new journal gets a random identity.
func openDisk(files journal.Files) (*disk, consensus.Restored, error) {
	j, contents, err := journal.Open(files, rand.Text())
	if err != nil {
		return nil, consensus.Restored{}, err
	}
	r, err := restore(contents)
	if err != nil {
		return nil, r, err
	}
	founders, err := restoreFounders(contents)
	return &disk{journal: j, identity: contents.Identity, founders: founders}, r, err
}

// restoreFounders decodes the initial voters of a journal; it returns nil if the journal names none.
func restoreFounders(contents journal.Contents) ([]consensus.InitialVoter, error) {
	var founders []consensus.InitialVoter
	for _, record := range contents.Records {
		m := &wiregen.JournalRecord{}
		if err := proto.Unmarshal(record, m); err != nil {
			return nil, &RecordError{Record: "journal record", Cause: err}
		}
		if len(m.GetFounders()) > 0 {
			founders = nil
		}
		for _, f := range m.GetFounders() {
			founders = append(founders, consensus.InitialVoter{Name: f.GetId().GetName(), Address: f.GetAddress()})
		}
	}
	return founders, nil
}

// saveFounders persists the initial voters unless they are known, so that this voter is still one of them after a
// restart as a daemon that joins.
func (d *disk) saveFounders(founders []consensus.InitialVoter) error {
	if slices.Equal(d.founders, founders) {
		return nil
	}
	m := &wiregen.JournalRecord{}
	for _, f := range founders {
		m.Founders = append(m.Founders, &wiregen.ConsensusMember{Id: &wiregen.VoterId{Name: f.Name}, Address: f.Address})
	}
	if err := d.journal.Append(marshal(m)); err != nil {
		return err
	}
	d.founders = founders
	return d.journal.Sync()
}

// restore decodes the contents of a journal; contents that no voter can have written return *RecordError.
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
		r.Entries = truncateAndAppend(r.Entries, decodeEntries(m.GetEntries()))
		r.Commit = max(r.Commit, m.GetCommit())
	}
	if err := r.Check(); err != nil {
		return r, &RecordError{Record: "journal", Cause: err}
	}
	return r, nil
}

// truncateAndAppend discards the entries from the index of the first appended one on and appends the new ones.
func truncateAndAppend(entries, appended []consensus.Entry) []consensus.Entry {
	if len(appended) == 0 {
		return entries
	}
	n, _ := slices.BinarySearchFunc(entries, appended[0].Index, func(e consensus.Entry, index int64) int { return int(e.Index - index) })
	return append(entries[:n:n], appended...)
}

// write persists a write and syncs it. A write with nothing but a commit index is not synced: a voter that loses it in a restart
// learns it from the next leader.
func (d *disk) write(w diskWrite) error {
	if w.snapshot != nil {
		if err := d.journal.Compact(marshal(encodeSnapshot(w.snapshot)), encodeRecord(w.hardState, w.entries, w.commit)); err != nil {
			return err
		}
		d.compactedSize = d.journal.Size()
		return nil
	}
	if err := d.journal.Append(encodeRecord(w.hardState, w.entries, w.commit)); err != nil {
		return err
	}
	if !w.durable() {
		return nil
	}
	return d.journal.Sync()
}

// writeResult is the result of a write.
type writeResult struct {
	err error
	// growth is the number of bytes appended since the last compaction.
	growth int64
	// took is the duration of the write.
	took  time.Duration
	write diskWrite
}

// perform writes w and returns the result.
func (d *disk) perform(w diskWrite, now func() time.Time) writeResult {
	began := now()
	err := d.write(w)
	return writeResult{err: err, growth: d.journal.Size() - d.compactedSize, took: now().Sub(began), write: w}
}
