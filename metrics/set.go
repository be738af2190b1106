package metrics

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms: microseconds up to 10 s, with two significant digits.
const (
	maxMicros       = 10_000_000
	histogramDigits = 2
)

// commandLineVar is a variable published by the standard library that Handler omits.
const commandLineVar = "cmdline"

// Set holds the counters of one process; it is safe for concurrent use.
type Set struct {
	vars     expvar.Map
	requests expvar.Map
	tokens   expvar.Int
	active   expvar.Int
	added    *Histogram
	teams    teams
}

var _ expvar.Var = (*Set)(nil)

// New returns a set with all counters at zero.
func New() *Set {
	s := &Set{added: NewHistogram()}
	s.vars.Set("requests", &s.requests)
	s.vars.Set("tokens", &s.tokens)
	s.vars.Set("active", &s.active)
	s.vars.Set("addedMicros", s.added)
	return s
}

// String returns the counters as JSON.
func (s *Set) String() string { return s.vars.String() }

// Publish adds a variable to the set under a name.
func (s *Set) Publish(name string, v expvar.Var) { s.vars.Set(name, v) }

// Begin counts a request in progress.
func (s *Set) Begin() { s.active.Add(1) }

// End counts a request as no longer in progress.
func (s *Set) End() { s.active.Add(-1) }

// Count counts the outcome of a request by its code.
func (s *Set) Count(code string) { s.requests.Add(code, 1) }

// Tokens counts tokens sent to callers.
func (s *Set) Tokens(n int) { s.tokens.Add(int64(n)) }

// ObserveAddedLatency records the latency that the process itself added to the first token of an answer.
func (s *Set) ObserveAddedLatency(d time.Duration) { s.added.Observe(d) }

// Histogram is a histogram of durations; its zero value is not ready for use.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(1, maxMicros, histogramDigits)}
}

var _ expvar.Var = (*Histogram)(nil)

// Observe records a duration, clamped to the range from 1 µs to 10 s.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.histogram.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// String returns the number of durations and their quantiles in microseconds as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var m expvar.Map
	set := func(name string, value int64) {
		v := new(expvar.Int)
		v.Set(value)
		m.Set(name, v)
	}
	set("count", h.histogram.TotalCount())
	set("p50", h.histogram.ValueAtQuantile(50))
	set("p99", h.histogram.ValueAtQuantile(99))
	set("max", h.histogram.Max())
	return m.String()
}

// Handler serves all published variables as JSON, except the command line of the process.
func Handler(w http.ResponseWriter, _ *http.Request) {
	var all expvar.Map
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != commandLineVar {
			all.Set(kv.Key, kv.Value)
		}
	})
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(all.String()))
}
