package standin

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestPoolBound runs requests that use more or less than they reserve: the KV tokens held never exceed the pool, the
// preempted request is the last by priority and arrival, and every request finishes.
func TestPoolBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 100
		b := newBatch(4, capacity)
		left := map[*batchRequest]int{}
		var all []*batchRequest
		enter := func() {
			prompt := rapid.IntRange(1, 50).Draw(t, "prompt")
			w := b.submit(rapid.IntRange(0, 1).Draw(t, "priority"), prompt, rapid.IntRange(0, 80).Draw(t, "reserve"))
			left[w] = rapid.IntRange(1, 50).Draw(t, "answer")
			all = append(all, w)
		}
		step := func(w *batchRequest) {
			last := w
			for _, other := range b.running {
				if last.before(other) {
					last = other
				}
			}
			before := b.meter.use.Preempted
			if b.grow(w) {
				left[w]--
			}
			if b.meter.use.Preempted > before && last.index < 0 {
				t.Fatal("the preempted request is not the last one")
			}
			if left[w] == 0 {
				b.remove(w)
				delete(left, w)
			}
		}
		for steps := 0; steps < 20 || len(left) > 0; steps++ {
			if steps > 10_000 {
				t.Fatalf("%d requests have not finished", len(left))
			}
			if steps < 20 {
				enter()
			}
			for _, w := range all {
				if _, ok := left[w]; ok && w.index < 0 {
					step(w)
				}
				checkPool(t, b)
			}
		}
		if b.pool.held != 0 || b.pool.used != 0 || len(b.running) != 0 || b.waitingTokens != 0 {
			t.Fatalf("held %d, used %d, %d run at the end", b.pool.held, b.pool.used, len(b.running))
		}
	})
}

func checkPool(t *rapid.T, b *batch) {
	held, used := 0, 0
	for _, w := range b.running {
		held += w.held
		used += w.used
		if w.used > w.held {
			t.Fatalf("a request uses %d of the %d that it holds", w.used, w.held)
		}
	}
	if held != b.pool.held || used != b.pool.used || held > b.pool.capacity || len(b.running) > b.slots {
		t.Fatalf("held %d (counted %d), used %d (counted %d) of %d by %d", held, b.pool.held, used, b.pool.used,
			b.pool.capacity, len(b.running))
	}
}

// TestPoolServes sends requests that reserve too little for their answers: each gets its complete answer, some are
// preempted, and the pool is not exceeded. Requests that reserve all that they may use are not preempted, and fewer run
// at once.
func TestPoolServes(t *testing.T) {
	tests := []struct {
		name      string
		reserve   string
		preempted bool
	}{
		{"reserving too little", `,"reserveTokens":1`, true},
		{"reserving what is asked", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := NewEngine(EngineConfig{Slots: 8, CacheTokens: 240, TokenTime: time.Millisecond, PrefillTime: time.Millisecond,
					Models: []string{"m"}}, nil)
				handler := e.Handler()
				var wg sync.WaitGroup
				for i := range 16 {
					prompt := strings.Repeat(string(rune('a'+i)), 40)
					wg.Go(func() {
						body := `{"model":"m","prompt":"` + prompt + `","max_tokens":100` + tt.reserve + `}`
						w := httptest.NewRecorder()
						handler.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), "POST", "/v1/completions",
							strings.NewReader(body)))
						if want := Answer("m", prompt, 100); !strings.Contains(w.Body.String(), want) {
							t.Errorf("the answer %s lacks %q", w.Body, want)
						}
					})
				}
				wg.Wait()
				use := e.Use()
				if use.MostTokens > 240 || (use.Preempted > 0) != tt.preempted || use.Held > use.Up || use.Held <= 0 {
					t.Errorf("use %+v", use)
				}
				if load := e.load(); load.GetRunning() != 0 || load.GetCacheUse() != 0 {
					t.Errorf("load %v after all have ended", load)
				}
			})
		})
	}
}
