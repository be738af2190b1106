package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestAnswerWithoutLengthCutOff has endpoints end answers that have neither a length nor chunks with their connection: an answer
// is whole only if the connection ended in order, and a stream only if it ended after an event.
func TestAnswerWithoutLengthCutOff(t *testing.T) {
	const plainHead = "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\nConnection: close\r\n\r\n"
	const streamHead = "HTTP/1.1 200 OK\r\nId: request-1\r\nSigned: a\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, c := range []struct {
		name, path, answer string
		reset              bool
		status             int
		body               string
		whole              bool
	}{
		{"plain", "/unsafe/x", plainHead + "all of it", false, http.StatusOK, "all of it", true},
		{"plain, reset", "/unsafe/x", plainHead + "part of", true, http.StatusBadGateway, "", true},
		{"stream", "/stream/x", streamHead + pieces(0, 2), false, http.StatusOK, pieces(0, 2), true},
		{"stream, reset", "/stream/x", streamHead + pieces(0, 1), true, http.StatusOK, pieces(0, 1), false},
		{"stream ends inside an event", "/stream/x", streamHead + pieces(0, 1) + "id: 2\ndata: pie", false, http.StatusOK, pieces(0, 1), false},
		{"stream ends after a line of an event", "/stream/x", streamHead + pieces(0, 1) + "id: 2\ndata: piece 2\n", false, http.StatusOK, pieces(0, 1), false},
		{"stream ends before its first event", "/stream/x", streamHead, false, http.StatusBadGateway, "", true},
		{"stream ends inside its first event", "/stream/x", streamHead + "id: 0\nda", false, http.StatusBadGateway, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, "a", func(conn *endpointConn, _ *http.Request, _ int) bool {
				fmt.Fprint(conn, c.answer)
				if c.reset {
					time.Sleep(20 * time.Millisecond)
					return conn.reset()
				}
				return false
			})
			g := newGateway(t, testTable(t, nil), e)
			got := g.call(t.Context(), http.MethodPost, c.path, nil)
			if got.status != c.status || got.whole != c.whole || c.body != "" && got.body != c.body {
				t.Errorf("status %d, whole: %v, body %q", got.status, got.whole, got.body)
			}
			if requests := e.requests(); len(requests) != 1 {
				t.Errorf("%s: sent %d times", c.name, len(requests))
				for _, r := range requests {
					t.Errorf("%s %s at %s: %v", r.Method, r.RequestURI, r.Host, r.Header)
				}
			}
		})
	}
}
