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

// Contents is the contents of a journal when it was opened.
type Contents struct {
	// Identity is the disk's identity, which was assigned when the folder was empty.
	Identity string
	// Snapshot is the last snapshot, or nil.
	Snapshot []byte
	// Records are those appended since the snapshot, in order.
	Records [][]byte
	// Truncated is the number of bytes that were truncated, from the first record that a crash left incomplete or damaged.
	Truncated int64
}

// Journal appends records; it is not safe for concurrent use.
type Journal struct {
	files    Files
	file     File
	identity string
	size     int64
	// synced is the length of the synced part of the file, and recordedSync the synced length that a record last stored,
	// both in bytes.
	synced, recordedSync int64
	buffer               []byte
	failure              error
}

// Open reads the journal of the folder and truncates it after the last record
// before any damage from a crash. An empty folder gets a new journal with the
// given identity. Open returns *CorruptError if the file is damaged in another
// way, *ReadError if it cannot be read, and *WriteError if the folder cannot be
// written.
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
	c.Truncated = int64(len(b)) - end
	j.identity = c.Identity
	j.size = end
	return j, c, j.reopen(c.Truncated > 0)
}

// parse returns the contents of a file and the offset after the last complete frame before any damage.
func parse(b []byte) (c Contents, end int64, err error) {
	for end < int64(len(b)) {
		p, torn, reason := readFrame(b[end:])
		if torn && c.Identity != "" {
			return c, end, nil
		}
		if torn {
			reason = "the identity is incomplete"
		}
		if reason != "" && c.Identity != "" && mayBeCrashDamage(b, end) {
			return c, end, nil
		}
		if reason == "" {
			reason = c.addFrame(p)
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

// addFrame adds a frame to the contents. It returns why the frame is invalid at its position, or "".
func (c *Contents) addFrame(p frame) string {
	switch {
	case p.kind == identityFrame && c.Identity == "":
		c.Identity = string(p.payload)
	case c.Identity == "":
		return "the identity is missing"
	case p.kind == snapshotFrame && c.Snapshot == nil && len(c.Records) == 0:
		c.Snapshot = p.payload
	case p.kind == recordFrame:
		c.Records = append(c.Records, p.payload)
	case p.kind == syncedRecordFrame && len(p.payload) >= syncedLengthSize:
		c.Records = append(c.Records, p.payload[syncedLengthSize:])
	default:
		return "a frame is out of place"
	}
	return ""
}

// reopen opens the file for appending, and truncates it to j.size if truncate
// is set. It syncs the file and the folder, since records that a crashed
// process wrote, or a file that it renamed, without a sync have been read and
// must be durable before the caller relies on them.
func (j *Journal) reopen(truncate bool) error {
	f, err := j.files.Append(fileName)
	if err != nil {
		return j.fail("opening", fileName, err)
	}
	j.file = f
	if truncate {
		if err := f.Truncate(j.size); err != nil {
			return j.fail("truncation", fileName, err)
		}
	}
	if err := j.files.Sync(); err != nil {
		return j.fail("sync", "the folder", err)
	}
	return j.Sync()
}

// Identity returns the disk's identity.
func (j *Journal) Identity() string { return j.identity }

// Size returns the length of the file in bytes.
func (j *Journal) Size() int64 { return j.size }

// Append writes records, which are durable only after Sync; it returns *WriteError on failure.
func (j *Journal) Append(records ...[]byte) error {
	if j.failure != nil {
		return j.failure
	}
	j.buffer = j.buffer[:0]
	for _, record := range records {
		if j.synced == j.recordedSync {
			j.buffer = appendFrame(j.buffer, recordFrame, record)
			continue
		}
		j.recordedSync = j.synced
		j.buffer = appendFrame(j.buffer, syncedRecordFrame, append(binary.LittleEndian.AppendUint64(nil, uint64(j.synced)), record...))
	}
	return j.write(fileName, j.buffer)
}

// Sync makes all appended records durable; it returns *WriteError on failure.
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

// Compact replaces the contents of the journal with the snapshot and the
// records, which are durable when it returns; it returns *WriteError on failure.
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
	b := appendFrame(nil, identityFrame, []byte(j.identity))
	if snapshot != nil {
		b = appendFrame(b, snapshotFrame, snapshot)
	}
	for _, record := range records {
		b = appendFrame(b, recordFrame, record)
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
	j.synced, j.recordedSync = j.size, 0
	return nil
}

// Close closes the file without syncing it.
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

// fail records a failure, which all later calls return.
func (j *Journal) fail(operation, name string, cause error) error {
	j.failure = &WriteError{Operation: operation, Name: name, Cause: cause}
	return j.failure
}
