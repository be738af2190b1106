package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
	"time"
	"unicode/utf8"

	"pgregory.net/rapid"

	"arbutusreel/rawresponse"
)

// Grammar of RFC 9112 for the heads that responseReader accepts, over text in which each byte is one rune.
const (
	lineEnd    = `\r?\n`
	valueText  = `[\t -~\x{80}-\x{ff}]*`
	fieldLine  = "[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + valueText + lineEnd
	fieldLines = `(?:` + fieldLine + `)*` + lineEnd
	reasonText = `(?: ` + valueText + `)?` + lineEnd
)

var (
	informationalHead = regexp.MustCompile(`^HTTP/1\.[0-9] 1(?:0[02-9]|[1-9][0-9])` + reasonText + fieldLines)
	finalHead         = regexp.MustCompile(`^HTTP/1\.[0-9] [2-5][0-9]{2}` + reasonText + fieldLines)
	encodingIn10      = regexp.MustCompile(`^HTTP/1\.0(?:.*\n)+?(?i:Transfer-Encoding):`)
)

// bytesConn is a connection that yields the bytes of its reader and then ends in order.
type bytesConn struct {
	net.Conn
	io.Reader
}

func (c *bytesConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

func (*bytesConn) SetWriteDeadline(time.Time) error { return nil }

// decoded is a response as it was read, with the number of bytes after it.
type decoded struct {
	status int
	header http.Header
	body   string
	rest   int
}

// decode reads a response with responseReader.
func decode(in io.Reader) (decoded, error) {
	c := newConnection(&bytesConn{Reader: in}, "")
	c.responses.begin(finishedUpload(), maxHeadBytes)
	response, err := c.responses.next(&http.Request{Method: http.MethodGet})
	if err != nil {
		return decoded{}, err
	}
	defer response.Body.Close()
	return decodeBody(response, c.responses.reader)
}

func decodeBody(response *http.Response, in *bufio.Reader) (decoded, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return decoded{}, err
	}
	rest, err := io.Copy(io.Discard, in)
	return decoded{status: response.StatusCode, header: response.Header, body: string(body), rest: int(rest)}, err
}

// latin1 returns text in which each byte of b is one rune.
func latin1(b []byte) string {
	runes := make([]rune, len(b))
	for i, c := range b {
		runes[i] = rune(c)
	}
	return string(runes)
}

// skipInformational returns the bytes after the informational heads, and false if the lengths or encodings of one are not sound.
func skipInformational(text []byte) ([]byte, bool) {
	for {
		head := informationalHead.FindString(latin1(text))
		if head == "" {
			return text, true
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), &http.Request{Method: http.MethodGet})
		if err != nil || encodingIn10.MatchString(head) {
			return nil, false
		}
		_ = response.Body.Close()
		text = text[utf8.RuneCountInString(head):]
	}
}

// checkDecoded reads the bytes with responseReader and compares the result with the grammar, with net/http and with a read byte by byte.
func checkDecoded(tb interface{ Fatalf(string, ...any) }, text []byte) {
	got, err := decode(strings.NewReader(string(text)))
	if again, errAgain := decode(iotest.OneByteReader(strings.NewReader(string(text)))); !reflect.DeepEqual(got, again) || (err == nil) != (errAgain == nil) {
		tb.Fatalf("%q: %+v, %v, but byte by byte %+v, %v", text, got, err, again, errAgain)
	}
	final, sound := skipInformational(text)
	head := finalHead.FindString(latin1(final))
	if !sound || head == "" || encodingIn10.MatchString(head) {
		if err == nil {
			tb.Fatalf("%q passed as %+v", text, got)
		}
		return
	}
	in := bufio.NewReader(strings.NewReader(string(final)))
	var want decoded
	response, wantErr := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
	if wantErr == nil {
		defer response.Body.Close()
		want, wantErr = decodeBody(response, in)
	}
	var malformed *MalformedHeadError
	var tooLarge *HeadTooLargeError
	if errors.As(err, &malformed) && malformed.Line > 0 && len(response.TransferEncoding) > 0 || errors.As(err, &tooLarge) {
		// net/http accepts other trailers and longer heads.
		return
	}
	if (err == nil) != (wantErr == nil) || !reflect.DeepEqual(got, want) {
		tb.Fatalf("%q: %+v, %v, want %+v, %v", text, got, err, want, wantErr)
	}
}

// soundResponses returns responses that responseReader accepts.
func soundResponses() []string {
	return []string{
		"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\nId: own\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nbody\r\n0\r\nX: a\r\nY: b\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\nrest",
		"HTTP/1.1 204\nX: \xe4\t\n\nrest", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
	}
}

// FuzzResponse reads any bytes as a response.
func FuzzResponse(f *testing.F) {
	for _, text := range soundResponses() {
		f.Add([]byte(text))
	}
	for _, text := range rawresponse.Malformed("Id: own\r\n", "body") {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) { checkDecoded(t, text) })
}

// TestChangedResponses reads sound responses after a few changes to their bytes, of which most go to the delimiters and numbers.
func TestChangedResponses(t *testing.T) {
	for _, text := range soundResponses() {
		if _, err := decode(strings.NewReader(text)); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		checkDecoded(t, []byte(text))
	}
	const variants = 50
	inserts := []string{
		"\r\n", "\n", "\r", " ", "\t", ":", "0", "1", "+", "-", ";", "\x00", "\x7f", "\xff", "Content-Length: 4\r\n", "Content-Length : 4\r\n", "Transfer-Encoding: chunked\r\n",
		"Transfer-Encoding : chunked\r\n", "X Y: a\r\n", " X: a\r\n", "Connection: close\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 103\r\n\r\n", "HTTP/1.1 000\r\n\r\n",
	}
	rapid.Check(t, func(rt *rapid.T) {
		for range variants {
			text := rapid.SampledFrom(soundResponses()).Draw(rt, "response")
			for range rapid.IntRange(1, 4).Draw(rt, "changes") {
				at := rapid.IntRange(0, len(text)).Draw(rt, "at")
				until := min(len(text), at+rapid.IntRange(0, 3).Draw(rt, "removed"))
				insert := rapid.OneOf(rapid.SampledFrom(inserts), rapid.Map(rapid.Byte(), func(b byte) string { return string([]byte{b}) })).Draw(rt, "inserted")
				text = text[:at] + insert + text[until:]
			}
			checkDecoded(rt, []byte(text))
		}
	})
}
