package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func candidates(n int) []Candidate {
	var all []Candidate
	for i := range n {
		all = append(all, Candidate{ID: fmt.Sprintf("engine-%d", i), Health: NewHealth(), Slots: 128, Memory: 500_000})
	}
	return all
}

func sharedPrefixWork(partID string) Work {
	return Work{
		Parts:        []Part{{ID: "system", Tokens: 512}, {ID: partID, Tokens: 4870}, {ID: "own", Tokens: 6610}},
		PromptTokens: 11_992, OutputTokens: 384,
	}
}

// TestPrefixAffinity checks that requests with the same shared part go to the same engine while the engines are idle,
// also through gateways that share no state.
func TestPrefixAffinity(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for prefix := range 50 {
		w := sharedPrefixWork(fmt.Sprintf("subject-%d", prefix))
		first, ok := Choose(candidates(5), w, NewSpeed(), 0, time.Second, rng.Float64())
		if !ok || !first.Preferred {
			t.Fatalf("subject %d: %+v", prefix, first)
		}
		for range 10 {
			if again, _ := Choose(candidates(5), w, NewSpeed(), 0, time.Second, rng.Float64()); again.Index != first.Index {
				t.Fatalf("subject %d went to %d and to %d", prefix, first.Index, again.Index)
			}
		}
	}
}

// TestPrefixAffinityUnderBacklog adds a backlog at the preferred engine of a shared part: with a short one requests
// still go there, with a long one they go elsewhere.
func TestPrefixAffinityUnderBacklog(t *testing.T) {
	w := sharedPrefixWork("subject")
	preferred, _ := Choose(candidates(5), w, NewSpeed(), 0, time.Second, 0)
	for _, c := range []struct {
		backlog int64
		stays   bool
	}{{2_000, true}, {10_000, true}, {60_000, false}} {
		all := candidates(5)
		all[preferred.Index].Outstanding = Outstanding{Requests: 5, Waiting: Backlog{5}, PromptTokens: Backlog{c.backlog}}
		got, _ := Choose(all, w, NewSpeed(), 0, time.Second, 0)
		if (got.Index == preferred.Index) != c.stays {
			t.Errorf("backlog %d: engine %d, preferred %d", c.backlog, got.Index, preferred.Index)
		}
	}
}

// TestFetchFromPreferred adds a long backlog at the preferred engine of a shared part: the engine that serves the
// request fetches the parts from there, unless the preferred one is failing or slow.
func TestFetchFromPreferred(t *testing.T) {
	const fetch = 255 * time.Nanosecond
	w := sharedPrefixWork("subject")
	preferred, _ := Choose(candidates(5), w, NewSpeed(), fetch, time.Second, 0)
	if preferred.FetchFrom >= 0 || !preferred.Preferred {
		t.Fatalf("idle: %+v", preferred)
	}
	for name, c := range map[string]struct {
		health  Health
		fetches bool
	}{"sound": {NewHealth(), true}, "failing": {Health{Factor: 1, FailureRate: 0.5}, false}, "slow": {Health{Factor: 6}, false}} {
		all := candidates(5)
		all[preferred.Index].Outstanding = Outstanding{Requests: 5, Waiting: Backlog{5}, PromptTokens: Backlog{60_000}}
		all[preferred.Index].Health = c.health
		got, _ := Choose(all, w, NewSpeed(), fetch, time.Second, 0)
		want := Choice{UncachedTokens: w.PromptTokens, FetchFrom: -1}
		if c.fetches {
			want = Choice{UncachedTokens: 6610, FetchFrom: preferred.Index}
		}
		if got.Index == preferred.Index || got.FetchFrom != want.FetchFrom || got.UncachedTokens != want.UncachedTokens {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// TestOwnDomain checks that requests stay in the gateway's failure domain until the backlog of its engines costs more
// than crossing to another one.
func TestOwnDomain(t *testing.T) {
	w := Work{PromptTokens: 700, OutputTokens: 300, Bytes: 4_000}
	for _, c := range []struct {
		backlog int64
		stays   bool
	}{{0, true}, {200, true}, {2_000, false}} {
		for i := range 20 {
			all := candidates(4)
			all[0].Remote, all[1].Remote = true, true
			for near := 2; near < 4; near++ {
				all[near].Outstanding.PromptTokens[0] = c.backlog
			}
			if got, _ := Choose(all, w, NewSpeed(), 0, time.Second, float64(i)/20); (got.Index >= 2) != c.stays {
				t.Fatalf("backlog %d: engine %d", c.backlog, got.Index)
			}
		}
	}
}

// TestSlowAndFailingEngines checks that requests avoid an engine that is slow, failing, full or busy.
func TestSlowAndFailingEngines(t *testing.T) {
	bad := map[string]func(*Candidate){
		"slow":        func(c *Candidate) { c.Health.Factor = 6 },
		"failing":     func(c *Candidate) { c.Health.FailureRate = 0.4 },
		"no slot":     func(c *Candidate) { c.Outstanding.Requests = 200 },
		"no memory":   func(c *Candidate) { c.Outstanding.HeldTokens = 499_000 },
		"busy":        func(c *Candidate) { c.Busy = 1 },
		"long queue":  func(c *Candidate) { c.Outstanding.PromptTokens[0] = 50_000 },
		"all at once": func(c *Candidate) { c.Health = Health{Factor: 3, FailureRate: 0.2}; c.Busy = 0.5 },
	}
	for name, degrade := range bad {
		t.Run(name, func(t *testing.T) {
			w := Work{PromptTokens: 700, OutputTokens: 300}
			for i := range 20 {
				all := candidates(4)
				degrade(&all[i%4])
				if got, ok := Choose(all, w, NewSpeed(), 0, time.Second, float64(i)/20); !ok || got.Index == i%4 {
					t.Fatalf("engine %d was chosen", got.Index)
				}
			}
		})
	}
}

// TestEqualEnginesShare sends many small requests to equal engines: the busiest receives at most 1.2 times the mean.
func TestEqualEnginesShare(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	const engines, requests = 8, 8000
	counts := make([]int, engines)
	for range requests {
		got, _ := Choose(candidates(engines), Work{PromptTokens: 100}, NewSpeed(), 0, time.Second, rng.Float64())
		counts[got.Index]++
	}
	for i, n := range counts {
		if n*engines > requests*6/5 {
			t.Errorf("engine %d got %d of %d", i, n, requests)
		}
	}
}

// TestAdmitBounds checks that no request is refused that is expected within half of its remaining objective, that none
// is admitted that is expected after its objective (on time) or after its caller has left (late), and that the time to
// retry is at most a third of the time left.
func TestAdmitBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int64) time.Duration {
			return time.Duration(rapid.Int64Range(0, most).Draw(t, name)) * time.Millisecond
		}
		a := TimeBudget{RouteObjective: ms("objective", 2000) + 1, Remaining: ms("left", 20_000)}
		a.Objective = a.RouteObjective - ms("spent", 1000)
		expected := ms("expected", 10_000)
		v := Admit(expected, expected, a)
		if v == Refuse && expected <= a.Objective/2 {
			t.Fatalf("refused although it would be on time: %v of %v", expected, a.Objective)
		}
		if v == Take && expected > a.Objective {
			t.Fatalf("taken as on time: %v of %v", expected, a.Objective)
		}
		if v == TakeLate && expected > a.Remaining {
			t.Fatalf("taken although its caller will have left: %v of %v", expected, a.Remaining)
		}
		retry := RetryAfter(expected, a, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
		if retry <= 0 || retry > max(a.Remaining/3, minRetryAfter) {
			t.Fatalf("retry after %v with %v left", retry, a.Remaining)
		}
	})
}

// waits returns the same wait for every rank.
func waits(d time.Duration) (w [Ranks]time.Duration) {
	for rank := range w {
		w[rank] = d
	}
	return w
}

// TestRanks queues low-priority requests at an engine: an urgent request does not wait for them, and one of the same
// rank does.
func TestRanks(t *testing.T) {
	c := candidates(1)[0]
	c.Outstanding = Outstanding{Requests: 8, Waiting: Backlog{2: 8}, PromptTokens: Backlog{2: 80_000}}
	urgent := EstimateWait(c, Work{Rank: 0}, 1000, NewSpeed()).Wait
	low := EstimateWait(c, Work{Rank: 2}, 1000, NewSpeed()).Wait
	if alone := EstimateWait(candidates(1)[0], Work{}, 1000, NewSpeed()).Wait; urgent != alone || low < 3*urgent {
		t.Errorf("urgent %v, low priority %v, alone %v", urgent, low, alone)
	}
}

// TestSlotsByRank fills the slots of an engine and queues low-priority requests: an urgent request waits only for the
// next slot, and one of the queued requests' rank waits for all of them.
func TestSlotsByRank(t *testing.T) {
	c := candidates(1)[0]
	s := NewSpeed()
	s.SlotTime = 3 * time.Second
	c.Outstanding = Outstanding{Requests: 160, Waiting: Backlog{2: 32}}
	urgent, low := EstimateWait(c, Work{Rank: 0}, 0, s), EstimateWait(c, Work{Rank: 2}, 0, s)
	if next := s.Base + s.SlotTime/128; urgent.Wait != next || low.Wait != s.Base+s.SlotTime*33/128 || !urgent.Full {
		t.Errorf("urgent %+v, want %v; low priority %+v", urgent, next, low)
	}
	c.Outstanding.Requests = 100
	if free := EstimateWait(c, Work{Rank: 2}, 0, s); free.Wait != s.Base || free.Full {
		t.Errorf("%+v with slots left", free)
	}
}

// TestOvertaken sends urgent requests that take half of the engines' slots and a quarter of their prefill time. A
// low-priority request waits twice as long for a slot and a third longer for prefill, and an urgent one no longer.
func TestOvertaken(t *testing.T) {
	const gateways, engines, slots, perSecond = 3, 2, 256, 100
	now := time.Unix(1000, 0)
	s := NewSpeed()
	s.SlotTime = 2 * time.Second
	tokens := int64(0.25 * engines / perSecond / gateways / s.PrefillTokenTime.Seconds())
	w := Work{OutputTokens: int64((0.5*slots*time.Second/perSecond/gateways - s.PrefillTokenTime*time.Duration(tokens)) / s.OutputTokenTime)}
	var d Demand
	for range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		d = d.With(now, 0, w, tokens, s)
	}
	o := d.Overtaking(now, gateways, engines, slots)
	if o.Slots[0] != 0 || o.Prefill[0] != 0 || math.Abs(o.Slots[2]-0.5) > 0.01 || math.Abs(o.Prefill[2]-0.25) > 0.01 {
		t.Fatalf("%+v", o)
	}
	c := candidates(1)[0]
	c.Outstanding = Outstanding{Requests: 150, Waiting: Backlog{0: 2, 2: 10}, PromptTokens: Backlog{2: 80_000}}
	for rank, want := range map[int]time.Duration{0: s.SlotTime * 13 / 128, 2: 2*s.SlotTime*23/128 + 80_000*s.PrefillTokenTime*4/3} {
		expected := EstimateWait(c, Work{Rank: rank}, 0, s.WithOvertaking(o)).Wait
		if ratio := float64(expected) / float64(s.Base+want); math.Abs(ratio-1) > 0.03 {
			t.Errorf("rank %d: %v, want about %v", rank, expected, s.Base+want)
		}
	}
	if later := d.Overtaking(now.Add(time.Minute), gateways, engines, slots); later.Slots[2] > 0.001 {
		t.Errorf("a minute later still %+v", later)
	}
}

// TestHeld checks that the wait before the first chunk does not count towards the time that a slot is held.
func TestHeld(t *testing.T) {
	s := NewSpeed()
	unqueued := s.Base + 1000*s.PrefillTokenTime
	for waited, want := range map[time.Duration]time.Duration{0: 2 * time.Second, time.Second: time.Second} {
		if got := s.Held(2*time.Second, unqueued+waited, 1000); got != want {
			t.Errorf("waited %v: held %v, want %v", waited, got, want)
		}
	}
}

// TestHold checks that the time that requests hold a slot is learned per output token if the expected output length is
// known, and per request otherwise.
func TestHold(t *testing.T) {
	s := NewSpeed()
	long, short, plain := Work{OutputTokens: 400}, Work{OutputTokens: 20}, Work{}
	if s = s.WithSent(long, 1000); s.SlotTime != s.Hold(long, 1000) {
		t.Errorf("slot time %v after the first request, want %v", s.SlotTime, s.Hold(long, 1000))
	}
	for range 200 {
		s = s.WithCompleted(long, 0, 400*12*time.Millisecond)
	}
	if got := s.Hold(short, 0); got < 235*time.Millisecond || got > 240*time.Millisecond {
		t.Errorf("a short answer holds %v, want about 240ms", got)
	}
	plainSpeed := NewSpeed().WithCompleted(plain, 0, 30*time.Millisecond)
	if got := plainSpeed.Hold(plain, 0); got != 30*time.Millisecond {
		t.Errorf("a plain request holds %v", got)
	}
}

// TestRetried checks that a request whose wait is three times its objective is refused at first and admitted when it
// is retried.
func TestRetried(t *testing.T) {
	first := TimeBudget{Objective: 800 * time.Millisecond, RouteObjective: 800 * time.Millisecond, Remaining: 10 * time.Second}
	again := first
	again.Remaining = 9 * time.Second
	again.Objective = 0
	again.Retried = IsRetry(again.Remaining, first.Remaining)
	if Admit(2400*time.Millisecond, 2400*time.Millisecond, first) != Refuse || Admit(2400*time.Millisecond, 2400*time.Millisecond, again) != TakeLate || IsRetry(first.Remaining, first.Remaining) {
		t.Errorf("first %v, again %v", Admit(2400*time.Millisecond, 2400*time.Millisecond, first), Admit(2400*time.Millisecond, 2400*time.Millisecond, again))
	}
}

// TestChooseRegion forwards a burst to the idle one of two regions until the capacity that it reported is used up, and
// nothing to a region whose report is stale, that has no endpoints or that costs no less.
func TestChooseRegion(t *testing.T) {
	const roundTrip = 160 * time.Millisecond
	w := Work{PromptTokens: 1000, OutputTokens: 300}
	idle := RegionCapacity{Region: "idle", Wait: waits(60 * time.Millisecond), PromptTokens: 10_000, Endpoints: 2}
	busy := RegionCapacity{Region: "busy", Wait: waits(300 * time.Millisecond), PromptTokens: 10_000, Endpoints: 2, Busy: 1}
	sent, last := int64(0), ""
	for n := range 20 {
		there := idle
		there.Sent = sent
		got, ok := ChooseRegion([]RegionCapacity{busy, there}, w, NewSpeed(), Choice{}, roundTrip, 800*time.Millisecond)
		switch {
		case ok && got.Region == "idle":
			sent += w.PromptTokens
		case n < 5:
			t.Fatalf("request %d went to %+v, %v", n, got, ok)
		}
		last = got.Region
	}
	if sent > idle.PromptTokens || last == "idle" {
		t.Errorf("%d tokens were sent to a region with capacity for %d", sent, idle.PromptTokens)
	}
	for name, there := range map[string]RegionCapacity{
		"old":          {Region: "old", Wait: waits(1), PromptTokens: 1 << 40, Endpoints: 9, Age: time.Minute},
		"no endpoints": {Region: "empty", Wait: waits(1), PromptTokens: 1 << 40},
		"no better":    {Region: "far", Wait: waits(700 * time.Millisecond), PromptTokens: 1 << 40, Endpoints: 1},
	} {
		if got, ok := ChooseRegion([]RegionCapacity{there}, w, NewSpeed(), Choice{}, roundTrip, 800*time.Millisecond); ok {
			t.Errorf("%s: crossed to %+v", name, got)
		}
	}
}

// TestShares checks that the shares of all holders add up to the whole.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, n := rapid.IntRange(0, 50).Draw(t, "whole"), rapid.IntRange(1, 90).Draw(t, "n")
		sum := 0
		for rank := range n {
			sum += Share(whole, n, rank)
		}
		if sum != whole {
			t.Fatalf("%d holders have %d of %d", n, sum, whole)
		}
	})
}

func TestWindow(t *testing.T) {
	w := NewWindow(time.Second)
	now := time.Unix(100, 0)
	for i := range 10 {
		w.Add(now.Add(time.Duration(i) * 200 * time.Millisecond))
	}
	if n := w.Count(now.Add(1800 * time.Millisecond)); n != 5 {
		t.Errorf("%d events in the last second, want 5", n)
	}
	if n := w.Count(now.Add(time.Minute)); n != 0 {
		t.Errorf("%d events remain", n)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 46, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all, w := candidates(n), sharedPrefixWork("subject")
			for b.Loop() {
				Choose(all, w, NewSpeed(), 0, time.Second, 0.5)
			}
		})
	}
}

// TestChooseFreerRegion offers a request to two regions with equal waits in both orders: the one with more free slots gets
// it.
func TestChooseFreerRegion(t *testing.T) {
	w := Work{PromptTokens: 1000, OutputTokens: 300}
	free := RegionCapacity{Region: "free", Wait: waits(60 * time.Millisecond), PromptTokens: 1 << 40, Endpoints: 36, Occupied: 0.5}
	full := RegionCapacity{Region: "full", Wait: waits(60 * time.Millisecond), PromptTokens: 1 << 40, Endpoints: 22, Occupied: 0.95}
	for _, regions := range [][]RegionCapacity{{free, full}, {full, free}} {
		if got, ok := ChooseRegion(regions, w, NewSpeed(), Choice{}, 160*time.Millisecond, time.Second); !ok || got.Region != "free" {
			t.Errorf("%+v, %v", got, ok)
		}
	}
}
