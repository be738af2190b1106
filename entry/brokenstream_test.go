package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"arbutusreel/completion"
	"arbutusreel/membership"
	"arbutusreel/stream"
)

// tokensOfAnswer is the number of tokens of the answers in this file.
const tokensOfAnswer = 4

// breakingEngines returns a handler for several engines: the first request breaks off inside the event after two tokens, the
// next ones are answered by fail, and those after them get the rest of the answer.
func breakingEngines(failures int64, fail http.HandlerFunc) http.HandlerFunc {
	var requests atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Resume struct{ Position int } }
		_ = json.NewDecoder(r.Body).Decode(&body)
		n := requests.Add(1)
		if n > 1 && n <= 1+failures {
			fail(w, r)
			return
		}
		answer := completion.Answer{Kind: completion.Chat, ID: r.Header.Get("X-Request-Id")}
		for i := body.Resume.Position; i < tokensOfAnswer; i++ {
			chunk := answer.Chunk(stream.Piece{Position: i, Text: fmt.Sprintf("t%d ", i)})
			if n == 1 && i == 2 {
				_, _ = w.Write(append([]byte("data: "), chunk[:len(chunk)/2]...))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "data: %s\n\n", chunk)
		}
		fmt.Fprintf(w, "data: %s\n\ndata: %s\n\n", answer.End(stream.End{FinishReason: "stop", Pieces: tokensOfAnswer}), completion.Done)
	}
}

// announceEngines adds engines that share a handler.
func (g *testEntry) announceEngines(n int, handler http.Handler) {
	for i := range n {
		server := httptest.NewServer(handler)
		g.t.Cleanup(server.Close)
		g.entry.state.announce(membership.Endpoint{
			Name: fmt.Sprint("engine-", i), Incarnation: 1, Sequence: 1, Address: server.Listener.Addr().String(), Region: "lahore", FailureDomain: "lahore-c",
			Service: "menu-model", Models: []string{"dastarkhwan-menu"}, SoftwareVersion: "9f3c", Slots: 8,
		}, time.Hour)
	}
}

// TestErrorInBrokenAnswer breaks an answer off and has the next engines answer with errors: the caller gets the whole answer if
// an engine goes on after them, and else the pieces before, an error event and no end mark, but never the engines' text.
func TestErrorInBrokenAnswer(t *testing.T) {
	const engineText = "overloaded"
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, engineText, code) }
	}
	text := func(s string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, s) }
	}
	for name, fail := range map[string]http.HandlerFunc{
		"503": status(503), "500": status(500), "429": status(429), "504": status(504),
		"text": text(engineText), "text and end mark": text(engineText + "\n\ndata: [DONE]\n\n"), "error event": text("event: error\ndata: " + engineText + "\n\n"),
		"head": text("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\n\r\n" + engineText),
	} {
		for _, failures := range []int64{2, 1 << 40} {
			t.Run(fmt.Sprint(name, " ", failures), func(t *testing.T) {
				t.Parallel()
				g := newTestEntry(t, nil)
				g.announceEngines(8, breakingEngines(failures, fail))
				_, _, body := g.do(http.MethodPost, chatPath, plan, nil)
				got, whole := "", strings.HasSuffix(body, "data: [DONE]\n\n")
				for line := range strings.Lines(body) {
					if data, ok := strings.CutPrefix(line, "data: {"); ok {
						event, _ := completion.DecodeChunk([]byte("{" + data))
						got += event.Text
					}
				}
				ended := strings.Contains(body, "event: error\ndata: {") && got == "t0 t1 " && !whole && !strings.Contains(body, "DONE")
				if strings.Contains(body, engineText) || failures == 2 && (got != "t0 t1 t2 t3 " || !whole) || failures > 2 && !ended {
					t.Errorf("text %q, body %q", got, body)
				}
			})
		}
	}
}
