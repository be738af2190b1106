package control

import "fmt"

// RecordError reports a journal record, log record or message that cannot be decoded.
type RecordError struct {
	Record string
	Cause  error
}

// Error returns the kind of record and the cause.
func (e *RecordError) Error() string { return fmt.Sprintf("malformed %s: %v", e.Record, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// VoterMissingError reports that the configured initial voters do not include this instance.
type VoterMissingError struct {
	Name   string
	Voters []string
}

// Error returns the name of the instance and the configured voters.
func (e *VoterMissingError) Error() string {
	return fmt.Sprintf("setting %q: voter %q is missing in %q", "voters", e.Name, e.Voters)
}

// InventoryRefusedError reports that an inventory accepted by the quorum is not valid for this version of the
// program.
type InventoryRefusedError struct {
	Revision int64
	Cause    error
}

// Error returns the revision and the cause.
func (e *InventoryRefusedError) Error() string {
	return fmt.Sprintf("the inventory of revision %d is not valid for this version: %v", e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *InventoryRefusedError) Unwrap() error { return e.Cause }
