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

// Error is a failed exchange.
type Error struct {
	Address string
	Stage   Stage
	// Outcome is NotRun only if no whole header of the request can have reached the endpoint.
	Outcome problem.Outcome
	// Kept says that the connection had carried another request before.
	Kept  bool
	Cause error
}

// Error names the address, the stage and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %v (%s)", e.Stage, e.Address, e.Cause, e.Outcome)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Outcome returns what is known of a request after err; nil and foreign errors are unknown outcomes.
func Outcome(err error) problem.Outcome {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Outcome
	}
	return problem.Unknown
}

// ForeignAnswersError says that only answers to other requests came.
type ForeignAnswersError struct {
	Answers int
}

// Error tells the number of answers.
func (e *ForeignAnswersError) Error() string {
	return fmt.Sprintf("%d answers belonged to other requests", e.Answers)
}
