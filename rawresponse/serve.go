package rawresponse

import (
	"io"
	"net"
	"testing"
	"time"
)

// End is the way in which a server ends a connection while the client may still be sending its request.
type End string

// Ends of a connection.
const (
	Reset End = "reset"
	// ResetLater is a reset after a pause, in which the server reads nothing.
	ResetLater End = "reset later"
	// Closed is an orderly end; the server reads the rest of the request.
	Closed End = "closed"
	// ClosedUnread is an orderly end after which the server reads nothing for a while.
	ClosedUnread End = "closed, the rest unread"
	// ClosedThenReset is an orderly end that a reset follows.
	ClosedThenReset End = "closed, then reset"
)

// Pauses in which a server reads nothing, before the end ResetLater and after the end ClosedUnread.
const (
	resetPause  = 30 * time.Millisecond
	unreadPause = 300 * time.Millisecond
)

// Orderly reports whether the connection is ended in order.
func (e End) Orderly() bool { return e != Reset && e != ResetLater }

// Ends returns all values of End.
func Ends() []End { return []End{Reset, ResetLater, Closed, ClosedUnread, ClosedThenReset} }

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
	if end == ResetLater {
		time.Sleep(resetPause)
	}
	if !end.Orderly() {
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
