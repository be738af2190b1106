package distribution

import "fmt"

// ChecksumError is returned if a delta does not fit the inventory that it is applied to.
type ChecksumError struct {
	Revision int64
}

// Error returns a message with the revision.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("the delta to revision %d does not fit the inventory in force", e.Revision)
}
