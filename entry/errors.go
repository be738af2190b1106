package entry

import (
	"fmt"
	"time"
)

// ReaderStoppedError says that a caller took no byte of its answer for a time.
type ReaderStoppedError struct {
	Timeout time.Duration
}

// Error names the time.
func (e *ReaderStoppedError) Error() string {
	return fmt.Sprintf("the caller has read nothing for %s", e.Timeout)
}

// AnswerTooLargeError says that an answer that is not streamed exceeds its bound.
type AnswerTooLargeError struct {
	Limit int
}

// Error names the bound.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("an answer that is not streamed has at most %d bytes", e.Limit)
}

// PeerUnreachableError says that no connection to an entry could be made, so that nothing was sent.
type PeerUnreachableError struct {
	Address string
}

// Error names the address.
func (e *PeerUnreachableError) Error() string {
	return fmt.Sprintf("entry at %s cannot be reached", e.Address)
}
