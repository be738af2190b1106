package control

import "fmt"

// RecordError says that a record of the journal, or of the log, cannot be read.
type RecordError struct {
	Record string
	Cause  error
}

// Error names the record and the cause.
func (e *RecordError) Error() string { return fmt.Sprintf("malformed %s: %v", e.Record, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// VoterMissingError says that the founding voters do not hold this instance.
type VoterMissingError struct {
	Name   string
	Voters []string
}

// Error names the instance and the voters.
func (e *VoterMissingError) Error() string {
	return fmt.Sprintf("setting %q: voter %q is missing in %q", "voters", e.Name, e.Voters)
}

// InventoryRefusedError says that this version does not accept an inventory that the quorum accepted.
type InventoryRefusedError struct {
	Revision int64
	Cause    error
}

// Error names the revision and the cause.
func (e *InventoryRefusedError) Error() string {
	return fmt.Sprintf("the inventory of revision %d is not valid for this version: %v", e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *InventoryRefusedError) Unwrap() error { return e.Cause }
