package explanation

import "fmt"

// ParameterError reports a parameter of a question that is unknown, missing or malformed. It does not hold the value, which may be a
// key that was given by mistake.
type ParameterError struct {
	Name   string
	Reason string
}

// Error returns a message with the name of the parameter and the reason.
func (e *ParameterError) Error() string { return fmt.Sprintf("parameter %q %s", e.Name, e.Reason) }

// AnswerError reports an answer that is not the JSON of an explanation.
type AnswerError struct {
	Cause error
}

// Error returns a message with the cause.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("the answer is not an explanation: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Cause }
