package stream

import (
	"bytes"
	"fmt"
)

// CheckEvent returns *HeadInEventError if the text of a server-sent event holds lines of the head of an HTTP message: an
// endpoint broke the stream off and sent another answer on the same connection, where the event's rest was due.
func CheckEvent(text []byte) error {
	for line := range bytes.Lines(text) {
		if isHeadLine(line) {
			return &HeadInEventError{Line: string(bytes.TrimRight(line, "\r\n"))}
		}
	}
	return nil
}

// isHeadLine reports whether a line is the status line of an HTTP message or a header field that frames its body. Events
// have no such fields.
func isHeadLine(line []byte) bool {
	if bytes.HasPrefix(line, []byte("HTTP/1.")) {
		return true
	}
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return false
	}
	for _, field := range []string{"Connection", "Content-Length", "Content-Type", "Transfer-Encoding"} {
		if len(name) == len(field) && bytes.EqualFold(name, []byte(field)) {
			return true
		}
	}
	return false
}

// HeadInEventError reports an event that holds a line of the head of an HTTP message.
type HeadInEventError struct {
	Line string
}

// Error names the line.
func (e *HeadInEventError) Error() string {
	return fmt.Sprintf("an event holds the line %q of an HTTP message", e.Line)
}
