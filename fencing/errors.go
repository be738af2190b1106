package fencing

import (
	"fmt"
	"time"
)

// NoLeaseError says that this voter holds no leader lease, or one that ends too soon.
type NoLeaseError struct {
	Term int64
	// Left is what is left of the lease, or zero.
	Left time.Duration
}

// Error names the term and what is left.
func (e *NoLeaseError) Error() string {
	return fmt.Sprintf("leader lease of term %d does not allow an order: %v left", e.Term, e.Left)
}

// OldTermError says that an order's number was given in another term than the lease's.
type OldTermError struct {
	Number Number
	Term   int64
}

// Error names the number and the term.
func (e *OldTermError) Error() string {
	return fmt.Sprintf("order %d/%d is of another term than %d", e.Number.Term, e.Number.Sequence, e.Term)
}

// WaitError says that orders of an older leader may still be started.
type WaitError struct {
	Left time.Duration
}

// Error names the time that is left.
func (e *WaitError) Error() string {
	return fmt.Sprintf("orders of an older leader may be started for %v", e.Left)
}
