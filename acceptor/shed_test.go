package acceptor

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/intake"
)

// TestRequestOfShedConnectionServed guards against a request that is passed on although its connection has yielded to another one, so
// that its caller gets no answer.
func TestRequestOfShedConnectionServed(t *testing.T) {
	for name, request := range map[string]string{
		"without body": fmt.Sprintf(get, "/late"),
		"with length":  "POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"in chunks":    "POST /late HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			a := New(intake.Limits{Connections: 1}, zerolog.Nop(), time.Now)
			var requests, served atomic.Int64
			read, shed, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
			closeOnce := sync.OnceFunc(func() { close(closed) })
			s := &http.Server{ReadHeaderTimeout: waitTime, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					return
				}
				served.Add(1)
				fmt.Fprintf(w, "%s 0", r.URL.Path)
			})}
			s.ConnState = func(_ net.Conn, state http.ConnState) {
				switch {
				case state == http.StateActive && requests.Add(1) == 2:
					close(read)
					<-shed
				case state == http.StateClosed:
					closeOnce()
				default:
				}
			}
			a.Configure(s)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = s.Serve(a.Listener(l)) }()
			t.Cleanup(func() { _ = s.Close() })
			c := dial(t, l.Addr().String())
			c.send(fmt.Sprintf(get, "/first"))
			c.expect("/first 0")
			c.send(request)
			<-read
			dial(t, l.Addr().String())
			until(t, "the connection yields", func() bool { return a.Counts().Shed == 1 })
			close(shed)
			<-closed
			if n := served.Load(); n != 1 {
				t.Errorf("%d requests were served, want 1", n)
			}
		})
	}
}
