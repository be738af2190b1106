package gateway

import (
	"fmt"
	"time"
)

// SilentControlError says that a control daemon has not been heard of for too long.
type SilentControlError struct {
	Address string
	Silence time.Duration
}

// Error names the daemon and the silence.
func (e *SilentControlError) Error() string {
	return fmt.Sprintf("control daemon %s has been silent for %v", e.Address, e.Silence)
}

// StaleControlError says that a control daemon has lost touch with the leader.
type StaleControlError struct {
	Address string
	Behind  time.Duration
}

// Error names the daemon and for how long it has been behind.
func (e *StaleControlError) Error() string {
	return fmt.Sprintf("control daemon %s has had no leader for %v", e.Address, e.Behind)
}

// BrokenStreamError says that a stream ended before its last event.
type BrokenStreamError struct {
	LastEvent int64
	Cause     error
}

// Error tells the last whole event and the cause.
func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("the stream broke after event %d: %v", e.LastEvent, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// CallerError says that an answer could not be written to the caller.
type CallerError struct {
	Cause error
}

// Error tells the cause.
func (e *CallerError) Error() string { return fmt.Sprintf("the caller is gone: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Cause }

// SilentStreamError says that an endpoint brought nothing for too long.
type SilentStreamError struct {
	Limit time.Duration
}

// Error tells the limit.
func (e *SilentStreamError) Error() string { return fmt.Sprintf("nothing came for %v", e.Limit) }

// EventOrderError says that an event of a resumed stream does not follow the one before it.
type EventOrderError struct {
	Want, Got int64
}

// Error tells both numbers.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %d came where %d was due", e.Got, e.Want)
}

// UnsignedAnswerError says that a success does not bear an endpoint's signature, or bears a foreign encoding.
type UnsignedAnswerError struct {
	Status int
}

// Error tells the status.
func (e *UnsignedAnswerError) Error() string {
	return fmt.Sprintf("an answer with status %d is not signed by an endpoint", e.Status)
}
