package acceptor

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/intake"
)

// TestBodiesOverBound guards against unfinished bodies that take more than their bound together, and against a bound that keeps
// out a caller whose body fits.
func TestBodiesOverBound(t *testing.T) {
	const bound, size = 1 << 20, 100 << 10
	a := New(intake.Limits{BodyBytes: bound}, zerolog.Nop(), time.Now)
	s := &http.Server{ReadHeaderTimeout: time.Hour, Handler: a.BoundBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}))}
	a.Configure(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(a.Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	post := func(n int) string {
		return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("x", n)
	}
	const crowd, fitting = 20, bound / (2 * size)
	for range crowd {
		dial(t, l.Addr().String()).send(post(size - 1))
	}
	until(t, "bodies yield", func() bool { return a.Counts().Shed >= crowd-fitting })
	if got := a.Counts().BodyBytes; got > bound {
		t.Errorf("bodies take %d bytes", got)
	}
	c := dial(t, l.Addr().String())
	for range 2 {
		c.send(post(size))
		c.expect(fmt.Sprint(size))
	}
}
