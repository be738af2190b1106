package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestResume cuts streams of random engines at random positions: the caller must receive every piece exactly once.
func TestResume(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		failAt := rapid.SliceOfN(rapid.IntRange(0, 30), 3, 3).Draw(rt, "failAt")
		frozen := rapid.IntRange(-1, 2).Draw(rt, "frozen")
		tokens := rapid.IntRange(1, 40).Draw(rt, "tokens")
		ignoring := rapid.IntRange(-1, 2).Draw(rt, "ignoring")
		var failure string
		synctest.Test(t, func(*testing.T) {
			engines := fleet(3, 8, 0)
			for i, g := range engines["lahore"] {
				g.failAt, g.stalled, g.ignoresResume = failAt[i], i == frozen, i == ignoring
			}
			w := newWorld(mustInventory(contents()), 1, engines, 1, expected)
			r := request("r", tokens, "plan", time.Minute)
			c, err := run(w.entry("lahore"), r)
			generated, wrong := 0, 0
			for _, list := range engines {
				for _, g := range list {
					generated, wrong = generated+g.generated, wrong+g.wrongResumes
				}
			}
			switch {
			case err != nil:
				failure = err.Error()
			case c.text.String() != wholeText(r):
				failure = "received " + c.text.String()
			case wrong > 0 || ignoring < 0 && generated != tokens:
				failure = fmt.Sprintf("%d wrong resumes, %d pieces generated of %d", wrong, generated, tokens)
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// TestResumeAfterUnreached breaks a stream in a region that has lost most of its engines: the engines that refuse
// connections must not count as attempts when the next engine breaks the stream again.
func TestResumeAfterUnreached(t *testing.T) {
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			engines := map[string][]*fakeEngine{"lahore": fleet(8, 8, 0)["lahore"]}
			for i, g := range engines["lahore"] {
				if i < 2 {
					g.failAt = 10
				} else if i < 7 {
					g.dead.Store(true)
				}
			}
			w := newWorld(mustInventory(contents()), seed, engines, 1, expected)
			r := request("r", 40, "plan", time.Minute)
			c, err := run(w.entry("lahore"), r)
			if err != nil || c.text.String() != wholeText(r) {
				t.Errorf("seed %d: %v, received %q", seed, err, c.text.String())
			}
		})
	}
}

// killEngineDuringStreams opens streams at two engines of one region, kills the first engine while its answers are in
// progress, and returns the number of complete answers and the dispatcher's counters.
func killEngineDuringStreams(t *testing.T, slots, streams int, class string, patience time.Duration, learned int) (whole int, counts Counts) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engines := map[string][]*fakeEngine{"lahore": fleet(2, slots, 0)["lahore"]}
		w := newWorld(mustInventory(contents()), 1, engines, 1, expected)
		ctx, cancel := context.WithCancel(t.Context())
		go w.publishEvery(ctx, 500*time.Millisecond)
		for i := range min(learned, 30) {
			if _, err := run(w.entry("lahore"), request(fmt.Sprint("learn", i), learned, class, time.Minute)); err != nil {
				t.Fatal(err)
			}
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() {
				r := request(fmt.Sprint("s", i), 200, class, patience)
				c, err := run(w.entry("lahore"), r)
				mu.Lock()
				defer mu.Unlock()
				if err == nil && c.text.String() == wholeText(r) {
					whole++
				}
			})
		}
		time.Sleep(2 * time.Second)
		killed := engines["lahore"][0]
		killed.mu.Lock()
		killed.dead.Store(true)
		killed.mu.Unlock()
		wg.Wait()
		cancel()
		counts = w.entry("lahore").Counts()
	})
	return whole, counts
}

// TestEngineKilledUnderStreams kills an engine under 60 streams with answers in progress. All must be answered
// completely although retries are limited to a tenth, also if the other engine has capacity for only a part of them,
// and if a new request would be refused at once because its whole answer could not be met.
func TestEngineKilledUnderStreams(t *testing.T) {
	tests := []struct {
		name     string
		slots    int
		class    string
		patience time.Duration
		// learned is the number of tokens that earlier answers used.
		learned int
	}{
		{"room for all", 64, "plan", time.Minute, 0},
		{"room for a part", 32, "plan", time.Minute, 0},
		{"too late for a new request", 32, "dish", 15 * time.Second, 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const streams = 60
			whole, counts := killEngineDuringStreams(t, tt.slots, streams, tt.class, tt.patience, tt.learned)
			if whole != streams {
				t.Errorf("%d of %d streams were answered whole", whole, streams)
			}
			t.Logf("%d of %d whole, counts %+v", whole, streams, counts)
		})
	}
}
