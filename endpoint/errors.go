package endpoint

import (
	"fmt"
	"time"
)

// UnreachableError reports that an endpoint gave no answer.
type UnreachableError struct {
	Endpoint string
	Cause    error
}

// Error names the endpoint and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("endpoint %q gave no answer: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// StatusError reports that an endpoint answered with a status other than 200.
type StatusError struct {
	Endpoint string
	Status   int
}

// Error names the endpoint and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint %q answered with status %d", e.Endpoint, e.Status)
}

// NotSentError reports that no byte of a call can have reached the endpoint.
type NotSentError struct {
	Endpoint string
	Cause    error
}

// Error names the endpoint and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call was not sent to endpoint %q: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotRun returns true.
func (e *NotSentError) NotRun() bool { return true }

// OutcomeUnknownError reports that a call was sent, at least in part, and that its outcome is unknown.
type OutcomeUnknownError struct {
	Endpoint string
	Cause    error
}

// Error names the endpoint and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of the call sent to endpoint %q is unknown: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// NoFinishReasonError reports that an answer reached its end mark without a finish reason.
type NoFinishReasonError struct{}

// Error says what is missing.
func (e *NoFinishReasonError) Error() string { return "the answer has no finish reason" }

// NoPositionError reports that a piece of an answer has no position.
type NoPositionError struct{}

// Error says what is missing.
func (e *NoPositionError) Error() string { return "a piece of the answer has no position" }

// NoPieceError reports that an answer contains too many bytes without its next piece.
type NoPieceError struct {
	Limit int
}

// Error names the limit in bytes.
func (e *NoPieceError) Error() string {
	return fmt.Sprintf("%d bytes of the answer contain no next piece", e.Limit)
}

// PieceAfterEndError reports that a new piece arrived after the end of the answer.
type PieceAfterEndError struct {
	Position int
}

// Error names the position.
func (e *PieceAfterEndError) Error() string {
	return fmt.Sprintf("position %d arrived after the end of the answer", e.Position)
}

// EngineError reports that an engine ended an answer with an error event.
type EngineError struct{}

// Error says what happened.
func (e *EngineError) Error() string { return "the engine ended the answer with an error event" }

// SendDeadlineError reports that the deadline for sending a call has passed or the call has ended.
type SendDeadlineError struct {
	SendBy time.Time
}

// Error names the deadline.
func (e *SendDeadlineError) Error() string { return "the call had to be sent by " + e.SendBy.String() }

// ResendRefusedError reports that a second connection for a call was refused.
type ResendRefusedError struct {
	Address string
}

// Error names the address.
func (e *ResendRefusedError) Error() string {
	return fmt.Sprintf("a second connection to %q for one call is refused", e.Address)
}

// AnswerTooLongError reports that the answer of a plain service exceeds the size limit.
type AnswerTooLongError struct {
	Endpoint string
	Limit    int64
}

// Error names the endpoint and the limit in bytes.
func (e *AnswerTooLongError) Error() string {
	return fmt.Sprintf("the answer of endpoint %q has more than %d bytes", e.Endpoint, e.Limit)
}
