package journal

import (
	"encoding/binary"
	"errors"
	"io/fs"
)

const (
	fileName = "journal"
	nextName = "journal.next"
)

// Contents is what a journal held when it was opened.
type Contents struct {
	// Identity is the disk's identity, made when the folder was empty.
	Identity string
	// Snapshot is the last snapshot, or nil.
	Snapshot []byte
	// Records are those appended since, in order.
	Records [][]byte
	// Cut is the number of bytes that were cut off, from the first record that a crash left incomplete.
	Cut int64
}

// Journal appends records; it is not safe for concurrent use.
type Journal struct {
	files    Files
	file     File
	identity string
	size     int64
	// synced is the length of the file that lasts, and told the length that the last record tells.
	synced, told int64
	buffer       []byte
	failure      error
}

// Open reads the journal of the folder and cuts off what follows the last
// record that a crash left whole; an empty folder becomes a journal with the new identity. A damaged
// file returns *CorruptError, one that cannot be read *ReadError, and one that
// cannot be written *WriteError.
func Open(files Files, identity string) (*Journal, Contents, error) {
	j := &Journal{files: files}
	if err := files.Remove(nextName); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, Contents{}, &WriteError{Operation: "removal", Name: nextName, Cause: err}
	}
	b, err := files.Read(fileName)
	if errors.Is(err, fs.ErrNotExist) {
		j.identity = identity
		return j, Contents{Identity: identity}, j.Compact(nil)
	}
	if err != nil {
		return nil, Contents{}, &ReadError{Name: fileName, Cause: err}
	}
	c, end, err := parse(b)
	if err != nil {
		return nil, Contents{}, err
	}
	c.Cut = int64(len(b)) - end
	j.identity = c.Identity
	j.size = end
	return j, c, j.reopen(c.Cut > 0)
}

// parse returns the contents of a file and the offset after the last whole record that no damage precedes.
func parse(b []byte) (c Contents, end int64, err error) {
	for end < int64(len(b)) {
		p, torn, reason := readPart(b[end:])
		if torn && c.Identity != "" {
			return c, end, nil
		}
		if torn {
			reason = "the identity is incomplete"
		}
		if reason != "" && c.Identity != "" && leftByCrash(b, end) {
			return c, end, nil
		}
		if reason == "" {
			reason = c.add(p)
		}
		if reason != "" {
			return c, end, &CorruptError{Name: fileName, Offset: end, Reason: reason}
		}
		end += p.size
	}
	if c.Identity == "" {
		return c, end, &CorruptError{Name: fileName, Reason: "the identity is missing"}
	}
	return c, end, nil
}

// add takes a part and returns why it may not stand at its place, or "".
func (c *Contents) add(p part) string {
	switch {
	case p.kind == identityKind && c.Identity == "":
		c.Identity = string(p.payload)
	case c.Identity == "":
		return "the identity is missing"
	case p.kind == snapshotKind && c.Snapshot == nil && len(c.Records) == 0:
		c.Snapshot = p.payload
	case p.kind == recordKind:
		c.Records = append(c.Records, p.payload)
	case p.kind == syncedRecordKind && len(p.payload) >= syncedSize:
		c.Records = append(c.Records, p.payload[syncedSize:])
	default:
		return "a part stands at the wrong place"
	}
	return ""
}

// reopen opens the file for appending. What a crashed process wrote and did
// not sync is synced first, since it was read and will be relied on.
func (j *Journal) reopen(cut bool) error {
	f, err := j.files.Append(fileName)
	if err != nil {
		return j.fail("opening", fileName, err)
	}
	j.file = f
	if cut {
		if err := f.Truncate(j.size); err != nil {
			return j.fail("truncation", fileName, err)
		}
	}
	return j.Sync()
}

// Identity returns the disk's identity.
func (j *Journal) Identity() string { return j.identity }

// Size returns the length of the file in bytes.
func (j *Journal) Size() int64 { return j.size }

// Append writes records, which last only after Sync; a failure returns *WriteError.
func (j *Journal) Append(records ...[]byte) error {
	if j.failure != nil {
		return j.failure
	}
	j.buffer = j.buffer[:0]
	for _, record := range records {
		if j.synced == j.told {
			j.buffer = appendPart(j.buffer, recordKind, record)
			continue
		}
		j.told = j.synced
		j.buffer = appendPart(j.buffer, syncedRecordKind, append(binary.LittleEndian.AppendUint64(nil, uint64(j.synced)), record...))
	}
	return j.write(fileName, j.buffer)
}

// Sync makes all records last; a failure returns *WriteError.
func (j *Journal) Sync() error {
	if j.failure != nil {
		return j.failure
	}
	if err := j.file.Sync(); err != nil {
		return j.fail("sync", fileName, err)
	}
	j.synced = j.size
	return nil
}

// Compact replaces everything by the snapshot and the records, which last when
// it returns; a failure returns *WriteError.
func (j *Journal) Compact(snapshot []byte, records ...[]byte) error {
	if j.failure != nil {
		return j.failure
	}
	f, err := j.files.Append(nextName)
	if err != nil {
		return j.fail("creation", nextName, err)
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.size = f, 0
	b := appendPart(nil, identityKind, []byte(j.identity))
	if snapshot != nil {
		b = appendPart(b, snapshotKind, snapshot)
	}
	for _, record := range records {
		b = appendPart(b, recordKind, record)
	}
	if err := j.write(nextName, b); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return j.fail("sync", nextName, err)
	}
	if err := j.files.Rename(nextName, fileName); err != nil {
		return j.fail("rename", nextName, err)
	}
	if err := j.files.Sync(); err != nil {
		return j.fail("sync", "the folder", err)
	}
	j.synced, j.told = j.size, 0
	return nil
}

// Close closes the file without a sync.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

func (j *Journal) write(name string, b []byte) error {
	n, err := j.file.Write(b)
	j.size += int64(n)
	if err != nil {
		return j.fail("write", name, err)
	}
	return nil
}

// fail makes a failure final.
func (j *Journal) fail(operation, name string, cause error) error {
	j.failure = &WriteError{Operation: operation, Name: name, Cause: cause}
	return j.failure
}
