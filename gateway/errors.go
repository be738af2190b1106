package gateway

import (
	"fmt"
	"time"

	"arbutusreel/origin"
)

// SilentControlError reports that a control daemon has sent no update for too long.
type SilentControlError struct {
	Address string
	Silence time.Duration
}

// Error names the daemon and the time since its last update.
func (e *SilentControlError) Error() string {
	return fmt.Sprintf("control daemon %s has been silent for %v", e.Address, e.Silence)
}

// SlowControlError reports that another control daemon has sent its state before the one of the session.
type SlowControlError struct {
	Address string
	Waited  time.Duration
}

// Error names the daemon and the time for which its state was waited for.
func (e *SlowControlError) Error() string {
	return fmt.Sprintf("control daemon %s has not sent its state in %v, and another one has", e.Address, e.Waited)
}

// StaleControlError reports that a control daemon has lost contact with the leader.
type StaleControlError struct {
	Address string
	Behind  time.Duration
}

// Error names the daemon and the time without a leader.
func (e *StaleControlError) Error() string {
	return fmt.Sprintf("control daemon %s has had no leader for %v", e.Address, e.Behind)
}

// BrokenStreamError reports that a stream ended before its last event.
type BrokenStreamError struct {
	LastEvent int64
	Cause     error
}

// Error names the last complete event and the cause.
func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("the stream broke after event %d: %v", e.LastEvent, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// CallerError reports that an answer could not be written to the caller.
type CallerError struct {
	Cause error
}

// Error names the cause.
func (e *CallerError) Error() string { return fmt.Sprintf("writing to the caller failed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Cause }

// SilentEndpointError reports that an endpoint has sent nothing within the timeout.
type SilentEndpointError struct {
	Limit time.Duration
}

// Error names the timeout.
func (e *SilentEndpointError) Error() string {
	return fmt.Sprintf("the endpoint sent nothing for %v", e.Limit)
}

// StrandedError reports that no endpoint of the region is reached from here.
type StrandedError struct{}

// Error says what is not reached.
func (e *StrandedError) Error() string { return "no endpoint of the region is reached from here" }

// VersionError reports that an answer is of another software version than the one that began its stream.
type VersionError struct {
	Began, Got origin.Origin
}

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("an answer of software version %q of service %q cannot go on with a stream of version %q of service %q",
		e.Got.Software, e.Got.Service, e.Began.Software, e.Began.Service)
}

// HandedBackError reports that another gateway has stopped and handed a stream back.
type HandedBackError struct {
	// Runs is the number of endpoints that the other gateway used.
	Runs int
}

// Error names the number of endpoints.
func (e *HandedBackError) Error() string {
	return fmt.Sprintf("the other gateway has stopped after %d runs", e.Runs)
}

// GivenUpError reports that an answer was given up at the end of the grace period before it began.
type GivenUpError struct{}

// Error says when the answer was given up.
func (e *GivenUpError) Error() string {
	return "the answer was given up at the end of the grace period before it began"
}

// UnusableAnswerError reports an answer that must not be passed on: a success without an endpoint's signature or with a
// content encoding, or an answer that cannot continue a stream in progress.
type UnusableAnswerError struct {
	Status int
}

// Error names the status.
func (e *UnusableAnswerError) Error() string {
	return fmt.Sprintf("an answer with status %d is not signed by an endpoint", e.Status)
}

// LongUnsignedAnswerError reports an answer without an endpoint's signature that has more bytes than are buffered.
type LongUnsignedAnswerError struct {
	Status int
}

// Error names the status and the limit in bytes.
func (e *LongUnsignedAnswerError) Error() string {
	return fmt.Sprintf("an answer with status %d is not signed by an endpoint and has at least %d bytes", e.Status, maxBufferedBytes)
}

// EventTooLargeError reports that an event of a stream has no end within the size limit.
type EventTooLargeError struct {
	Limit int
}

// Error names the limit in bytes.
func (e *EventTooLargeError) Error() string {
	return fmt.Sprintf("an event has more than %d bytes", e.Limit)
}
