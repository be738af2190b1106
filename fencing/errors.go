package fencing

import (
	"fmt"
	"time"
)

// NoLeaseError is returned if this voter holds no leader lease, or one that ends within the margin.
type NoLeaseError struct {
	Term int64
	// Left is the remaining time of the lease, or zero.
	Left time.Duration
}

// Error returns a message with the term and the remaining time.
func (e *NoLeaseError) Error() string {
	return fmt.Sprintf("leader lease of term %d does not allow an order: %v left", e.Term, e.Left)
}

// OldTermError is returned if the number of an order was issued in another term than that of the lease.
type OldTermError struct {
	Number Number
	Term   int64
}

// Error returns a message with the number and the term.
func (e *OldTermError) Error() string {
	return fmt.Sprintf("order %d/%d is of another term than %d", e.Number.Term, e.Number.Sequence, e.Term)
}

// WaitError is returned while orders of a former leader may still be started.
type WaitError struct {
	// Left is the time until no such order can be started.
	Left time.Duration
}

// Error returns a message with the remaining time.
func (e *WaitError) Error() string {
	return fmt.Sprintf("orders of an older leader may be started for %v", e.Left)
}
