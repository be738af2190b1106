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

// OutdatedOrderError reports that an evacuation order would undo a decision that may have been made after the order was sent.
type OutdatedOrderError struct {
	Domain string
	// Known is the index of the last log entry that was surely decided before the order was sent, and Decided that of the last
	// decision about the failure domain.
	Known, Decided int64
}

// Error names the failure domain and the indexes.
func (e *OutdatedOrderError) Error() string {
	return fmt.Sprintf("the order about failure domain %q was sent after index %d; a later one was decided at index %d", e.Domain, e.Known, e.Decided)
}
