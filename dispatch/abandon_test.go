package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusreel/stream"
)

// cancelingCaller is a caller that cancels its request after cancelAfter pieces, if that is above zero.
type cancelingCaller struct {
	collector
	cancelAfter int
	cancel      context.CancelFunc
}

func (l *cancelingCaller) Piece(p stream.Piece) error {
	err := l.collector.Piece(p)
	if l.cancelAfter > 0 && l.n == l.cancelAfter {
		l.cancel()
	}
	return err
}

// sharedPrefixRequest returns a request with one of 20 shared prefixes and an answer of 40 tokens on average.
func sharedPrefixRequest(rng *rand.Rand, id string) Request {
	r := request(id, 1+rng.IntN(79), "plan", 30*time.Second)
	prefix := rng.IntN(20)
	for block := range 8 {
		r.Prefixes = append(r.Prefixes, uint64(prefix*1000+block+1))
	}
	r.PromptTokens, r.MaxTokens = 530, 1000
	return r
}

// sendCanceling sends a request whose caller cancels it with probability one half, and samples the first token of the
// others.
func (res *results) sendCanceling(w *world, region string, began time.Time, rng *rand.Rand, r Request, wg *sync.WaitGroup) {
	l := &cancelingCaller{}
	if rng.Float64() < 0.5 {
		l.cancelAfter = 1 + rng.IntN(20)
	}
	wg.Go(func() {
		at := time.Now()
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		defer cancel()
		l.cancel = cancel
		_, err := w.entry(region).Generate(ctx, r, l)
		res.mu.Lock()
		defer res.mu.Unlock()
		if l.cancelAfter == 0 {
			res.samples = append(res.samples, sample{region: region, at: at.Sub(began), first: l.first.Sub(at), err: err})
		}
	})
}

// TestMeasureAbandoned compares the policies while half of the streams are canceled by their callers, so that a
// request stays at an endpoint for hardly longer than the age of a load report.
func TestMeasureAbandoned(t *testing.T) {
	for _, rate := range rows([]float64{60, 70}, nil) {
		for seed := range uint64(3) {
			for _, row := range policies()[1:] {
				synctest.Test(t, func(t *testing.T) { measureAbandoned(t, rate, seed, row) })
			}
		}
	}
}

func measureAbandoned(t *testing.T, rate float64, seed uint64, row policyRow) {
	w := newWorld(mustInventory(tamarindContents()), seed, fleet(8, 8, 0), 3, row.chooser)
	for _, r := range w.regions {
		for _, g := range r.engines {
			g.prefillTime, g.prefill = 500*time.Microsecond, make(chan struct{}, 8)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	go w.publishEvery(ctx, 300*time.Millisecond)
	res, began := &results{}, time.Now()
	var wg sync.WaitGroup
	for i, region := range regionNames {
		perSecond := 15.0
		if region == "lahore" {
			perSecond = rate
		}
		rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
		wg.Go(func() {
			for n := 0; time.Since(began) < time.Minute; n++ {
				time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
				res.sendCanceling(w, region, began, rng, sharedPrefixRequest(rng, fmt.Sprintf("%s-%d", region, n)), &wg)
			}
		})
	}
	wg.Wait()
	stop()
	synctest.Wait()
	first := func(q float64) time.Duration {
		return res.first("lahore", q, 5*time.Second, time.Hour).Round(time.Millisecond)
	}
	t.Logf("%.0f requests a second, seed %d, %-18s first token p50 %v p95 %v p99 %v", rate, seed, row.name, first(0.5), first(0.95), first(0.99))
}
