package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// shortCacheSite is a region whose engines read their free cache anew within seconds: long shared parts of many subjects,
// at the given load for each engine.
func shortCacheSite(perEngine float64, subjects int, cacheTokens int64) replaySite {
	const engines = 8
	return replaySite{
		pressure: true,
		engines:  engines, slots: 64, gateways: 4, cacheTokens: cacheTokens, duration: 20 * time.Second, report: reportAll(50 * time.Millisecond),
		rate: func(time.Duration) float64 { return perEngine * engines },
		kinds: []replayKind{
			{name: "check", share: 0.4, prompt: 1800, output: 22, objective: 600 * time.Millisecond, patience: 3 * time.Second, worth: 1.4},
			{name: "plan", share: 0.6, priority: 1, prompt: 2500, output: 300, objective: time.Second, patience: 12 * time.Second, worth: 2.7, subjects: subjects, shared: 9000},
		},
	}
}

// readOver replays a site with several seeds and returns the tokens of shared parts that were read, the 99th percentile of
// the time to the first chunk and the mean worth.
func readOver(t *testing.T, site replaySite, retention CacheRetention) (tokens int64, first99 time.Duration, worth float64) {
	const seeds = 8
	var firsts []time.Duration
	for seed := range uint64(seeds) {
		p := newReplay(t, site, byPlacer)
		p.rng = rand.New(rand.NewPCG(seed, 1))
		for _, one := range p.placers {
			one.cfg.CacheRetention = retention
		}
		p.run()
		for _, e := range p.engines {
			tokens += e.readAgain
		}
		firsts, worth = append(firsts, p.firsts...), worth+p.worth()/seeds
	}
	slices.Sort(firsts)
	return tokens, firsts[len(firsts)*99/100], worth
}

// TestReplayShortCache guards against choices that count on parts which engines have evicted: with the retention of
// caches fewer tokens are read again, at no number of subjects more, and the 99th percentile of the first chunk is not later
// than without it.
func TestReplayShortCache(t *testing.T) {
	var sumOn, sumOff int64
	for _, subjects := range []int{60, 200, 400} {
		site := shortCacheSite(6, subjects, 300_000)
		on, onFirst, onWorth := readOver(t, site, RetainAlways)
		off, offFirst, offWorth := readOver(t, site, RetainNever)
		t.Logf("%d subjects: %d tokens read, first chunk %v, worth %.3f; without retention %d, %v, %.3f", subjects, on, onFirst, onWorth, off, offFirst, offWorth)
		if on > off || onFirst > offFirst {
			t.Errorf("%d subjects: %d tokens read and a first chunk after %v, without retention %d and %v", subjects, on, onFirst, off, offFirst)
		}
		sumOn, sumOff = sumOn+on, sumOff+off
	}
	if sumOn >= sumOff {
		t.Errorf("%d tokens read, without retention %d", sumOn, sumOff)
	}
}
