package exchange

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// uploadBytes is more than the socket buffers take, so that the request is still being written when its answer arrives.
const uploadBytes = 4 << 20

// connectionEnd is how an endpoint ends a connection on which a request is still being written.
type connectionEnd string

const (
	resetAtOnce connectionEnd = "reset"
	// closed is an orderly end; the endpoint reads the rest of the request.
	closed connectionEnd = "closed"
	// closedUnread is an orderly end after which the endpoint reads nothing for a while.
	closedUnread connectionEnd = "closed, the rest unread"
	// closedThenReset is an orderly end, followed by a reset that the rest of the request causes.
	closedThenReset connectionEnd = "closed, then reset"
)

// earlyEndpoint answers each request as soon as its head has arrived, and ends the connection.
func earlyEndpoint(t *testing.T, answer string, end connectionEnd) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerEarly(conn.(*net.TCPConn), answer, end)
		}
	}()
	return l.Addr().String()
}

func answerEarly(c *net.TCPConn, answer string, end connectionEnd) {
	defer c.Close()
	if _, err := c.Read(make([]byte, 1<<10)); err != nil {
		return
	}
	_, _ = io.WriteString(c, answer)
	if end == resetAtOnce {
		_ = c.SetLinger(0)
		return
	}
	_ = c.CloseWrite()
	switch end {
	case closed:
		_, _ = io.Copy(io.Discard, c)
	case closedUnread:
		time.Sleep(300 * time.Millisecond)
	default:
		_ = c.SetLinger(0)
	}
}

// TestEarlyAnswer has endpoints answer while a long request is still being written, and end the connection: an answer counts as
// complete only if its length or its chunks say so, or if its connection ended in order.
func TestEarlyAnswer(t *testing.T) {
	const id = "Id: own\r\n"
	framings := map[string]struct {
		whole, part    string
		delimitsItself bool
	}{
		"no length":         {"HTTP/1.1 200 OK\r\n" + id + "\r\nbody", "", false},
		"HTTP/1.0":          {"HTTP/1.0 200 OK\r\n" + id + "\r\nbody", "", false},
		"connection: close": {"HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\nbody", "", false},
		"length":            {"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 5\r\n\r\nbody", true},
		"chunks":            {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true},
	}
	for name, f := range framings {
		for _, end := range []connectionEnd{resetAtOnce, closed, closedUnread, closedThenReset} {
			for _, size := range []int{uploadBytes, 300 << 10} {
				t.Run(fmt.Sprintf("%s/%s/%d", name, end, size), func(t *testing.T) {
					t.Parallel()
					for range 8 {
						checkEarlyAnswer(t, f.whole, end, size, f.delimitsItself || end != resetAtOnce)
						if f.part != "" {
							checkEarlyAnswer(t, f.part, end, size, false)
						}
					}
				})
			}
		}
	}
}

func checkEarlyAnswer(t *testing.T, text string, end connectionEnd, size int, whole bool) {
	t.Helper()
	p := newKeptPool(t)
	r := testRequest()
	r.Body = []byte(strings.Repeat("x", size))
	status, body, _, err := exchangeOnce(t, p, earlyEndpoint(t, text, end), r)
	if whole && (err != nil || status != http.StatusOK || body != "body") {
		t.Errorf("status %d, body %q, error %v", status, body, err)
	}
	if !whole && err == nil {
		t.Errorf("%q passed as a whole answer", body)
	}
}
