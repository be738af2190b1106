package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestUsageEstimator(t *testing.T) {
	k := UsageKey{Team: "lahore-club", Class: "plan", Model: "dastarkhwan-menu"}
	u := NewUsageEstimator()
	if got := u.Quantile(k, 0.9, 1024); got != 1024 {
		t.Errorf("%d tokens reserved without samples", got)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		u.Record(k, 50+rng.IntN(100))
	}
	tests := []struct {
		name     string
		key      UsageKey
		asked    int
		low, top int
	}{
		{"learned", k, 1024, 130, 152},
		{"never more than asked", k, 60, 60, 60},
		{"another team of the class", UsageKey{Team: "karachi-club", Class: "plan", Model: "dastarkhwan-menu"}, 1024, 130, 152},
		{"another model", UsageKey{Team: "lahore-club", Class: "plan", Model: "dish-check"}, 1024, 1024, 1024},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := u.Quantile(tt.key, 0.9, tt.asked); got < tt.low || got > tt.top {
				t.Errorf("%d tokens, want %d to %d", got, tt.low, tt.top)
			}
		})
	}
	for range 3000 {
		u.Record(k, 400)
	}
	if got := u.Quantile(k, 0.1, 1024); got < 380 {
		t.Errorf("the first decile is %d after the use has changed to 400", got)
	}
}

// TestPool checks that reservations never exceed the capacity and are released exactly once.
func TestPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 2000).Draw(t, "capacity")
		p := &Pool{}
		p.SetCapacity(capacity)
		var open, released []*Reservation
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if r, ok := p.Reserve(rapid.IntRange(1, 500).Draw(t, "tokens")); ok {
					open = append(open, r)
				}
			case 1:
				if len(open) > 0 {
					open[rapid.IntRange(0, len(open)-1).Draw(t, "of")].Use(rapid.IntRange(0, 1500).Draw(t, "used"))
				}
			case 2:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "of")
					if !open[i].Release() {
						t.Fatal("a reservation could not be released")
					}
					released = append(released, open[i])
					open = append(open[:i], open[i+1:]...)
				}
			case 3:
				for _, r := range released {
					r.Use(2000)
					if r.Release() {
						t.Fatal("a reservation was released twice")
					}
				}
			}
			held := 0
			for _, r := range open {
				held += r.Tokens()
			}
			if p.Reserved() != held || held > capacity {
				t.Fatalf("%d tokens are reserved, %d held, of %d", p.Reserved(), held, capacity)
			}
		}
		for _, r := range open {
			r.Release()
		}
		if p.Reserved() != 0 || p.Overrun() != 0 {
			t.Fatalf("%d tokens reserved and %d overrun when all is released", p.Reserved(), p.Overrun())
		}
	})
}

func waiting(team string, priority int, tokens int, weight float64) *Waiting[int] {
	return &Waiting[int]{Team: team, Priority: priority, Weight: weight, Tokens: tokens, Since: start, LatestStart: start.Add(time.Hour)}
}

// TestFairShares checks that two teams with waiting requests are served in proportion to their weights, up to the work
// of one request of each.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 100
		q := NewQueue[int]()
		weights := map[string]float64{
			"lahore-club":  float64(rapid.IntRange(1, 8).Draw(t, "weight")),
			"karachi-club": float64(rapid.IntRange(1, 8).Draw(t, "weight")),
		}
		push := func(team string) {
			q.Push(waiting(team, 2, rapid.IntRange(1, largest).Draw(t, "tokens"), weights[team]))
		}
		for range rapid.IntRange(2, 30).Draw(t, "ahead") {
			push("lahore-club")
			push("karachi-club")
		}
		served := map[string]float64{}
		for range 100 {
			w, ok := q.Next(start, true)
			if !ok || !q.Remove(w, true) {
				t.Fatal("nothing starts though requests wait")
			}
			served[w.Team] += float64(w.Tokens) / w.Weight
			push(w.Team)
			bound := largest/weights["lahore-club"] + largest/weights["karachi-club"]
			if d := served["lahore-club"] - served["karachi-club"]; d > bound || d < -bound {
				t.Fatalf("service by weight differs by %v, more than %v", d, bound)
			}
		}
	})
}

// TestNoStarvation checks that a request of the lowest class starts in time while requests of higher classes keep
// arriving.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int]()
		patience := time.Duration(rapid.IntRange(20, 400).Draw(t, "patience")) * time.Second
		low := &Waiting[int]{
			Team: "lahore-club", Priority: 3, Weight: 1, Tokens: 50, Since: start, LatestStart: start.Add(patience),
			Deferrable: rapid.Bool().Draw(t, "deferrable"),
		}
		q.Push(low)
		for now := start; now.Before(low.LatestStart); now = now.Add(time.Second) {
			for range rapid.IntRange(1, 2).Draw(t, "higher") {
				w := waiting("karachi-club", rapid.IntRange(0, 2).Draw(t, "priority"), 10, 1)
				w.Since, w.LatestStart = now, now.Add(time.Hour)
				q.Push(w)
			}
			w, ok := q.Next(now, false)
			if !ok {
				t.Fatal("nothing starts")
			}
			q.Remove(w, true)
			if w == low {
				return
			}
		}
		t.Fatal("the request of the lowest class did not start in time")
	})
}

// TestQueueTokens checks the number of tokens ahead against a plain sum.
func TestQueueTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int]()
		var open []*Waiting[int]
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "gone") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "of")
				if !q.Remove(open[i], rapid.Bool().Draw(t, "starts")) || q.Remove(open[i], false) {
					t.Fatal("a request was not removed exactly once")
				}
				open = append(open[:i], open[i+1:]...)
			} else {
				w := waiting(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), rapid.IntRange(0, 3).Draw(t, "priority"), rapid.IntRange(1, 50).Draw(t, "tokens"), 1)
				q.Push(w)
				open = append(open, w)
			}
			for priority := range 4 {
				want := 0
				for _, w := range open {
					if w.Priority <= priority {
						want += w.Tokens
					}
				}
				if got := q.Ahead(priority); got != want {
					t.Fatalf("%d tokens ahead of priority %d, want %d", got, priority, want)
				}
			}
			if q.Len() != len(open) {
				t.Fatalf("queue length %d, want %d", q.Len(), len(open))
			}
		}
	})
}

func TestDeferrableNeedsSpareCapacity(t *testing.T) {
	q := NewQueue[int]()
	deferrable := waiting("lahore-club", 3, 10, 1)
	deferrable.Deferrable = true
	q.Push(deferrable)
	if _, ok := q.Next(start, false); ok {
		t.Error("a deferrable request starts without spare capacity")
	}
	if w, ok := q.Next(start, true); !ok || w != deferrable {
		t.Error("a deferrable request does not start with spare capacity")
	}
	if _, ok := q.Next(start.Add(50*time.Minute), false); !ok {
		t.Error("a deferrable request near the end of its patience does not start")
	}
}

func TestDecide(t *testing.T) {
	deadline := start.Add(10 * time.Second)
	if v := Decide(start, deadline, Estimate{Wait: 5 * time.Second, Decode: 5 * time.Second}); !v.Queue {
		t.Error("a request that can be met is refused")
	}
	v := Decide(start, deadline, Estimate{Wait: 9 * time.Second, Decode: 4 * time.Second})
	if v.Queue || v.RetryAfter != 3*time.Second {
		t.Errorf("a request that cannot be met: queue %v, retry after %v", v.Queue, v.RetryAfter)
	}
}

func TestRefusalAudit(t *testing.T) {
	a := &RefusalAudit{}
	a.Refused(100, 50, start.Add(time.Minute))
	a.Refused(100, 50, start.Add(time.Second))
	a.Refused(100, 50, start.Add(time.Minute))
	a.Started(start.Add(2*time.Second), 100)
	if all, wrong := a.Refusals(); all != 3 || wrong != 0 {
		t.Errorf("%d of %d refusals are wrong", wrong, all)
	}
	a.Started(start.Add(3*time.Second), 1)
	if _, wrong := a.Refusals(); wrong != 1 {
		t.Errorf("%d refusals are wrong, want 1", wrong)
	}
}

func BenchmarkDecision(b *testing.B) {
	u := NewUsageEstimator()
	k := UsageKey{Team: "lahore-club", Class: "plan", Model: "dastarkhwan-menu"}
	for range 100 {
		u.Record(k, 100)
	}
	q := NewQueue[int]()
	for range 1000 {
		q.Push(waiting("karachi-club", 1, 10, 1))
	}
	b.ReportAllocs()
	for b.Loop() {
		tokens := u.Quantile(k, 0.9, 1024)
		wait := time.Duration(q.Ahead(2)+tokens) * time.Millisecond
		Decide(start, start.Add(time.Minute), Estimate{Wait: wait})
	}
}
