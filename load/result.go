package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram bounds: up to ten minutes in microseconds, with three significant digits.
const (
	maxMicros       = 600_000_000
	histogramDigits = 3
)

// maxSlowest is the number of slowest requests that are listed, so that they can be found in the logs of the entries.
const maxSlowest = 8

// Result is the measurement of the load of one mix; histogram values are in microseconds.
type Result struct {
	Mix       string
	Sent      int
	Whole     int
	Wrong     int
	Abandoned int
	// Retried is the number of retries at another entry after one that did not run the request.
	Retried     int
	Failed      map[string]int
	AskedTokens int
	UsedTokens  int
	// ServedTokens is the number of tokens of the complete answers that finished within the patience.
	ServedTokens int
	// Served is the total weight of the requests served within the patience, and Weight that of all requests not
	// abandoned.
	Served float64
	Weight float64
	// FirstToken and Finish are measured from the time at which a request was due.
	FirstToken    *hdrhistogram.Histogram
	BetweenTokens *hdrhistogram.Histogram
	Finish        *hdrhistogram.Histogram
	// Slowest are the requests with the longest times to the first token, the slowest first.
	Slowest []SlowRequest
	// AbandonedAt is the time at which the caller abandoned each stream, in Unix microseconds, by correlation id.
	AbandonedAt map[string]int64
}

// NewResult returns an empty result of a mix.
func NewResult(mix string) Result {
	return Result{
		Mix:           mix,
		Failed:        map[string]int{},
		FirstToken:    newHistogram(),
		BetweenTokens: newHistogram(),
		Finish:        newHistogram(),
		AbandonedAt:   map[string]int64{},
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, histogramDigits) }

// record adds the outcome of one request whose correct answer is want.
func (r *Result) record(m Mix, o outcome, want string) {
	weight := m.Weight
	if weight == 0 {
		weight = 1
	}
	r.Sent++
	r.Retried += o.retries
	r.AskedTokens += m.MaxTokens
	r.UsedTokens += o.tokens
	switch {
	case o.abandoned:
		r.Abandoned++
		r.AbandonedAt[o.correlationID] = o.abandonedAt.UnixMicro()
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
	recordDuration(r.Finish, o.finish)
	if o.firstToken > 0 {
		recordDuration(r.FirstToken, o.firstToken)
		r.Slowest = slowest(append(r.Slowest, SlowRequest{ID: o.correlationID, First: o.firstToken}))
	}
	for _, gap := range o.tokenGaps {
		recordDuration(r.BetweenTokens, gap)
	}
}

// SlowRequest is a request, identified by its correlation id, with its time to the first token.
type SlowRequest struct {
	ID    string
	First time.Duration
}

// slowest returns the slowest requests, at most maxSlowest.
func slowest(list []SlowRequest) []SlowRequest {
	slices.SortFunc(list, func(a, b SlowRequest) int { return cmp.Compare(b.First, a.First) })
	return list[:min(len(list), maxSlowest)]
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// Merge returns the sum of two results under the mix name of the first.
func (r Result) Merge(other Result) Result {
	sum := NewResult(r.Mix)
	for _, part := range []Result{r, other} {
		sum.Sent += part.Sent
		sum.Whole += part.Whole
		sum.Wrong += part.Wrong
		sum.Abandoned += part.Abandoned
		sum.Retried += part.Retried
		sum.AskedTokens += part.AskedTokens
		sum.UsedTokens += part.UsedTokens
		sum.ServedTokens += part.ServedTokens
		sum.Served += part.Served
		sum.Weight += part.Weight
		for code, n := range part.Failed {
			sum.Failed[code] += n
		}
		for id, at := range part.AbandonedAt {
			sum.AbandonedAt[id] = at
		}
		sum.Slowest = slowest(append(sum.Slowest, part.Slowest...))
		sum.FirstToken.Merge(part.FirstToken)
		sum.BetweenTokens.Merge(part.BetweenTokens)
		sum.Finish.Merge(part.Finish)
	}
	return sum
}

// ServedShare returns the weighted fraction of the requests not abandoned that got a complete answer within the
// patience.
func (r Result) ServedShare() float64 {
	if r.Weight == 0 {
		return 0
	}
	return r.Served / r.Weight
}
