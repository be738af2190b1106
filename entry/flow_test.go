package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"arbutusreel/completion"
	"arbutusreel/standin"
	"arbutusreel/stream"
)

const plan = `{"model":"dastarkhwan-menu","max_tokens":80,"stream":true,"messages":[{"role":"user","content":"plan the week"}]}`

func newEngine(tokenTime time.Duration) *standin.Engine {
	return standin.NewEngine(standin.EngineConfig{Slots: 8, TokenTime: tokenTime}, nil)
}

func wantPlan() string {
	r, _ := completion.Decode(completion.Chat, []byte(plan))
	return standin.Answer(r.Model, r.Prompt, r.MaxTokens)
}

func TestStreamedAndWholeAnswers(t *testing.T) {
	g := newTestEntry(t, nil)
	g.announce("menu-model", newEngine(0).Handler())
	_, _, streamed := g.do(http.MethodPost, chatPath, plan, nil)
	var text strings.Builder
	for line := range strings.Lines(streamed) {
		if data, ok := strings.CutPrefix(line, "data: {"); ok {
			event, err := completion.DecodeChunk([]byte("{" + data))
			if err != nil {
				t.Fatal(err)
			}
			text.WriteString(event.Text)
		}
	}
	if text.String() != wantPlan() || !strings.HasSuffix(streamed, "data: [DONE]\n\n") {
		t.Errorf("streamed answer %q", streamed)
	}
	_, header, whole := g.do(http.MethodPost, chatPath, strings.Replace(plan, `"stream":true`, `"stream":false`, 1), nil)
	if !strings.Contains(whole, wantPlan()) || header.Get("Content-Length") != fmt.Sprint(len(whole)) {
		t.Errorf("whole answer %q, header %v", whole, header)
	}
}

// TestCallerLeaves checks that the engine cancels a request whose caller disconnects in the middle of the answer.
func TestCallerLeaves(t *testing.T) {
	for _, streaming := range []bool{true, false} {
		t.Run(fmt.Sprintf("streaming %v", streaming), func(t *testing.T) {
			g := newTestEntry(t, nil)
			engine := newEngine(time.Hour)
			g.announce("menu-model", engine.Handler())
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			body := strings.Replace(plan, `"stream":true`, fmt.Sprintf(`"stream":%v`, streaming), 1)
			go func() {
				if resp, err := g.server.Client().Do(g.request(ctx, http.MethodPost, chatPath, body, nil)); err == nil {
					resp.Body.Close()
				}
			}()
			g.waitFor("the engine runs the request", func() bool { return engine.Counts().PromptTokens > 0 })
			leave()
			g.waitFor("the engine cancels the request", func() bool { return engine.Counts().Cancelled == 1 })
			g.waitFor("the entry has no request in progress", func() bool { return g.entry.active.Load() == 0 })
			if !strings.Contains(g.log.String(), `"code":"callerGone"`) {
				t.Errorf("log %s", g.log.String())
			}
		})
	}
}

// TestReaderStops checks that an endless answer is cancelled when the caller stops reading, and that little of it is
// buffered meanwhile.
func TestReaderStops(t *testing.T) {
	g := newTestEntry(t, func(cfg *Config) { cfg.ReaderTimeout = 200 * time.Millisecond })
	var sent atomic.Int64
	cancelled := make(chan struct{})
	g.announce("menu-model", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(cancelled)
		_, _ = io.Copy(io.Discard, r.Body)
		answer := completion.Answer{Kind: completion.Chat, ID: r.Header.Get("X-Request-Id")}
		text := strings.Repeat("x", 16<<10)
		for i := 0; r.Context().Err() == nil; i++ {
			b := answer.Chunk(stream.Piece{Position: i, Text: text})
			if _, err := w.Write(append(append([]byte("data: "), b...), "\n\n"...)); err != nil {
				return
			}
			sent.Add(int64(len(text)))
		}
	}))
	resp, err := g.server.Client().Do(g.request(t.Context(), http.MethodPost, chatPath, plan, nil))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	<-cancelled
	g.waitFor("the entry has no request in progress", func() bool { return g.entry.active.Load() == 0 })
	if !strings.Contains(g.log.String(), `"code":"readerStopped"`) {
		t.Errorf("log %s", g.log.String())
	}
	const limit = 64 << 20
	if sent.Load() > limit {
		t.Errorf("the engine had sent %d bytes", sent.Load())
	}
}

// TestSlowReader checks that a caller that reads slowly receives the complete answer.
func TestSlowReader(t *testing.T) {
	g := newTestEntry(t, func(cfg *Config) { cfg.ReaderTimeout = 5 * time.Second })
	g.announce("menu-model", newEngine(0).Handler())
	resp, err := g.server.Client().Do(g.request(t.Context(), http.MethodPost, chatPath, plan, nil))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		time.Sleep(time.Millisecond)
		b.WriteString(lines.Text() + "\n")
	}
	if !strings.HasSuffix(b.String(), "data: [DONE]\n\n") {
		t.Errorf("answer %q", b.String())
	}
}

// TestCallReaderStops checks that a call's answer is abandoned when the caller doesn't read it, so that it cannot delay
// a stop.
func TestCallReaderStops(t *testing.T) {
	g := newTestEntry(t, func(cfg *Config) { cfg.ReaderTimeout = 200 * time.Millisecond })
	handler := g.entry.authenticated(func(w http.ResponseWriter, _ *http.Request, _ caller) {
		g.entry.setWriteTimeout(w)
		part := make([]byte, 1<<20)
		for range 256 {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamToken)
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	g.waitFor("the entry has no request in progress", func() bool { return g.entry.active.Load() == 0 })
}
