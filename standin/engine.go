package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"arbutusreel/completion"
	"arbutusreel/directory"
	"arbutusreel/problem"
	"arbutusreel/stream"
	"arbutusreel/wiregen"
)

// EngineConfig describes an emulated model engine.
type EngineConfig struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	Service       string
	Models        []string
	Slots         int
	// TokenTime is the time between two tokens of a stream.
	TokenTime time.Duration
	// PrefillTime is the time that a token of the prompt takes.
	PrefillTime time.Duration
	Incarnation int64
}

// Engine is an emulated model engine with a bounded number of slots.
type Engine struct {
	cfg       EngineConfig
	directory *directory.Client
	slots     chan struct{}
	mu        sync.Mutex
	queued    int
}

// NewEngine returns an engine that announces itself to the entries of the directory.
func NewEngine(cfg EngineConfig, d *directory.Client) *Engine {
	return &Engine{cfg: cfg, directory: d, slots: make(chan struct{}, cfg.Slots)}
}

// Run announces the engine until ctx ends, and then as leaving.
func (e *Engine) Run(ctx context.Context) {
	newAnnouncer(e.directory, e.cfg.Region, e.describe).run(ctx)
}

// describe returns the engine's announcement.
func (e *Engine) describe() *wiregen.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wiregen.Announcement{
		Name:          e.cfg.Name,
		Incarnation:   e.cfg.Incarnation,
		Address:       e.cfg.Address,
		Region:        e.cfg.Region,
		FailureDomain: e.cfg.FailureDomain,
		Service:       e.cfg.Service,
		Models:        clone(e.cfg.Models),
		Slots:         int64(e.cfg.Slots),
		Load: &wiregen.LoadReport{
			Running:                int64(len(e.slots)),
			Queued:                 int64(e.queued),
			TokensPerSecond:        1 / e.cfg.TokenTime.Seconds(),
			PrefillTokensPerSecond: 1 / e.cfg.PrefillTime.Seconds(),
		},
	}
}

// Handler serves completions.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, completion.Chat) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, completion.Text) })
	return mux
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, kind completion.Kind) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	asked, err := completion.Decode(kind, body)
	if err != nil {
		problem.Write(w, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error()), "")
		return
	}
	if !e.acquire(r.Context()) {
		return
	}
	defer func() { <-e.slots }()
	if !pause(r.Context(), time.Duration(asked.PromptTokens)*e.cfg.PrefillTime) {
		return
	}
	answer := completion.Answer{Kind: kind, ID: r.Header.Get("X-Request-Id"), Model: asked.Model}
	if asked.Streaming {
		e.stream(w, r, asked, answer)
		return
	}
	n := AnswerTokens(asked.Model, asked.Prompt, asked.MaxTokens)
	if pause(r.Context(), time.Duration(n)*e.cfg.TokenTime) {
		_, _ = w.Write(answer.Whole(Answer(asked.Model, asked.Prompt, asked.MaxTokens), stream.End{FinishReason: "stop", Pieces: n, PromptTokens: asked.PromptTokens}))
	}
}

// acquire waits for a slot; it reports false if ctx ends first.
func (e *Engine) acquire(ctx context.Context) bool {
	e.queue(1)
	defer e.queue(-1)
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) queue(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued += n
}

// stream sends the answer token by token.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, asked completion.Request, answer completion.Answer) {
	w.Header().Set("Content-Type", "text/event-stream")
	n := AnswerTokens(asked.Model, asked.Prompt, asked.MaxTokens)
	for i := range n {
		if !pause(r.Context(), e.cfg.TokenTime) {
			return
		}
		piece := stream.Piece{Position: i, Text: Token(asked.Model, asked.Prompt, i)}
		if !sendEvent(w, answer.Chunk(piece)) {
			return
		}
	}
	sendEvent(w, answer.End(stream.End{FinishReason: "stop", Pieces: n, PromptTokens: asked.PromptTokens}))
	sendEvent(w, []byte(completion.Done))
}

func sendEvent(w http.ResponseWriter, data []byte) bool {
	if _, err := w.Write(append(append([]byte("data: "), data...), '\n', '\n')); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// pause waits for d; it reports false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
