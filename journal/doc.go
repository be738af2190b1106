// Package journal keeps a write-ahead log and its snapshot in one data folder.
//
// The folder holds one file, which begins with the identity of the disk and
// the last snapshot; records are appended to it. Compact writes a new file
// beside the old one and renames it into place, so that a crash leaves either
// the old file or the new one. The identity is stored in the same file as the
// records, so that a folder that lost its records has lost its identity too.
//
// The file is a sequence of frames, each with a checksum. The first record
// after a sync stores how many bytes of the file had been synced. An incomplete
// record at the end results from a crash and is truncated; so is a gap of zeros
// that a power failure left among unsynced records, with everything after it.
// Any other damage is reported as *CorruptError, since it may have changed a
// synced record. A failed write or sync is final: the journal returns the same
// error from every later call, and the process stops (Rebello et al., "Can
// Applications Recover from fsync Failures?", 2020).
package journal
