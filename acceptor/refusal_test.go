package acceptor

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/intake"
)

// TestRefusalWaitsForBody guards against an early answer that waits for the rest of a large body.
func TestRefusalWaitsForBody(t *testing.T) {
	a := New(intake.Limits{}, zerolog.Nop(), time.Now)
	s := &http.Server{ReadHeaderTimeout: waitTime, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	a.Configure(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(a.Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	c := dial(t, l.Addr().String())
	c.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\nx")
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%+v, %v", resp, err)
	}
	_ = resp.Body.Close()
}
