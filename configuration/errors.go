package configuration

import "fmt"

// ForgottenRevisionError says that the inventory of a revision is not kept.
type ForgottenRevisionError struct {
	Revision int64
	// Oldest is the oldest revision that is kept; zero if none is.
	Oldest int64
}

// Error names the revisions.
func (e *ForgottenRevisionError) Error() string {
	return fmt.Sprintf("the inventory of revision %d is not kept; the oldest one is that of revision %d", e.Revision, e.Oldest)
}
