package metrics

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms: microseconds up to ten seconds, two digits.
const (
	maxMicros       = 10_000_000
	histogramDigits = 2
)

// commandLineVar is the name of the variable that the standard library lists and that is not shown.
const commandLineVar = "cmdline"

// Set is the counts of one process; it is safe for concurrent use.
type Set struct {
	vars     expvar.Map
	requests expvar.Map
	tokens   expvar.Int
	active   expvar.Int
	added    *Times
}

var _ expvar.Var = (*Set)(nil)

// New returns a set whose counts are zero.
func New() *Set {
	s := &Set{added: NewTimes()}
	s.vars.Set("requests", &s.requests)
	s.vars.Set("tokens", &s.tokens)
	s.vars.Set("active", &s.active)
	s.vars.Set("addedMicros", s.added)
	return s
}

// String returns the counts as JSON.
func (s *Set) String() string { return s.vars.String() }

// Add lists one more variable.
func (s *Set) Add(name string, v expvar.Var) { s.vars.Set(name, v) }

// Begin counts a request in progress.
func (s *Set) Begin() { s.active.Add(1) }

// End counts a request as no longer in progress.
func (s *Set) End() { s.active.Add(-1) }

// Count counts the outcome of a request by its code.
func (s *Set) Count(code string) { s.requests.Add(code, 1) }

// Tokens counts tokens that were sent to callers.
func (s *Set) Tokens(n int) { s.tokens.Add(int64(n)) }

// Added notes the time that the process itself added to the first token of an answer.
func (s *Set) Added(d time.Duration) { s.added.Note(d) }

// Times is a histogram of times; its zero value is not ready for use.
type Times struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewTimes returns an empty histogram.
func NewTimes() *Times { return &Times{histogram: hdrhistogram.New(1, maxMicros, histogramDigits)} }

var _ expvar.Var = (*Times)(nil)

// Note counts a time; it is kept within a microsecond and ten seconds.
func (t *Times) Note(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.histogram.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// String returns the number of times and their quantiles in microseconds as JSON.
func (t *Times) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m expvar.Map
	set := func(name string, value int64) {
		v := new(expvar.Int)
		v.Set(value)
		m.Set(name, v)
	}
	set("count", t.histogram.TotalCount())
	set("p50", t.histogram.ValueAtQuantile(50))
	set("p99", t.histogram.ValueAtQuantile(99))
	set("max", t.histogram.Max())
	return m.String()
}

// Handler serves every variable of the process as JSON, without its command line.
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
