package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"arbutusreel/completion"
	"arbutusreel/standin"
)

// Run sends the requests of all mixes at once and returns one result for each mix when every request has ended.
func Run(ctx context.Context, cfg Config, client *http.Client) []Result {
	results := make([]Result, len(cfg.Mixes))
	var wg sync.WaitGroup
	for i, mix := range cfg.Mixes {
		wg.Go(func() { results[i] = runMix(ctx, cfg, mix, uint64(i), client) })
	}
	wg.Wait()
	return results
}

func runMix(ctx context.Context, cfg Config, mix Mix, stream uint64, client *http.Client) Result {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g := &generator{
		cfg:     cfg,
		mix:     mix,
		client:  client,
		entries: newEntries(cfg, mix.Token, client),
		result:  NewResult(mix.Name),
	}
	if cfg.Discover {
		g.entries.refresh(ctx)
		go g.entries.refreshPeriodically(ctx)
	}
	start := time.Now()
	var wg sync.WaitGroup
	for _, a := range mix.arrivals(cfg.Seed, stream) {
		due := start.Add(a.offset)
		time.Sleep(time.Until(due))
		wg.Go(func() { g.runRequest(ctx, a, due) })
	}
	wg.Wait()
	return g.result
}

// generator sends the requests of one mix.
type generator struct {
	cfg     Config
	mix     Mix
	client  *http.Client
	entries *entries
	mu      sync.Mutex
	result  Result
	epoch   cachedEpoch
}

// outcome is the result of one request.
type outcome struct {
	text          string
	failure       string
	abandoned     bool
	abandonedAt   time.Time
	correlationID string
	retries       int
	tokens        int
	firstToken    time.Duration
	tokenGaps     []time.Duration
	finish        time.Duration
}

// runRequest sends a request that was due at a time, and records its outcome; its latency includes any delay in
// sending.
func (g *generator) runRequest(ctx context.Context, a arrival, due time.Time) {
	var o outcome
	var want string
	if g.mix.Service != "" {
		o = g.sendCall(ctx, a)
		want = o.text
	} else {
		o = g.sendCompletion(ctx, a, due)
		want = standin.Answer(g.mix.Model, g.promptText(a.prompt), g.mix.MaxTokens)
	}
	o.finish = time.Since(due)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.record(g.mix, o, want)
}

// promptText returns the prompt as the engine decodes it.
func (g *generator) promptText(prompt string) string {
	r, err := completion.Decode(completion.Chat, g.body(prompt))
	if err != nil {
		return prompt
	}
	return r.Prompt
}
