package endpoint

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"arbutusreel/dispatch"
	"arbutusreel/membership"
	"arbutusreel/problem"
)

// keptServer answers the first request on a connection with first, and the second one with second; it counts the connections.
func keptServer(t *testing.T, first, second string) (address string, conns *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns = new(atomic.Int32)
	server := &http.Server{ErrorLog: nil, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		conns.Add(1)
		go func() {
			defer c.Close()
			_, _ = io.WriteString(c, first)
			if n, err := c.Read(make([]byte, 64<<10)); err == nil && n > 0 {
				_, _ = io.WriteString(c, second)
				_, _ = io.Copy(io.Discard, c)
			}
		}()
	})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), conns
}

func refusalOf(id string) string {
	body := problem.Encode(problem.New(problem.NoCapacity, http.StatusServiceUnavailable, "full"), id)
	return fmt.Sprintf("HTTP/1.1 503 Full\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestEarlierEngineRefusal guards against the refusal of an earlier request, written once more on a kept connection, that is taken
// for that of a request which the engine runs.
func TestEarlierEngineRefusal(t *testing.T) {
	for id, notRun := range map[string]bool{"earlier": false, "": false, requestID: true} {
		t.Run(id, func(t *testing.T) {
			address, conns := keptServer(t, refusalOf("earlier"), refusalOf(id))
			client := NewModelClient()
			send := func(id string) error {
				r := dispatch.Request{CorrelationID: id, Path: "/v1/chat/completions", Body: []byte(`{"model":"m"}`)}
				_, err := client.Generate(t.Context(), membership.Endpoint{Name: "engine", Address: address}, r, dispatch.Attempt{}, &sink{})
				return err
			}
			_ = send("earlier")
			err := send(requestID)
			var p *problem.Problem
			if ok := errors.As(err, &p) && p.Outcome == problem.NotRun; ok != notRun || conns.Load() != 1 {
				t.Errorf("not run: %v, error %v, %d connections", ok, err, conns.Load())
			}
		})
	}
}

// TestPlainCallOnKeptConnection guards against a plain call on a connection on which an answer to another one may come.
func TestPlainCallOnKeptConnection(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	address, conns := keptServer(t, ok+refusalOf("earlier"), refusalOf("earlier"))
	for range 3 {
		reply, err := NewPlainClient().Call(t.Context(), membership.Endpoint{Address: address}, dispatch.Request{Method: http.MethodPost, Path: "/", Body: []byte("order")})
		if err != nil || reply.Status != http.StatusOK {
			t.Errorf("status %d, error %v", reply.Status, err)
		}
	}
	if conns.Load() != 3 {
		t.Errorf("%d connections for 3 calls", conns.Load())
	}
}
