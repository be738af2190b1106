package journal

import "fmt"

// WriteError reports that an operation that changes the data folder failed; the journal accepts no more records.
type WriteError struct {
	Operation string
	Name      string
	Cause     error
}

// Error names the operation, the file and the cause.
func (e *WriteError) Error() string {
	return fmt.Sprintf("journal: %s of %q failed: %v", e.Operation, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// CorruptError reports damage in the file that a crash cannot explain.
type CorruptError struct {
	Name   string
	Offset int64
	Reason string
}

// Error names the file, the offset in bytes and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal: file %q is corrupt at byte %d: %s", e.Name, e.Offset, e.Reason)
}

// LockedError reports that another process uses the data folder.
type LockedError struct {
	Folder string
	Cause  error
}

// Error names the folder and the cause.
func (e *LockedError) Error() string {
	return fmt.Sprintf("journal: data folder %q is in use by another process: %v", e.Folder, e.Cause)
}

// Unwrap returns the cause.
func (e *LockedError) Unwrap() error { return e.Cause }

// ReadError reports that a file in the data folder cannot be read.
type ReadError struct {
	Name  string
	Cause error
}

// Error names the file and the cause.
func (e *ReadError) Error() string {
	return fmt.Sprintf("journal: cannot read %q: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }
