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

// loadSamplePeriod is the period at which an engine samples its load for delayed reports.
const loadSamplePeriod = 50 * time.Millisecond

// EngineConfig describes an emulated model engine.
type EngineConfig struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	Service       string
	Models        []string
	Slots         int
	// CacheTokens is the KV cache capacity in tokens that running requests share; zero is unbounded.
	CacheTokens int
	// PricePerHour is the price of one hour of the engine, whether it is busy or idle.
	PricePerHour float64
	// TokenTime is the time between two tokens of a stream that runs alone.
	TokenTime time.Duration
	// BatchSlowdown is the fraction by which TokenTime grows when all slots are occupied.
	BatchSlowdown float64
	// PrefillTime is the prefill time of one prompt token that is not cached.
	PrefillTime time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// CacheEventDelay is the time from a cache event to its announcement.
	CacheEventDelay time.Duration
	// CacheEventLossShare is the fraction of announcements whose cache events are lost.
	CacheEventLossShare float64
	// ReportLag is the age of the load in an announcement.
	ReportLag time.Duration
	// KVBytesPerSecond is the bandwidth of KV cache export and import; zero is unlimited.
	KVBytesPerSecond float64
	// LeaveNotice is the time between the first announcement as leaving and the stop.
	LeaveNotice time.Duration
	// ChecksFencing makes the engine refuse orders with stale fencing tokens.
	ChecksFencing bool
	// LoadTime is the time to load a model from the weight store, and AdapterLoadTime that of an adapter.
	LoadTime        time.Duration
	AdapterLoadTime time.Duration
	// SoftwareVersion is announced and written before each token. An engine that has one resumes any text, as engines
	// of different versions do not check what another one wrote.
	SoftwareVersion string
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
	orders    orderLog

	mu      sync.Mutex
	models  []string
	loading []string
	// lastOrder is the fencing token of the last applied order, and changeCount the number of applied orders.
	lastOrder   fencing.Number
	changeCount int
	loadSamples []loadSample
}

// loadSample is the load of an engine at one time.
type loadSample struct {
	at   time.Time
	load *wiregen.LoadReport
}

// NewEngine returns an engine that announces itself to the entries listed in the directory.
func NewEngine(cfg EngineConfig, d *directory.Client) *Engine {
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	return &Engine{
		cfg:       cfg,
		directory: d,
		batch:     newBatch(cfg.Slots, cfg.CacheTokens),
		cache:     newCache(cfg.CacheBlocks, cfg.CacheEventDelay, cfg.CacheEventLossShare, rng),
		counts:    counts{cancels: map[string]int64{}},
		models:    slices.Clone(cfg.Models),
	}
}

// Run announces the engine until ctx ends, and then announces it as leaving for LeaveNotice.
func (e *Engine) Run(ctx context.Context) {
	samplingCtx, stopSampling := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.sampleLoad(samplingCtx)
	}()
	newAnnouncer(e.directory, e.cfg.Region, e.describe).run(ctx, e.cfg.LeaveNotice)
	stopSampling()
	<-done
}

// sampleLoad samples the load periodically and drops samples older than the newest one that is at least ReportLag old.
func (e *Engine) sampleLoad(ctx context.Context) {
	for clock.Sleep(ctx, loadSamplePeriod) {
		now := time.Now()
		e.mu.Lock()
		e.loadSamples = append(e.loadSamples, loadSample{at: now, load: e.load()})
		for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) >= e.cfg.ReportLag {
			e.loadSamples = e.loadSamples[1:]
		}
		e.mu.Unlock()
	}
}

func (e *Engine) load() *wiregen.LoadReport {
	running, queued, queuedTokens := e.batch.load()
	cacheUse := e.cache.utilization()
	if e.cfg.CacheTokens > 0 {
		cacheUse = e.batch.kvUtilization()
	}
	return &wiregen.LoadReport{
		Running:                int64(running),
		Queued:                 int64(queued),
		QueuedTokens:           int64(queuedTokens),
		TokensPerSecond:        float64(e.cfg.Slots) / e.tokenTime(e.cfg.Slots).Seconds(),
		PrefillTokensPerSecond: 1 / max(e.cfg.PrefillTime, time.Nanosecond).Seconds(),
		CacheUse:               cacheUse,
	}
}

// laggedLoad returns the load as of ReportLag ago, with its age; the caller holds e.mu.
func (e *Engine) laggedLoad(now time.Time) *wiregen.LoadReport {
	if e.cfg.ReportLag == 0 || len(e.loadSamples) == 0 {
		return e.load()
	}
	r := e.loadSamples[0]
	r.load.AgeMillis = now.Sub(r.at).Milliseconds()
	return r.load
}

// describe returns the announcement of the engine's current state.
func (e *Engine) describe() *wiregen.Announcement {
	now := time.Now()
	events, sequence := e.cache.takeDueEvents(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wiregen.Announcement{
		Name:            e.cfg.Name,
		Incarnation:     e.cfg.Incarnation,
		Address:         e.cfg.Address,
		Region:          e.cfg.Region,
		FailureDomain:   e.cfg.FailureDomain,
		Service:         e.cfg.Service,
		Models:          servedNames(e.models),
		Versions:        versionedNames(e.models),
		Loading:         slices.Clone(e.loading),
		OrderTerm:       e.lastOrder.Term,
		OrderSequence:   e.lastOrder.Sequence,
		SoftwareVersion: e.cfg.SoftwareVersion,
		Slots:           int64(e.cfg.Slots),
		Load:            e.laggedLoad(now),
		CacheEvents:     events,
		CacheSequence:   sequence,
		CacheTokens:     int64(e.cfg.CacheTokens),
	}
}

// Counts returns the counters of the engine since its start.
func (e *Engine) Counts() Counts { return e.counts.snapshot() }

// Use returns the utilization of the engine since its start.
func (e *Engine) Use() Use {
	use := e.batch.use()
	use.PricePerHour = e.cfg.PricePerHour
	return use
}

// tokenTime returns the time between two tokens while the given number of requests runs.
func (e *Engine) tokenTime(running int) time.Duration {
	occupancy := float64(running) / float64(e.cfg.Slots)
	return time.Duration(float64(e.cfg.TokenTime) * (1 + e.cfg.BatchSlowdown*occupancy))
}

// Handler serves completions, KV cache transfers, engine orders, and the engine's counters and utilization.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		e.serveCompletion(w, r, completion.Chat)
	})
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		e.serveCompletion(w, r, completion.Text)
	})
	mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	mux.HandleFunc("POST /v1/kv/import", e.importKV)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/orders", e.listOrders)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	mux.HandleFunc("GET /use", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Use()) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
