// Package journal keeps a write-ahead log and its snapshot in one data folder.
//
// The folder holds one file, which begins with the identity of the disk and
// the last snapshot; records are appended to it. Compact writes a new file
// beside the old one and renames it into place, so that a crash leaves either
// the old file or the new one. Because the identity lies in the same file as
// the records, a folder that lost its records has lost its identity as well.
//
// Every part bears a checksum, and the first record after a sync tells how much
// of the file had been synced. An incomplete record at the end is the trace of
// a crash and is cut off; so is a hole that a power failure left among records
// that were not synced, with all that follows it. Any other damage is refused,
// since it may have changed a record that was synced. A failed write or sync is final: the
// journal answers every later call with the same error, and the process stops
// (Rebello et al., "Can Applications Recover from fsync Failures?", 2020).
package journal
