package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// usualHeadBytes is the initial size of the buffer for a head.
const usualHeadBytes = 512

// responseReader reads the responses on a connection.
//
// It accepts what RFC 9112 calls a status line and field lines. net/http accepts more: other status codes and versions, control
// bytes in the reason, and blanks in field names, which hide the fields that delimit the body. Obsolete line
// folding (RFC 9112, 5.2) may hide such a field too and is refused. As that RFC allows, a line may end without a carriage return;
// the blank before an empty reason may be missing.
type responseReader struct {
	conn   net.Conn
	reader *bufio.Reader
	// left is the number of bytes that heads and trailers may still have, of limit in all; line is the number of the present line.
	left, limit, line int
	upload            *upload
}

// begin prepares for the responses to another request, whose heads may have limit bytes in all.
func (r *responseReader) begin(u *upload, limit int) {
	r.upload, r.left, r.limit = u, limit, limit
}

// next returns the next response that is not informational, with its body. A head that is not sound returns
// *MalformedHeadError, and one with too many bytes *HeadTooLargeError.
func (r *responseReader) next(request *http.Request) (*http.Response, error) {
	for {
		response, err := r.readHead(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			response.Body = r.newBody(response)
			return response, nil
		}
	}
}

// readHead returns the next response, which may be informational, without its body.
func (r *responseReader) readHead(request *http.Request) (*http.Response, error) {
	var text bytes.Buffer
	text.Grow(usualHeadBytes)
	r.line = 0
	line, err := r.readLine(&text)
	if err != nil {
		return nil, err
	}
	if reason := checkStatusLine(line); reason != "" {
		return nil, &MalformedHeadError{Line: r.line, Reason: reason}
	}
	version10 := bytes.HasPrefix(line, []byte("HTTP/1.0"))
	if err := r.readFields(&text, version10); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReaderSize(&text, text.Len()), request)
}

// readFields reads the field lines up to the empty line that ends them, which it adds to text. A line that is not a field returns
// *MalformedHeadError, and so does a transfer encoding in a message of version 1.0: RFC 9112 regards the end of its body as unclear.
func (r *responseReader) readFields(text *bytes.Buffer, version10 bool) error {
	for {
		line, err := r.readLine(text)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return &MalformedHeadError{Line: r.line, Reason: "the name of a field is not a token"}
		}
		if hasControlByte(value) {
			return &MalformedHeadError{Line: r.line, Reason: "the value of a field contains a control byte"}
		}
		if version10 && strings.EqualFold(string(name), "Transfer-Encoding") {
			return &MalformedHeadError{Line: r.line, Reason: "a response of version 1.0 has a transfer encoding"}
		}
	}
}

// readLine reads one line, adds it to text and returns it without its end. The line is valid until text changes.
func (r *responseReader) readLine(text *bytes.Buffer) ([]byte, error) {
	start := text.Len()
	r.line++
	for {
		part, err := r.reader.ReadSlice('\n')
		if r.left -= len(part); r.left < 0 {
			return nil, &HeadTooLargeError{Limit: r.limit}
		}
		text.Write(part)
		if err == nil {
			break
		}
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
	line := text.Bytes()[start:]
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, nil
}

// checkStatusLine returns what is wrong with a status line, or nothing.
func checkStatusLine(line []byte) string {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[len(version)-1]) {
		return "the version is not HTTP/1"
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(code) != 3 || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return "the status is not a number from 100 to 599"
	}
	if string(code) == "101" {
		return "the protocol is switched, which no request asks for"
	}
	if hasControlByte(reason) {
		return "the reason contains a control byte"
	}
	return ""
}

// hasControlByte reports whether text contains a control byte other than a tab.
func hasControlByte(text []byte) bool {
	return bytes.ContainsFunc(text, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}

// isToken reports whether text may be the name of a field.
func isToken(text []byte) bool {
	return len(text) > 0 && !bytes.ContainsFunc(text, func(c rune) bool { return !httpguts.IsTokenRune(c) })
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
