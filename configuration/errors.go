package configuration

import "fmt"

// EvictedRevisionError reports that the history does not retain the inventory of a revision.
type EvictedRevisionError struct {
	Revision int64
	// Oldest is the oldest revision that is retained, or zero if none is.
	Oldest int64
}

// Error names the requested and the oldest retained revision.
func (e *EvictedRevisionError) Error() string {
	return fmt.Sprintf("the inventory of revision %d is not retained; the oldest retained revision is %d", e.Revision, e.Oldest)
}
