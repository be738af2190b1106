package operator

import "fmt"

// UnreachableError reports that no control voter answered.
type UnreachableError struct {
	Controls []string
	Cause    error
}

// Error names the voters and the last cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no control voter of %q answered: %v", e.Controls, e.Cause)
}

// Unwrap returns the last cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports that it is unknown whether a change was accepted.
type OutcomeUnknownError struct {
	ChangeID string
	Cause    error
}

// Error names the change id and the last cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcomeUnknown: change %q may have been accepted; send it again with this change id: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the last cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// NotInForceError reports that an accepted revision was not seen in force at every live instance in time.
type NotInForceError struct {
	Revision int64
	// Lagging lists the instances that reported a lower revision.
	Lagging []string
	Cause   error
}

// Error names the revision and the instances.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("revision %d is accepted and will be in force; it was not seen yet at %q: %v", e.Revision, e.Lagging, e.Cause)
}

// Unwrap returns why the wait ended.
func (e *NotInForceError) Unwrap() error { return e.Cause }
