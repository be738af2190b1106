package wire

import "fmt"

// UnknownFieldError reports that JSON contains a field that is not in the schema.
type UnknownFieldError struct {
	Path string
}

// Error names the path of the field.
func (e *UnknownFieldError) Error() string {
	return fmt.Sprintf("field %q does not exist in the schema", e.Path)
}

// MalformedError reports that JSON cannot be decoded into the message.
type MalformedError struct {
	Message string
	Cause   error
}

// Error names the message and the cause.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed %s: %v", e.Message, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }
