package standin

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestBatch checks that running requests never exceed the slots, and that the queue is served by priority, then by
// arrival.
func TestBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		b := newBatch(slots, 0)
		var waiting, running []*batchRequest
		first := func() *batchRequest {
			best := waiting[0]
			for _, w := range waiting[1:] {
				if w.priority < best.priority {
					best = w
				}
			}
			return best
		}
		removeWaiting := func(w *batchRequest) {
			for i := range waiting {
				if waiting[i] == w {
					waiting = append(waiting[:i:i], waiting[i+1:]...)
					break
				}
			}
		}
		admit := func() {
			for len(running) < slots && len(waiting) > 0 {
				w := first()
				removeWaiting(w)
				running = append(running, w)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"submit", "cancel", "finish"}).Draw(t, "step") {
			case "submit":
				waiting = append(waiting, b.submit(rapid.IntRange(0, 2).Draw(t, "priority"), 1, 0))
			case "cancel":
				if len(waiting) > 0 {
					w := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "waiter")]
					removeWaiting(w)
					b.remove(w)
				}
			case "finish":
				if len(running) > 0 {
					b.remove(running[0])
					running = running[1:]
				}
			}
			admit()
			for _, w := range running {
				select {
				case <-w.admitted:
				default:
					t.Fatal("a request that should run is queued")
				}
			}
			gotRunning, gotQueued, gotTokens := b.load()
			if gotRunning != len(running) || gotQueued != len(waiting) || gotTokens != len(waiting) {
				t.Fatalf("running %d, queued %d, tokens %d; want %d and %d", gotRunning, gotQueued, gotTokens, len(running),
					len(waiting))
			}
		}
	})
}

func TestAcquireCancelled(t *testing.T) {
	b := newBatch(1, 0)
	b.submit(0, 1, 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if b.acquire(ctx, 0, 1, 0) != nil {
		t.Error("a cancelled request got a slot")
	}
	if running, queued, _ := b.load(); running != 1 || queued != 0 {
		t.Errorf("running %d, queued %d", running, queued)
	}
}

func TestCache(t *testing.T) {
	now := time.Unix(1000, 0)
	long := strings.Repeat("a", 512) + strings.Repeat("b", 256)
	tests := []struct {
		name     string
		capacity int
		prompts  []string
		want     []int
	}{
		{"a repeated prompt is cached", 8, []string{long, long}, []int{0, 192}},
		{"a shared prefix is cached", 8, []string{long, long[:512] + strings.Repeat("c", 256)}, []int{0, 128}},
		{"a small cache evicts the oldest blocks", 2, []string{long, long}, []int{0, 0}},
		{"a cache without capacity stores nothing", 0, []string{long, long}, []int{0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCache(tt.capacity, 0, 0, rand.New(rand.NewPCG(1, 1)))
			var got []int
			for _, prompt := range tt.prompts {
				got = append(got, c.lookupAndStore(now, prompt))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestCacheEvents checks that events are announced only after the delay, and that lost ones leave a gap in the
// sequence.
func TestCacheEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, gap := range []float64{0, 1} {
		c := newCache(8, time.Second, gap, rand.New(rand.NewPCG(1, 1)))
		c.lookupAndStore(now, strings.Repeat("a", 512))
		if events, sequence := c.takeDueEvents(now); len(events) != 0 || sequence != 1 {
			t.Errorf("gap %v: %d events from %d before they are due", gap, len(events), sequence)
		}
		events, sequence := c.takeDueEvents(now.Add(time.Second))
		if gap == 0 && (len(events) != 2 || sequence != 1) {
			t.Errorf("%d events from %d", len(events), sequence)
		}
		if gap == 1 && (len(events) != 0 || sequence != 3) {
			t.Errorf("%d events from %d after a loss", len(events), sequence)
		}
	}
}
