package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"arbutusreel/completion"
	"arbutusreel/standin"
)

// Run sends the load and returns one result for each mix when each request has ended.
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
		go g.entries.follow(ctx)
	}
	began := time.Now()
	var wg sync.WaitGroup
	for _, a := range mix.arrivals(cfg.Seed, stream) {
		due := began.Add(a.after)
		time.Sleep(time.Until(due))
		wg.Go(func() { g.one(ctx, a, due) })
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
	epoch   epoch
}

// outcome is what became of one request.
type outcome struct {
	text    string
	failure string
	left    bool
	leftAt  time.Time
	id      string
	moved   int
	tokens  int
	first   time.Duration
	gaps    []time.Duration
	finish  time.Duration
}

// one sends a request that was due at a time, and records its outcome.
func (g *generator) one(ctx context.Context, a arrival, due time.Time) {
	var o outcome
	var want string
	if g.mix.Service != "" {
		o = g.call(ctx, a)
		want = o.text
	} else {
		o = g.complete(ctx, a, due)
		want = standin.Answer(g.mix.Model, g.promptText(a.prompt), g.mix.MaxTokens)
	}
	o.finish = time.Since(due)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.record(g.mix, o, want)
}

// promptText returns the prompt as the engine reads it.
func (g *generator) promptText(prompt string) string {
	r, err := completion.Decode(completion.Chat, g.body(prompt))
	if err != nil {
		return prompt
	}
	return r.Prompt
}
