package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestMeasureBurst measures the time to the first token by policy when a region fails and its requests fill the two
// smaller regions at once, with reports up to a second old, and when it returns.
func TestMeasureBurst(t *testing.T) {
	for seed := range rows([]uint64{0, 1, 2}, nil) {
		for _, row := range policies()[1:] {
			synctest.Test(t, func(t *testing.T) { measureBurst(t, uint64(seed), row) })
		}
	}
}

func measureBurst(t *testing.T, seed uint64, row policyRow) {
	engines := fleet(8, 8, 0)
	engines["karachi"], engines["peshawar"] = engines["karachi"][:6], engines["peshawar"][:4]
	w := newWorld(mustInventory(tamarindContents()), seed, engines, 3, row.chooser)
	for _, r := range w.regions {
		for _, g := range r.engines {
			g.prefillTime, g.prefill = 500*time.Microsecond, make(chan struct{}, 8)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	go w.publishEvery(ctx, time.Second)
	res, began := &results{}, time.Now()
	var wg sync.WaitGroup
	for i, region := range regionNames {
		perSecond := map[string]float64{"lahore": 24, "karachi": 16, "peshawar": 10}[region]
		rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
		wg.Go(func() {
			for n := 0; time.Since(began) < 40*time.Second; n++ {
				time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
				r := sharedPrefixRequest(rng, fmt.Sprintf("%s-%d", region, n))
				for block := range r.Prefixes {
					r.Prefixes[block] += uint64(i) * 1_000_000
				}
				wg.Go(func() { res.send(w, region, began, r) })
			}
		})
	}
	time.Sleep(20 * time.Second)
	lahore := w.region("lahore")
	lahore.setDead(true)
	time.Sleep(2 * time.Second)
	w.setLost(lahore, true)
	time.Sleep(8 * time.Second)
	w.setLost(lahore, false)
	lahore.setDead(false)
	wg.Wait()
	stop()
	synctest.Wait()
	first := func(q float64, from, to time.Duration) time.Duration {
		return res.first("lahore", q, from*time.Second, to*time.Second).Round(time.Millisecond)
	}
	t.Logf("seed %d, %-18s first token p95 and p99: lost %v %v, 4 s later %v %v, returned %v %v", seed, row.name,
		first(0.95, 20, 24), first(0.99, 20, 24), first(0.95, 24, 30), first(0.99, 24, 30), first(0.95, 30, 40), first(0.99, 30, 40))
}
