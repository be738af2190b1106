package exchange

import (
	"errors"
	"fmt"

	"arbutusreel/problem"
)

// Stage is the part of an exchange that failed.
type Stage string

// Stages of an exchange.
const (
	Connecting Stage = "connecting"
	Writing    Stage = "writing"
	Awaiting   Stage = "awaiting"
	Reading    Stage = "reading"
)

// Error reports a failed exchange.
type Error struct {
	Address string
	Stage   Stage
	// Outcome is NotRun only if the endpoint cannot have received the complete header of the request.
	Outcome problem.Outcome
	// Reused reports that the connection had carried another request before.
	Reused bool
	Cause  error
}

// Error names the address, the stage and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %v (%s)", e.Stage, e.Address, e.Cause, e.Outcome)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Outcome returns the outcome of the request that failed with err. It is problem.Unknown for nil and for errors of
// other types.
func Outcome(err error) problem.Outcome {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Outcome
	}
	return problem.Unknown
}

// UnmatchedResponsesError reports that only responses to other requests arrived.
type UnmatchedResponsesError struct {
	Responses int
}

// Error names the number of responses.
func (e *UnmatchedResponsesError) Error() string {
	return fmt.Sprintf("%d responses belonged to other requests", e.Responses)
}

// HeadTooLargeError reports that an endpoint sent more bytes than the head of a response may have.
type HeadTooLargeError struct {
	Limit int
}

// Error names the limit in bytes.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the first %d bytes contain no complete response header", e.Limit)
}

// UnmatchedBodyError reports that the bodies of responses to other requests are too long to be skipped.
type UnmatchedBodyError struct {
	Limit int64
}

// Error names the limit in bytes.
func (e *UnmatchedBodyError) Error() string {
	return fmt.Sprintf("responses to other requests have bodies of at least %d bytes", e.Limit)
}

// MalformedHeadError reports that the head or the trailer of a response is not one of HTTP/1.
type MalformedHeadError struct {
	// Line is the number of the line in the head or trailer, counted from 1.
	Line   int
	Reason string
}

// Error names the line and the reason.
func (e *MalformedHeadError) Error() string {
	return fmt.Sprintf("line %d of the response header is malformed: %s", e.Line, e.Reason)
}

// ResetError reports that the connection was reset in a body that the end of the connection was to end.
type ResetError struct {
	Cause error
}

// Error names the cause.
func (e *ResetError) Error() string {
	return fmt.Sprintf("the connection failed while the request was written, before the end of the response: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ResetError) Unwrap() error { return e.Cause }
