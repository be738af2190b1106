package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram bounds: microseconds up to ten minutes, three digits.
const (
	maxMicros       = 600_000_000
	histogramDigits = 3
)

// maxSlowest is the number of slowest requests that are named, to find them in the entries' logs.
const maxSlowest = 8

// Result is what the load of one mix measured; times are in microseconds.
type Result struct {
	Mix       string
	Sent      int
	Whole     int
	Wrong     int
	Abandoned int
	// Moved is the number of times that a request was sent to another entry since the first one had not run it.
	Moved       int
	Failed      map[string]int
	AskedTokens int
	UsedTokens  int
	// ServedTokens are the tokens of the requests served whole within the patience.
	ServedTokens int
	// Served and Weight are the weights of the requests served within the patience and of all requests.
	Served float64
	Weight float64
	// FirstToken and Finish are measured from the time at which a request was due.
	FirstToken    *hdrhistogram.Histogram
	BetweenTokens *hdrhistogram.Histogram
	Finish        *hdrhistogram.Histogram
	// Slowest are the requests with the latest first tokens, the slowest first.
	Slowest []Slow
	// Left is the time at which the caller left each abandoned stream, by correlation id, in microseconds since 1970.
	Left map[string]int64
}

// NewResult returns the result of a mix that has sent nothing.
func NewResult(mix string) Result {
	return Result{
		Mix:           mix,
		Failed:        map[string]int{},
		FirstToken:    newHistogram(),
		BetweenTokens: newHistogram(),
		Finish:        newHistogram(),
		Left:          map[string]int64{},
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, histogramDigits) }

// record adds the outcome of one request whose right answer is want.
func (r *Result) record(m Mix, o outcome, want string) {
	weight := m.Weight
	if weight == 0 {
		weight = 1
	}
	r.Sent++
	r.Moved += o.moved
	r.AskedTokens += m.MaxTokens
	r.UsedTokens += o.tokens
	switch {
	case o.left:
		r.Abandoned++
		r.Left[o.id] = o.leftAt.UnixMicro()
		return
	case o.failure != "":
		r.Failed[o.failure]++
		r.Weight += weight
		return
	case o.text != want:
		r.Wrong++
		r.Weight += weight
		return
	}
	r.Whole++
	r.Weight += weight
	if m.Patience == 0 || o.finish <= m.Patience {
		r.Served += weight
		r.ServedTokens += o.tokens
	}
	note(r.Finish, o.finish)
	if o.first > 0 {
		note(r.FirstToken, o.first)
		r.Slowest = slowest(append(r.Slowest, Slow{ID: o.id, First: o.first}))
	}
	for _, gap := range o.gaps {
		note(r.BetweenTokens, gap)
	}
}

// Slow is a request by its correlation id with the time to its first token.
type Slow struct {
	ID    string
	First time.Duration
}

// slowest returns the slowest of the requests, maxSlowest at most.
func slowest(list []Slow) []Slow {
	slices.SortFunc(list, func(a, b Slow) int { return cmp.Compare(b.First, a.First) })
	return list[:min(len(list), maxSlowest)]
}

func note(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// Merge returns the sum of two results under the name of the first.
func (r Result) Merge(other Result) Result {
	sum := NewResult(r.Mix)
	for _, part := range []Result{r, other} {
		sum.Sent += part.Sent
		sum.Whole += part.Whole
		sum.Wrong += part.Wrong
		sum.Abandoned += part.Abandoned
		sum.Moved += part.Moved
		sum.AskedTokens += part.AskedTokens
		sum.UsedTokens += part.UsedTokens
		sum.ServedTokens += part.ServedTokens
		sum.Served += part.Served
		sum.Weight += part.Weight
		for code, n := range part.Failed {
			sum.Failed[code] += n
		}
		for id, at := range part.Left {
			sum.Left[id] = at
		}
		sum.Slowest = slowest(append(sum.Slowest, part.Slowest...))
		sum.FirstToken.Merge(part.FirstToken)
		sum.BetweenTokens.Merge(part.BetweenTokens)
		sum.Finish.Merge(part.Finish)
	}
	return sum
}

// ServedShare returns the weighted share of the requests not abandoned that were served whole within the patience.
func (r Result) ServedShare() float64 {
	if r.Weight == 0 {
		return 0
	}
	return r.Served / r.Weight
}
