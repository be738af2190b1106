package distribution

import "fmt"

// ChecksumError says that a delta does not fit the inventory that it was applied to.
type ChecksumError struct {
	Revision int64
}

// Error names the revision.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("the delta to revision %d does not fit the inventory in force", e.Revision)
}
