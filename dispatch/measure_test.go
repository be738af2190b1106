package dispatch

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusreel/inventory"
	"arbutusreel/routing"
)

// The tests of this file run whole dispatchers of three regions over in-process engines, in virtual time, and log
// tables; docs/measures/routing.md holds them. One seed serves every row of a table.
const measureSeed = 1

// sweep measures the whole tables instead of only the rows that the checks rest on.
var sweep = flag.Bool("sweep", false, "measure whole tables")

// rows returns all rows if whole tables are measured, and otherwise those that the checks rest on.
func rows[T any](all, deciding []T) []T {
	if *sweep {
		return all
	}
	return deciding
}

// demand is the request load of one region.
type demand struct {
	region string
	// perSecond returns the arrival rate at a time after the start.
	perSecond func(time.Duration) float64
	make      func(rng *rand.Rand, id string) Request
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// sample is one request as its caller observed it.
type sample struct {
	region string
	at     time.Duration
	end    time.Duration
	first  time.Duration
	tokens int
	err    error
}

// results are the samples of a run and the counters of its dispatchers.
type results struct {
	mu      sync.Mutex
	samples []sample
	counts  Counts
}

// offerLoad sends the demands for a duration and returns when each request has ended.
func offerLoad(w *world, seed uint64, duration time.Duration, demands []demand) *results {
	res := &results{}
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	go w.publishEvery(ctx, 500*time.Millisecond)
	var wg sync.WaitGroup
	for i, d := range demands {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
		wg.Go(func() {
			for n := 0; time.Since(began) < duration; n++ {
				time.Sleep(time.Duration(rng.ExpFloat64() / d.perSecond(time.Since(began)) * float64(time.Second)))
				r := d.make(rng, fmt.Sprintf("%s-%d", d.region, n))
				wg.Go(func() { res.send(w, d.region, began, r) })
			}
		})
	}
	wg.Wait()
	cancel()
	synctest.Wait()
	for _, r := range w.regions {
		for _, d := range r.dispatchers {
			res.add(d.Counts())
		}
	}
	return res
}

func (res *results) send(w *world, region string, began time.Time, r Request) {
	at := time.Now()
	c, err := run(w.entry(region), r)
	res.mu.Lock()
	defer res.mu.Unlock()
	res.samples = append(res.samples, sample{region: region, at: at.Sub(began), end: time.Since(began), first: c.first.Sub(at), tokens: c.n, err: err})
}

func (res *results) add(c Counts) {
	res.counts.SentAway += c.SentAway
	res.counts.Refused += c.Refused
	res.counts.WrongRefusals += c.WrongRefusals
	res.counts.Retries += c.Retries
	res.counts.AskedTokens += c.AskedTokens
	res.counts.ReservedTokens += c.ReservedTokens
	res.counts.UsedTokens += c.UsedTokens
}

// served returns the share of the requests that were answered completely, and so within their patience, and their
// tokens.
func (res *results) served() (share float64, tokens int) {
	n := 0
	for _, s := range res.samples {
		if s.err == nil {
			n++
			tokens += s.tokens
		}
	}
	return float64(n) / float64(len(res.samples)), tokens
}

// rate returns the number of requests answered per second in the span.
func (res *results) rate(from, to time.Duration) float64 {
	n := 0
	for _, s := range res.samples {
		if s.err == nil && s.end >= from && s.end < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// first returns a quantile of the time to the first token of the answered requests that arrived in the region in the
// span.
func (res *results) first(region string, q float64, from, to time.Duration) time.Duration {
	var list []time.Duration
	for _, s := range res.samples {
		if s.err == nil && s.region == region && s.at >= from && s.at < to {
			list = append(list, s.first)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// mixedClassRequest returns a request of a random class with an answer of bounded log-normal length.
func mixedClassRequest(rng *rand.Rand, id string) Request {
	used := min(max(int(math.Exp(5+0.6*rng.NormFloat64())), 5), 2048)
	class, patience := "plan", time.Minute
	switch rng.IntN(10) {
	case 0, 1, 2:
		class, patience = "dish", 15*time.Second
	case 3:
		class, patience = "notice", time.Hour
	}
	if class == "dish" {
		used = min(used, 200)
	}
	r := request(id, used, class, patience)
	r.PromptTokens, r.MaxTokens = 300, 2048
	return r
}

// TestMeasureReservationCost finds how many engines of 8192 cache tokens serve 99% of the requests of one load within
// their patience if a request reserves what it asks for, and if it reserves the learned quantile. The cost of a fleet
// is proportional to the number of its engines.
func TestMeasureReservationCost(t *testing.T) {
	const rate, duration = 4.0, 2 * time.Minute
	const most = 15
	needed := map[float64]int{0: most + 1, 0.9: most + 1}
	for _, quantile := range []float64{0, 0.9} {
		for _, n := range rows([]int{3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}, []int{7, 9, 11}) {
			if needed[quantile] < n {
				break
			}
			synctest.Test(t, func(t *testing.T) {
				c := contents()
				c.Rules.ReservationQuantile = quantile
				engines := map[string][]*fakeEngine{}
				for i := range n {
					region := regionNames[i%len(regionNames)]
					engines[region] = append(engines[region], newFakeEngine(fmt.Sprintf("engine-%d", i), region, 32, 8192))
				}
				w := newWorld(mustInventory(c), measureSeed, engines, 2, expected)
				var demands []demand
				for _, region := range regionNames {
					demands = append(demands, demand{region: region, perSecond: steady(rate), make: mixedClassRequest})
				}
				res := offerLoad(w, measureSeed, duration, demands)
				share, tokens := res.served()
				if share >= 0.99 {
					needed[quantile] = n
				}
				t.Logf("quantile %.1f, %2d engines: %d requests, served %.2f%%, %d tokens, reserved %.1f%% of asked, used %.1f%%, refused %d (wrongly %d), sent away %d",
					quantile, n, len(res.samples), 100*share, tokens, 100-100*res.counts.SavedShare(),
					100*float64(res.counts.UsedTokens)/float64(res.counts.AskedTokens), res.counts.Refused, res.counts.WrongRefusals, res.counts.SentAway)
			})
		}
	}
	t.Logf("engines for 99%%, of those tried (%d is none): %d if all that is asked is reserved, %d by learned use", most+1, needed[0], needed[0.9])
	if float64(needed[0.9]) > 0.8*float64(needed[0]) {
		t.Errorf("the fleet by learned use is not 20%% cheaper: %v", needed)
	}
}

const familyPartners = 24

// familyRequest returns a request whose prompt begins with the prefix of one of the partners.
func familyRequest(rng *rand.Rand, id string) Request {
	r := request(id, 40+rng.IntN(120), "dish", 15*time.Second)
	partner := rng.IntN(familyPartners)
	for block := range 24 {
		r.Prefixes = append(r.Prefixes, uint64(partner*1000+block+1))
	}
	for range 3 {
		r.Prefixes = append(r.Prefixes, rng.Uint64())
	}
	r.PromptTokens = len(r.Prefixes) * routing.BlockTokens
	return r
}

func tamarindContents() inventory.Contents {
	c := contents()
	c.Rules.Objective = inventory.Objective{Cost: 0.2, Latency: 1, Away: 0.3}
	return c
}

type policyRow struct {
	name    string
	chooser func(rand.Source) Chooser
}

func policies() []policyRow {
	return []policyRow{
		{"random", func(s rand.Source) Chooser { return routing.New(routing.Random{}, time.Now(), s) }},
		{"least outstanding", func(s rand.Source) Chooser { return routing.New(routing.LeastOutstanding{}, time.Now(), s) }},
		{"expected", expected},
	}
}

// TestMeasureTamarindFirstToken compares the policies at the peak load of one region.
func TestMeasureTamarindFirstToken(t *testing.T) {
	p99 := map[string]time.Duration{}
	for _, row := range policies() {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(mustInventory(tamarindContents()), measureSeed, fleet(6, 8, 0), 3, row.chooser)
			for _, r := range w.regions {
				for _, g := range r.engines {
					g.cacheBlocks = 200
				}
			}
			res := offerLoad(w, measureSeed, 5*time.Minute, []demand{
				{"lahore", steady(12), familyRequest},
				{"karachi", steady(3), familyRequest},
				{"peshawar", steady(3), familyRequest},
			})
			share, _ := res.served()
			p99[row.name] = res.first("lahore", 0.99, 0, time.Hour)
			t.Logf("%-18s first token p50 %v p99 %v, served %.2f%% of %d, sent away %.2f%%", row.name,
				res.first("lahore", 0.5, 0, time.Hour).Round(time.Millisecond), p99[row.name].Round(time.Millisecond),
				100*share, len(res.samples), 100*float64(res.counts.SentAway)/float64(len(res.samples)))
		})
	}
	if float64(p99["expected"]) > 0.7*float64(p99["least outstanding"]) {
		t.Errorf("p99 to the first token is not 30%% under least outstanding: %v", p99)
	}
}

// TestMeasureSentAway compares the share of the requests that is forwarded with the least share that the capacity of
// the region forces.
func TestMeasureSentAway(t *testing.T) {
	load := func(rate float64, alone bool) (res *results) {
		synctest.Test(t, func(*testing.T) {
			c := tamarindContents()
			if alone {
				c.Services[0].AllowedRegions = []string{"lahore"}
			}
			w := newWorld(mustInventory(c), measureSeed, fleet(6, 8, 0), 3, expected)
			res = offerLoad(w, measureSeed, 5*time.Minute, []demand{{"lahore", steady(rate), familyRequest}})
		})
		return res
	}
	for _, rate := range rows([]float64{8, 12, 16, 20, 24}, []float64{16}) {
		alone := load(rate, true)
		capacity := alone.rate(time.Minute, 5*time.Minute)
		least := max(1-capacity/rate, 0)
		res := load(rate, false)
		away := float64(res.counts.SentAway) / float64(len(res.samples))
		all, _ := res.served()
		t.Logf("%.0f requests a second: alone %.2f are answered a second, so that %.2f%% must leave; sent away %.2f%%, served %.2f%%, first token p99 %v; refusals alone %d, wrongly %d",
			rate, capacity, 100*least, 100*away, 100*all, res.first("lahore", 0.99, 0, time.Hour).Round(time.Millisecond), alone.counts.Refused, alone.counts.WrongRefusals)
		if away > least+0.02 {
			t.Errorf("%.2f%% are sent away, more than the least and 2 points", 100*away)
		}
	}
}

// setDead kills the region's engines, or restarts them with cold caches.
func (r *fakeRegion) setDead(dead bool) {
	for _, g := range r.engines {
		g.mu.Lock()
		g.dead.Store(dead)
		if !dead {
			g.endpoint.Incarnation++
			g.cached, g.events = nil, nil
		}
		g.mu.Unlock()
	}
}

func (w *world) setLost(r *fakeRegion, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.lost = lost
	if lost {
		r.reported = nil
	}
}

// TestMeasureRegionLost kills a region's engines for a minute; their leases expire two seconds later.
func TestMeasureRegionLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(mustInventory(tamarindContents()), measureSeed, fleet(6, 8, 0), 3, expected)
		lahore := w.region("lahore")
		go func() {
			time.Sleep(time.Minute)
			lahore.setDead(true)
			time.Sleep(2 * time.Second)
			w.setLost(lahore, true)
			time.Sleep(58 * time.Second)
			lahore.setDead(false)
			w.setLost(lahore, false)
		}()
		res := offerLoad(w, measureSeed, 3*time.Minute, []demand{
			{"lahore", steady(7), familyRequest},
			{"karachi", steady(4), familyRequest},
			{"peshawar", steady(4), familyRequest},
		})
		share, _ := res.served()
		for _, span := range []struct {
			name     string
			from, to time.Duration
		}{{"before", 0, time.Minute}, {"lost", time.Minute, 2 * time.Minute}, {"10 s after the return", 2 * time.Minute, 130 * time.Second}, {"later", 130 * time.Second, time.Hour}} {
			t.Logf("%-22s first token p50 %v p99 %v", span.name, res.first("lahore", 0.5, span.from, span.to).Round(time.Millisecond), res.first("lahore", 0.99, span.from, span.to).Round(time.Millisecond))
		}
		t.Logf("served %.2f%% of %d, retries %d, refused %d, sent away %d", 100*share, len(res.samples), res.counts.Retries, res.counts.Refused, res.counts.SentAway)
		if share < 0.99 {
			t.Errorf("%.2f%% were served", 100*share)
		}
	})
}
