package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutusreel/completion"
	"arbutusreel/standin"
)

// Histogram bounds: microseconds up to ten minutes, three digits.
const (
	maxMicros       = 600_000_000
	histogramDigits = 3
)

// Config describes a load.
type Config struct {
	// Entries are the callers' addresses to use, in turn.
	Entries []string
	Token   string
	Class   string
	Model   string
	// Service is a plain service; if it is not empty, calls are sent instead of completions.
	Service string
	Stream  bool
	Count   int
	// Rate is the number of requests a second.
	Rate      float64
	MaxTokens int
	Seed      uint64
	// KeyPrefix stands before the idempotency keys of calls.
	KeyPrefix string
}

// Result is what a load measured; times are in microseconds.
type Result struct {
	Sent       int
	Whole      int
	Wrong      int
	Failed     map[string]int
	FirstToken *hdrhistogram.Histogram
	Finish     *hdrhistogram.Histogram
}

// Run sends the load and returns its result when each request has ended.
func Run(ctx context.Context, cfg Config, client *http.Client) Result {
	g := &generator{cfg: cfg, client: client, result: Result{
		Failed:     map[string]int{},
		FirstToken: hdrhistogram.New(1, maxMicros, histogramDigits),
		Finish:     hdrhistogram.New(1, maxMicros, histogramDigits),
	}}
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	var wg sync.WaitGroup
	for i := range cfg.Count {
		prompt := fmt.Sprintf("request %d of seed %d: %d", i, cfg.Seed, rng.Uint64())
		wg.Go(func() { g.one(ctx, i, prompt) })
		time.Sleep(time.Duration(rng.ExpFloat64() / cfg.Rate * float64(time.Second)))
	}
	wg.Wait()
	return g.result
}

// generator sends the requests of one load.
type generator struct {
	cfg    Config
	client *http.Client
	mu     sync.Mutex
	result Result
	// epoch is the token of the ledger for new keys, as it was told at epochAt.
	epoch   string
	epochAt time.Time
}

// epochPeriod is how long a token of the ledger is used for new keys.
const epochPeriod = 2 * time.Second

func (g *generator) one(ctx context.Context, i int, prompt string) {
	address := g.cfg.Entries[i%len(g.cfg.Entries)]
	began := time.Now()
	var first time.Duration
	var text, failure string
	var want string
	if g.cfg.Service != "" {
		text, failure = g.call(ctx, address, i, prompt)
		want = text
	} else {
		text, first, failure = g.complete(ctx, address, prompt, began)
		want = standin.Answer(g.cfg.Model, g.promptText(prompt), g.cfg.MaxTokens)
	}
	g.record(time.Since(began), first, failure, text == want)
}

func (g *generator) record(finish, first time.Duration, failure string, right bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Sent++
	switch {
	case failure != "":
		g.result.Failed[failure]++
		return
	case !right:
		g.result.Wrong++
		return
	}
	g.result.Whole++
	_ = g.result.Finish.RecordValue(finish.Microseconds())
	if first > 0 {
		_ = g.result.FirstToken.RecordValue(first.Microseconds())
	}
}

// chatMessage is a chat message on the wire.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is a chat request on the wire.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

func (g *generator) body(prompt string) []byte {
	b, _ := json.Marshal(chatRequest{
		Model:     g.cfg.Model,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		Stream:    g.cfg.Stream,
		MaxTokens: g.cfg.MaxTokens,
	})
	return b
}

// promptText returns the prompt as the engine reads it.
func (g *generator) promptText(prompt string) string {
	r, _ := completion.Decode(completion.Chat, g.body(prompt))
	return r.Prompt
}

// send sends one request; the failure is the problem's code, or "transport".
func (g *generator) send(ctx context.Context, url, key string, body []byte) (*http.Response, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, "transport"
	}
	req.Header.Set("Authorization", "Bearer "+g.cfg.Token)
	req.Header.Set("Content-Type", "application/json")
	if g.cfg.Class != "" {
		req.Header.Set("Arbutusreel-Class", g.cfg.Class)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("Arbutusreel-Epoch", g.token(ctx, url))
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return nil, "transport"
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, failureOf(resp)
	}
	return resp, ""
}

// token returns the token of the ledger from the entry of the URL, or the one told before if that gives none.
func (g *generator) token(ctx context.Context, url string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != "" && time.Since(g.epochAt) < epochPeriod {
		return g.epoch
	}
	path := strings.Index(url, "/v1/")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url[:path]+"/v1/entries", nil)
	if err != nil {
		return g.epoch
	}
	req.Header.Set("Authorization", "Bearer "+g.cfg.Token)
	resp, err := g.client.Do(req)
	if err != nil {
		return g.epoch
	}
	defer resp.Body.Close()
	var m struct {
		Epoch string `json:"epoch"`
	}
	b, err := io.ReadAll(resp.Body)
	if err == nil && json.Unmarshal(b, &m) == nil && m.Epoch != "" {
		g.epoch, g.epochAt = m.Epoch, time.Now()
	}
	return g.epoch
}

func failureOf(resp *http.Response) string {
	var m struct {
		Code string `json:"code"`
	}
	b, _ := io.ReadAll(resp.Body)
	if json.Unmarshal(b, &m) != nil || m.Code == "" {
		return fmt.Sprintf("status%d", resp.StatusCode)
	}
	return m.Code
}

func (g *generator) call(ctx context.Context, address string, i int, prompt string) (string, string) {
	key := fmt.Sprintf("%s-%d-%d", g.cfg.KeyPrefix, g.cfg.Seed, i)
	resp, failure := g.send(ctx, "http://"+address+"/v1/services/"+g.cfg.Service+"/orders", key, []byte(prompt))
	if failure != "" {
		return "", failure
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", "cut"
	}
	return string(b), ""
}

// complete returns the text of an answer and the time to its first token.
func (g *generator) complete(ctx context.Context, address, prompt string, began time.Time) (string, time.Duration, string) {
	resp, failure := g.send(ctx, "http://"+address+"/v1/chat/completions", "", g.body(prompt))
	if failure != "" {
		return "", 0, failure
	}
	defer resp.Body.Close()
	if g.cfg.Stream {
		return readStream(resp.Body, began)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", 0, "cut"
	}
	var m struct {
		Choices []struct {
			Message chatMessage `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(b, &m) != nil || len(m.Choices) != 1 {
		return "", 0, "malformed"
	}
	return m.Choices[0].Message.Content, 0, ""
}

// readStream reads server-sent events to their end mark.
func readStream(body io.Reader, began time.Time) (string, time.Duration, string) {
	var text strings.Builder
	var first time.Duration
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: error" {
			return "", 0, "streamError"
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == completion.Done {
			return text.String(), first, ""
		}
		event, err := completion.DecodeChunk([]byte(data))
		if err != nil {
			return "", 0, "malformed"
		}
		if first == 0 {
			first = time.Since(began)
		}
		text.WriteString(event.Text)
	}
	return "", 0, "cut"
}
