package entry

import (
	"fmt"
	"time"
)

// ReaderStoppedError reports that a caller has not read any byte of its answer within the timeout.
type ReaderStoppedError struct {
	Timeout time.Duration
}

// Error returns a message with the timeout.
func (e *ReaderStoppedError) Error() string {
	return fmt.Sprintf("the caller has read nothing for %s", e.Timeout)
}

// AnswerTooLargeError reports that an answer that is not streamed exceeds the limit, in bytes.
type AnswerTooLargeError struct {
	Limit int
}

// Error returns a message with the limit.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("an answer that is not streamed must have at most %d bytes", e.Limit)
}

// PeerUnreachableError reports that no connection to an entry could be established, so that nothing was sent.
type PeerUnreachableError struct {
	Address string
}

// Error returns a message with the address.
func (e *PeerUnreachableError) Error() string {
	return fmt.Sprintf("entry at %s cannot be reached", e.Address)
}
