package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusreel/problem"
)

const (
	// endlessBytes is where an endpoint that writes without end stops if nobody cuts it off.
	endlessBytes = 32 << 20
	// socketBytes is more than the socket buffers on both sides hold.
	socketBytes = 6 << 20
)

// endlessEndpoint answers each request with the start and then repeats the rest until its connection is closed or it
// has written endlessBytes. The channel receives the number of bytes written on each connection.
func endlessEndpoint(t *testing.T, start, rest string) (address string, written <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	counts := make(chan int, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
				_, _ = http.ReadRequest(bufio.NewReader(c))
				counts <- writeEndlessly(c, start, rest)
			}()
		}
	}()
	return l.Addr().String(), counts
}

func writeEndlessly(w io.Writer, start, rest string) int {
	total, err := io.WriteString(w, start)
	block := strings.Repeat(rest, 1+(16<<10)/len(rest))
	for err == nil && total < endlessBytes {
		var n int
		n, err = io.WriteString(w, block)
		total += n
	}
	return total
}

func testRequest() *Request {
	return &Request{
		Method: http.MethodPost, Target: "/", Host: "host.example", Header: http.Header{},
		ID: "own", ResponseID: func(h http.Header) string { return h.Get("Id") },
	}
}

// TestEndlessHead sends a request to endpoints whose bytes never become the head of an answer: the exchange ends with
// an unknown outcome and closes the connection before the endpoint has sent more than the bound and the buffers hold.
func TestEndlessHead(t *testing.T) {
	cases := []struct {
		name, start, rest string
		want              error
	}{
		{"no HTTP", "", "no answer ", new(HeadTooLargeError)},
		{"status line", "HTTP/1.1 200 ", "OK", new(HeadTooLargeError)},
		{"header line", "HTTP/1.1 200 OK\r\nId: own\r\nX: ", "xxxx", new(HeadTooLargeError)},
		{"continued header line", "HTTP/1.1 200 OK\r\nId: own\r\nX: x\r\n", " x\r\n", new(MalformedHeadError)},
		{"header lines", "HTTP/1.1 200 OK\r\nId: own\r\n", "X: x\r\n", new(HeadTooLargeError)},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", new(HeadTooLargeError)},
		{"head after an unmatched response", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nbody", "no answer", new(HeadTooLargeError)},
		{"unmatched body without length", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "body", new(UnmatchedBodyError)},
		{"unmatched body with a length", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000000\r\n\r\n", "body", new(UnmatchedBodyError)},
		{"unmatched body in chunks", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", new(UnmatchedBodyError)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, written := endlessEndpoint(t, c.start, c.rest)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			p := NewPool(IdleLimits{}, time.Second, time.Now)
			t.Cleanup(p.Close)
			_, err := p.Send(ctx, address, testRequest())
			var failure *Error
			if !errors.As(err, &failure) || failure.Stage != Awaiting || failure.Outcome != problem.Unknown {
				t.Errorf("error %v", err)
			}
			if want := fmt.Sprintf("%T", c.want); failure == nil || fmt.Sprintf("%T", failure.Cause) != want {
				t.Errorf("error %v, want %s", err, want)
			}
			if n := <-written; n > socketBytes {
				t.Errorf("the endpoint could write %d bytes", n)
			}
		})
	}
}

// TestHeadWithinBound checks that the bounds leave alone an answer whose own head, preceding informational heads and
// late answer to another request are long, and a body that is longer than the bound of a head.
func TestHeadWithinBound(t *testing.T) {
	var b strings.Builder
	b.WriteString(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 8))
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: %d\r\n\r\n%s", maxUnmatchedBytes-1, strings.Repeat("o", maxUnmatchedBytes-1))
	b.WriteString("HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: x\r\n\r\n")
	long := strings.Repeat("x", maxHeadBytes*3/4)
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nId: own\r\nX: %s\r\nContent-Length: %d\r\n\r\n%s", long, 4<<20, strings.Repeat("a", 4<<20))
	address := keptEndpoint(t, func(int) string { return b.String() })
	p := NewPool(IdleLimits{Repeatable: time.Minute, NonRepeatable: time.Minute}, time.Second, time.Now)
	t.Cleanup(p.Close)
	for range 3 {
		answer, err := p.Send(t.Context(), address, testRequest())
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, answer)
		answer.Close()
		if n != 4<<20 || err != nil || answer.Header.Get("X") != long {
			t.Errorf("%d bytes, error %v", n, err)
		}
	}
	if n := p.Opened(); n != 3 {
		t.Errorf("%d connections opened; one that carried an answer to another request was reused", n)
	}
}

// TestDrippingBodyOfRejection discards a body that never ends: the exchange is given up after the wait, not at the
// deadline of the request.
func TestDrippingBodyOfRejection(t *testing.T) {
	for name, start := range map[string]string{
		"announced, never sent": "HTTP/1.1 503 Full\r\nId: own\r\nContent-Length: 4\r\n\r\n",
		"no length":             "HTTP/1.1 503 Full\r\nId: own\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				in := bufio.NewReader(c)
				_, _ = http.ReadRequest(in)
				_, _ = io.WriteString(c, start)
				_, _ = in.ReadByte()
			}()
			p := NewPool(IdleLimits{}, time.Second, time.Now)
			t.Cleanup(p.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			answer, err := p.Send(ctx, l.Addr().String(), testRequest())
			if err != nil {
				t.Fatal(err)
			}
			answer.Discard(1<<10, time.Millisecond)
			<-closed
			if ctx.Err() != nil {
				t.Error("the body was awaited until the deadline")
			}
		})
	}
}
