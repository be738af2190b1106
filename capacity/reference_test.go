package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// referenceWait is the estimate of a wait in its plain form.
func referenceWait(c Candidate, w Work, uncached int64, s Speed) WaitEstimate {
	d := s.Base + inflateWait(s.PrefillTokenTime*time.Duration(c.Outstanding.PromptTokens.Before(w.Rank)+uncached), s.Overtaking.Prefill[w.Rank])
	var slot time.Duration
	ahead := int64(c.Outstanding.Requests) - c.Outstanding.Waiting.All() + c.Outstanding.Waiting.Before(w.Rank) - int64(c.Slots) + 1
	if c.Slots > 0 && ahead > 0 {
		slot = inflateWait(s.SlotTime*time.Duration(ahead)/time.Duration(c.Slots), s.Overtaking.Slots[w.Rank])
	}
	d += slot
	memoryFull := c.MemoryFull(&w)
	if !c.Strict {
		memoryFull = c.Memory > 0 && float64(c.Outstanding.HeldTokens+uncached+w.OutputTokens) > maxMemoryShare*float64(c.Memory)
	}
	if memoryFull {
		d += s.SlotTime / 2
	}
	return WaitEstimate{Wait: time.Duration(float64(d) * c.Health.Slowdown()), Full: slot > 0 || memoryFull, MemoryFull: memoryFull && c.Strict}
}

// referenceChoose is the choice in its plain form: every cost of every candidate is computed anew.
func referenceChoose(candidates []Candidate, w Work, s Speed, fetch, objective time.Duration, draw float64) (Choice, bool) {
	best, bestCost, ties := Choice{Index: -1}, time.Duration(0), 0
	preferred := preferredCandidate(candidates, w)
	prompt := newPromptRead(candidates, preferred, w, s, fetch, objective)
	finish := newFinisher(candidates, w, s, objective)
	for i := range candidates {
		c := &candidates[i]
		uncached, source, extra, copying := prompt.at(c, &w, i == preferred)
		e := referenceWait(*c, w, uncached, s)
		e.Wait = time.Duration(float64(e.Wait) * finish.waitFactor(c))
		crowded := c.Crowded(w.Rank, &s)
		cost := e.Wait + DecodeCost(w, c.Busy, c.Health.Slowdown()) + extra + c.detourCost(&w, crowded || e.MemoryFull, objective) +
			time.Duration((c.Health.FailureRate+c.excessFailureRate(baselineFailureRate(candidates)))*failureCost*float64(objective)) +
			finish.cost(c, uncached, e.Wait)
		miss := prompt.missCost(c, e, crowded, finish.uneven) + copying
		cost += miss
		switch {
		case best.Index < 0 || cost < bestCost-tieThreshold:
			ties = 1
		case cost < bestCost+tieThreshold:
			ties++
			draw *= float64(ties)
			replace := draw < 1
			draw -= float64(int(draw))
			if !replace {
				continue
			}
		default:
			continue
		}
		best = Choice{
			Index: i, Expected: e.Wait, Cost: cost - miss, UncachedTokens: uncached, FetchFrom: source, Preferred: c.isPreferred(&w, i == preferred), Full: e.Full,
			Crowded: crowded, MemoryFull: e.MemoryFull,
		}
		bestCost = cost
	}
	if best.Index < 0 {
		return best, false
	}
	chosen := &candidates[best.Index]
	best.finish, best.slots, best.weighsParts = finish, candidates[best.Index].Slots, candidates[best.Index].Held.Known
	best.Pace, best.WaitFactor, best.End = chosen.Decode.Factor, finish.waitFactor(chosen), finish.end(chosen, best.Expected)
	best.Unqueued = !best.Full && chosen.Outstanding.Waiting == Backlog{}
	best.Harmful = finish.harmful(chosen, best.UncachedTokens, best.Expected)
	best.Unfinished = finish.unfinished(candidates, w, s, prompt.minUncached, best.End)
	return best, true
}

// randomState draws endpoints in loads from idle to full, a request and the speed of the service. In some states all endpoints
// are alike, so that the draw decides.
func randomState(rng *rand.Rand) ([]Candidate, Work, Speed) {
	all := make([]Candidate, rng.IntN(46))
	load, alike, uneven, known := rng.Float64(), rng.IntN(4) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
	backlog := func(most int64) (b Backlog) {
		for rank := range b {
			b[rank] = rng.Int64N(1+int64(load*float64(most))) * rng.Int64N(2)
		}
		return b
	}
	for i := range all {
		if alike && i > 0 {
			all[i] = all[0]
			all[i].ID = fmt.Sprint("engine-", i)
			continue
		}
		c := Candidate{ID: fmt.Sprint("engine-", i), Health: Health{Factor: rng.Float64() * 3}, Slots: rng.IntN(3) * 32, Memory: rng.Int64N(3) * 200_000}
		c.Outstanding = Outstanding{Requests: rng.IntN(80), Waiting: backlog(5), PromptTokens: backlog(9000), HeldTokens: rng.Int64N(420_000)}
		c.CachedParts, c.SharedTokens = rng.IntN(3), rng.Int64N(500)
		c.Strict, c.Preempts, c.Remote, c.Busy = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(3) == 0, rng.Float64()
		if known {
			c.Held = CachedPrompt{Known: true, Evicted: rng.Int64N(2000), ReadCost: rng.Float64() * 60_000}
		}
		if rng.IntN(4) == 0 {
			c.Health.FailureRate, c.FailureRate = rng.Float64(), rng.Float64()
		}
		if c.Decode = (DecodeEstimate{Factor: 1, Count: 100, Deviations: rng.Float64() * 20, Observed: 100}); uneven {
			c.Decode.Factor, c.Decode.Count = 0.6+rng.Float64(), rng.Float64()*20
		}
		all[i] = c
	}
	w := sharedPrefixWork(fmt.Sprint("subject-", rng.IntN(60)))
	w.Rank, w.Bytes, w.OutputTokens = rng.IntN(Ranks), rng.Int64N(40_000), rng.Int64N(3)*200
	if rng.IntN(3) == 0 {
		w.Parts = nil
	}
	if rng.IntN(2) == 0 {
		w.Stream = Stream{
			Gap: time.Duration(rng.IntN(500)) * time.Millisecond, EventTokens: rng.IntN(12), Remaining: time.Duration(rng.IntN(9000)) * time.Millisecond,
			First: time.Duration(rng.IntN(900)) * time.Millisecond, Tokens: rng.Int64N(900),
		}
	}
	s := NewSpeed()
	s.SlotTime = time.Duration(rng.IntN(3000)) * time.Millisecond
	for rank := range Ranks {
		s.Overtaking.Slots[rank], s.Overtaking.Prefill[rank] = rng.Float64()*float64(rank)/10, rng.Float64()*float64(rank)/10
	}
	return all, w, s
}

// TestChooseEqualsReference guards against a choice that a quicker computation changes.
func TestChooseEqualsReference(t *testing.T) {
	for seed := range uint64(20_000) {
		rng := rand.New(rand.NewPCG(seed, 5))
		all, w, s := randomState(rng)
		fetch, objective, draw := time.Duration(rng.IntN(2)*255), time.Duration(1+rng.IntN(1500))*time.Millisecond, rng.Float64()
		got, ok := Choose(all, w, s, fetch, objective, draw)
		want, wantOK := referenceChoose(all, w, s, fetch, objective, draw)
		if got != want || ok != wantOK {
			t.Fatalf("seed %d: chose %+v, %v, want %+v, %v", seed, got, ok, want, wantOK)
		}
	}
}
