package rawresponse

import (
	"io"
	"net"
	"testing"
	"time"
)

// End is how a server ends a connection, on which a request may still be written.
type End string

// Ends of a connection.
const (
	Reset End = "reset"
	// Closed is an orderly end; the server reads the rest of the request.
	Closed End = "closed"
	// ClosedUnread is an orderly end after which the server reads nothing for a while.
	ClosedUnread End = "closed, the rest unread"
	// ClosedThenReset is an orderly end that a reset follows.
	ClosedThenReset End = "closed, then reset"
)

// unreadPause is how long a server reads nothing after the orderly end ClosedUnread.
const unreadPause = 300 * time.Millisecond

// Serve answers the first bytes of each connection with the text, ends the connection, and returns the server's address.
func Serve(tb testing.TB, text string, end End) (address string) {
	tb.Helper()
	l, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answer(conn.(*net.TCPConn), text, end)
		}
	}()
	return l.Addr().String()
}

func answer(c *net.TCPConn, text string, end End) {
	defer func() { _ = c.Close() }()
	if _, err := c.Read(make([]byte, 1<<10)); err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
	if end == Reset {
		_ = c.SetLinger(0)
		return
	}
	_ = c.CloseWrite()
	switch end {
	case ClosedUnread:
		time.Sleep(unreadPause)
	case ClosedThenReset:
		_ = c.SetLinger(0)
	default:
		_, _ = io.Copy(io.Discard, c)
	}
}
