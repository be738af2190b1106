package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"arbutusreel/problem"
	"arbutusreel/rawresponse"
)

// ownFields are the fields of a whole response to the test request.
const ownFields = "Id: own\r\nContent-Length: 4\r\n\r\nbody"

// sendTo sends the test request to an endpoint that answers with the text and closes the connection.
func sendTo(t *testing.T, text string) (body string, err error) {
	t.Helper()
	status, body, _, err := exchangeOnce(t, newKeptPool(t), rawresponse.Serve(t, text, rawresponse.Closed), testRequest())
	if err == nil && status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	return body, err
}

// expectUnknown checks that a response counts as none, and that the request may have run.
func expectUnknown(t *testing.T, text string) {
	t.Helper()
	body, err := sendTo(t, text)
	if err == nil {
		t.Errorf("%q passed as a response with the body %q", text, body)
		return
	}
	if Outcome(err) != problem.Unknown {
		t.Errorf("%q: outcome %s of error %v", text, Outcome(err), err)
	}
}

// malformedStatusLines returns lines that RFC 9112, or the range of statuses of RFC 9110, does not allow.
func malformedStatusLines() []string {
	lines := []string{
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/2 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK", "HTTP/1.x 200 OK", "HTTP/+1.1 200 OK", "http/1.1 200 OK",
		"HTTPS/1.1 200 OK", "ICY 200 OK", "HTTP 200 OK", " HTTP/1.1 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1200 OK", "200 OK", "", "\x00HTTP/1.1 200 OK",
		"HTTP/1.1 101 Switching Protocols",
	}
	for _, status := range []string{
		"000", "001", "020", "099", "600", "700", "999", "1000", "0200", "20", "2", "+20", "-20", "-00", "+99", "2 0", "20x", "0x1", "2.0", "2e2", "1e2", "２００", "200OK", "200,", "\x00200", "20\x00",
	} {
		lines = append(lines, "HTTP/1.1 "+status+" OK", "HTTP/1.1 "+status)
	}
	for c := range 0x20 {
		if c != '\t' && c != '\n' {
			lines = append(lines, fmt.Sprintf("HTTP/1.1 200 O%cK", c))
		}
	}
	return append(lines, "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 \x00", "HTTP/1.1 200 OK\r")
}

// TestMalformedStatusLine sends responses whose status line is not sound, with a whole response as the body of another one, to
// which it must not belong.
func TestMalformedStatusLine(t *testing.T) {
	for _, line := range malformedStatusLines() {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			expectUnknown(t, line+"\r\n"+ownFields)
			expectUnknown(t, line+"\r\nId: own\r\n\r\nHTTP/1.1 200 OK\r\n"+ownFields)
			expectUnknown(t, line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+ownFields)
			expectUnknown(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+line+"\r\n"+ownFields)
			expectUnknown(t, "HTTP/1.1 503 Full\r\nId: other\r\nContent-Length: 0\r\n\r\n"+line+"\r\n"+ownFields)
		})
	}
}

// TestSoundStatusLine checks that unusual status lines which the RFC allows are accepted.
func TestSoundStatusLine(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.2 200 OK", "HTTP/1.1 200 All is well, \tthank you",
		"HTTP/1.1 200 \xe4\xbd\xa0", "HTTP/1.1 200  two blanks", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102\r\nX: a\r\n\r\nHTTP/1.1 199 Other\r\n\r\nHTTP/1.1 200 OK",
	} {
		if body, err := sendTo(t, line+"\r\n"+ownFields); err != nil || body != "body" {
			t.Errorf("%q: body %q, error %v", line, body, err)
		}
		if body, err := sendTo(t, strings.ReplaceAll(line+"\r\n"+ownFields, "\r\n", "\n")); err != nil || body != "body" {
			t.Errorf("%q, without carriage returns: body %q, error %v", line, body, err)
		}
	}
	for _, status := range []int{200, 204, 299, 300, 304, 399, 400, 421, 499, 500, 503, 599} {
		address := rawresponse.Serve(t, fmt.Sprintf("HTTP/1.1 %d\r\nId: own\r\nContent-Length: 0\r\n\r\n", status), rawresponse.Closed)
		if got, _, _, err := exchangeOnce(t, newKeptPool(t), address, testRequest()); err != nil || got != status {
			t.Errorf("status %d for %d, error %v", got, status, err)
		}
	}
}

// malformedFields returns lines of a header that RFC 9110 does not allow.
func malformedFields() []string {
	lines := []string{
		"Content-Length : 4", "Content-Length\t: 4", "Transfer-Encoding : chunked", "Id : own", "X Y: a", "X Y : a", " : a", "\t: a", ": a", ":", "X", "X Y", "X=a", "X;Y: a", "X\"Y: a",
		"(X): a", "X/Y: a", "X[0]: a", "{X}: a", "X@Y: a", "X\xa0Y: a", "X\xe9: a", "X: a\rY: b", "X: a\r", "X\r: a", "\rX: a", " Content-Length: 4", "\tContent-Length: 4", "X: a\r\n b", "X: a\r\n\tb", "X: a\r\n Content-Length: 4", " ",
	}
	for c := range 0x20 {
		if c != '\n' && c != '\t' {
			lines = append(lines, fmt.Sprintf("X%cY: a", c), fmt.Sprintf("%cX: a", c), fmt.Sprintf("X: a%cb", c), fmt.Sprintf("X: a\r\n %cb", c))
		}
	}
	return append(lines, "X\x7f: a", "X: a\x7f")
}

// fieldPlaces returns responses, by the place of a line of their heads or trailers, for which FIELD stands.
func fieldPlaces() map[string]string {
	return map[string]string{
		"first":                       "HTTP/1.1 200 OK\r\nFIELD\r\nId: own\r\nContent-Length: 4\r\n\r\nbody",
		"last":                        "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 4\r\nFIELD\r\n\r\nbody",
		"version 1.0":                 "HTTP/1.0 200 OK\r\nId: own\r\nFIELD\r\nContent-Length: 4\r\n\r\nbody",
		"without another length":      "HTTP/1.1 200 OK\r\nId: own\r\nFIELD\r\n\r\nbody",
		"chunks":                      "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\nFIELD\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"informational head":          "HTTP/1.1 103 Early Hints\r\nFIELD\r\n\r\nHTTP/1.1 200 OK\r\n" + ownFields,
		"head after an informational": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nFIELD\r\n" + ownFields,
		"head of another response":    "HTTP/1.1 503 Full\r\nId: other\r\nFIELD\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + ownFields,
		"rejection":                   "HTTP/1.1 503 Full\r\nId: own\r\nFIELD\r\nContent-Length: 0\r\n\r\n",
		"trailer":                     "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nFIELD\r\n\r\n",
		"trailer, last":               "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\nTrailer: Y\r\n\r\n4\r\nbody\r\n0\r\nY: a\r\nFIELD\r\n\r\n",
	}
}

// TestMalformedField sends responses in which a line of a head or a trailer is not a field.
func TestMalformedField(t *testing.T) {
	for place, text := range fieldPlaces() {
		for _, line := range malformedFields() {
			t.Run(fmt.Sprintf("%s/%q", place, line), func(t *testing.T) {
				t.Parallel()
				expectUnknown(t, strings.ReplaceAll(text, "FIELD", line))
			})
		}
	}
}

// TestSoundField checks that unusual fields which the RFC allows are accepted.
func TestSoundField(t *testing.T) {
	for place, text := range fieldPlaces() {
		if place == "rejection" || place == "without another length" {
			continue
		}
		for _, line := range []string{"X: a", "X:a", "X:", "X: \t", "X: a:b", "!#$%&'*+-.^_`|~09aZ: a", "X: \xe4\xbd\xa0", "X: a\tb", "x-y: a\r\nX-Y: b", "X: " + strings.Repeat("a", 3<<10)} {
			if body, err := sendTo(t, strings.ReplaceAll(text, "FIELD", line)); err != nil || body != "body" {
				t.Errorf("%s, %q: body %q, error %v", place, line, body, err)
			}
		}
	}
}

// TestUnclearEnd sends responses whose head leaves open where the body ends.
func TestUnclearEnd(t *testing.T) {
	for _, fields := range []string{
		"Content-Length: 4\r\nContent-Length: 5", "Content-Length: 4, 5", "Content-Length: +4", "Content-Length: -4", "Content-Length: 4x", "Content-Length: ", "Content-Length: 99999999999999999999",
		"Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	} {
		expectUnknown(t, "HTTP/1.1 200 OK\r\nId: own\r\n"+fields+"\r\n\r\nbody")
	}
	const chunks = "4\r\nbody\r\n0\r\n\r\n"
	for _, fields := range []string{"Transfer-Encoding: chunked", "transfer-encoding: chunked", "Transfer-Encoding: identity", "Transfer-Encoding: chunked\r\nContent-Length: 4", "Transfer-Encoding: chunked\r\nContent-Length: 14"} {
		expectUnknown(t, "HTTP/1.0 200 OK\r\nId: own\r\n"+fields+"\r\n\r\n"+chunks)
	}
}

// TestTrailerBound sends a trailer that is longer than the bound, or that has no end.
func TestTrailerBound(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	for name, text := range map[string]string{"long": strings.Repeat("X: a\r\n", maxTrailerBytes/6+1) + "\r\n", "long line": "X: " + strings.Repeat("a", maxTrailerBytes) + "\r\n\r\n"} {
		var tooLarge *HeadTooLargeError
		if _, err := sendTo(t, start+text); !errors.As(err, &tooLarge) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	for _, text := range []string{"", "X: a", "X: a\r\n"} {
		if _, err := sendTo(t, start+text); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut after %q: error %v", text, err)
		}
	}
}
