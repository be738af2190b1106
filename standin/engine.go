package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutusreel/clock"
	"arbutusreel/completion"
	"arbutusreel/directory"
	"arbutusreel/fencing"
	"arbutusreel/wiregen"
)

// reportPeriod is the period at which an engine notes its load for later reports.
const reportPeriod = 50 * time.Millisecond

// EngineConfig describes an emulated model engine.
type EngineConfig struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	Service       string
	Models        []string
	Slots         int
	// CacheTokens is the number of KV tokens that running requests share; zero is unbounded.
	CacheTokens int
	// PricePerHour is the price of the engine.
	PricePerHour float64
	// TokenTime is the time between two tokens of a stream that runs alone.
	TokenTime time.Duration
	// BatchSlowdown is the share by which TokenTime grows when all slots run.
	BatchSlowdown float64
	// PrefillTime is the time that a token of the prompt takes if it is not cached.
	PrefillTime time.Duration
	// CacheBlocks is the number of prefix blocks that the cache holds.
	CacheBlocks int
	// CacheEventDelay is the age at which a cache event is announced.
	CacheEventDelay time.Duration
	// CacheEventGap is the share of announcements whose cache events are lost.
	CacheEventGap float64
	// ReportLag is the age of the load in an announcement.
	ReportLag time.Duration
	// KVBytesPerSecond is the rate at which KV cache is exported and imported.
	KVBytesPerSecond float64
	// LeaveNotice is the time between the first announcement as leaving and the stop.
	LeaveNotice time.Duration
	// ChecksFencing makes the engine refuse orders with old fencing numbers.
	ChecksFencing bool
	// LoadTime is the time in which the weight store serves a model, and AdapterLoadTime that of an adapter.
	LoadTime        time.Duration
	AdapterLoadTime time.Duration
	Incarnation     int64
	Seed            uint64
	Faults          EngineFaults
}

// Engine is an emulated model engine with continuous batching and a prefix cache.
type Engine struct {
	cfg       EngineConfig
	directory *directory.Client
	batch     *batch
	cache     *cache
	counts    counts
	tokens    atomic.Int64
	orders    orders

	mu      sync.Mutex
	models  []string
	loading []string
	// number is that of the last order that was applied, and changes counts these.
	number  fencing.Number
	changes int
	reports []report
}

// report is the load of an engine at a time.
type report struct {
	at   time.Time
	load *wiregen.LoadReport
}

// NewEngine returns an engine that announces itself to the entries of the directory.
func NewEngine(cfg EngineConfig, d *directory.Client) *Engine {
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	return &Engine{
		cfg:       cfg,
		directory: d,
		batch:     newBatch(cfg.Slots, cfg.CacheTokens),
		cache:     newCache(cfg.CacheBlocks, cfg.CacheEventDelay, cfg.CacheEventGap, rng),
		counts:    counts{cancels: map[string]int64{}},
		models:    slices.Clone(cfg.Models),
	}
}

// Run announces the engine until ctx ends, and then as leaving.
func (e *Engine) Run(ctx context.Context) {
	noting, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.noteLoad(noting)
	}()
	newAnnouncer(e.directory, e.cfg.Region, e.describe).run(ctx, e.cfg.LeaveNotice)
	stop()
	<-done
}

// noteLoad keeps the reports that are younger than the lag.
func (e *Engine) noteLoad(ctx context.Context) {
	for clock.Sleep(ctx, reportPeriod) {
		now := time.Now()
		e.mu.Lock()
		e.reports = append(e.reports, report{at: now, load: e.load()})
		for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.ReportLag {
			e.reports = e.reports[1:]
		}
		e.mu.Unlock()
	}
}

func (e *Engine) load() *wiregen.LoadReport {
	running, queued, queuedTokens := e.batch.load()
	fill := e.cache.fill()
	if e.cfg.CacheTokens > 0 {
		fill = e.batch.fill()
	}
	return &wiregen.LoadReport{
		Running:                int64(running),
		Queued:                 int64(queued),
		QueuedTokens:           int64(queuedTokens),
		TokensPerSecond:        float64(e.cfg.Slots) / e.tokenTime(e.cfg.Slots).Seconds(),
		PrefillTokensPerSecond: 1 / max(e.cfg.PrefillTime, time.Nanosecond).Seconds(),
		CacheUse:               fill,
	}
}

// reported returns the load as it was the lag ago, with its age.
func (e *Engine) reported(now time.Time) *wiregen.LoadReport {
	if e.cfg.ReportLag == 0 || len(e.reports) == 0 {
		return e.load()
	}
	r := e.reports[0]
	r.load.AgeMillis = now.Sub(r.at).Milliseconds()
	return r.load
}

// describe returns the engine's announcement.
func (e *Engine) describe() *wiregen.Announcement {
	now := time.Now()
	events, sequence := e.cache.announce(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wiregen.Announcement{
		Name:          e.cfg.Name,
		Incarnation:   e.cfg.Incarnation,
		Address:       e.cfg.Address,
		Region:        e.cfg.Region,
		FailureDomain: e.cfg.FailureDomain,
		Service:       e.cfg.Service,
		Models:        servedNames(e.models),
		Versions:      versionsOf(e.models),
		Loading:       slices.Clone(e.loading),
		OrderTerm:     e.number.Term,
		OrderSequence: e.number.Sequence,
		Slots:         int64(e.cfg.Slots),
		Load:          e.reported(now),
		CacheEvents:   events,
		CacheSequence: sequence,
		CacheTokens:   int64(e.cfg.CacheTokens),
	}
}

// Counts returns what the engine has done since its start.
func (e *Engine) Counts() Counts { return e.counts.snapshot() }

// Use returns how much of the engine its requests have taken since its start.
func (e *Engine) Use() Use {
	use := e.batch.use()
	use.PricePerHour = e.cfg.PricePerHour
	return use
}

// tokenTime returns the time between two tokens while a number of requests runs.
func (e *Engine) tokenTime(running int) time.Duration {
	full := float64(running) / float64(e.cfg.Slots)
	return time.Duration(float64(e.cfg.TokenTime) * (1 + e.cfg.BatchSlowdown*full))
}

// Handler serves completions, KV cache transfer and the engine's counts.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, completion.Chat) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, completion.Text) })
	mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	mux.HandleFunc("POST /v1/kv/import", e.importKV)
	mux.HandleFunc("POST /v1/orders", e.takeOrder)
	mux.HandleFunc("GET /v1/orders", e.listOrders)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	mux.HandleFunc("GET /use", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Use()) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
