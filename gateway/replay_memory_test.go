package gateway

import (
	"testing"
	"time"
)

// replayTiming is the duration of a step of an engine: a base, an addition for each running request, and the prefill.
type replayTiming struct {
	stepMillis, slotMillis, tokensPerMilli float64
}

func (s replaySite) engineTiming() replayTiming {
	if s.timing != nil {
		return *s.timing
	}
	return replayTiming{stepMillis: 3.23, slotMillis: 0.0483, tokensPerMilli: 112}
}

// held returns the memory that running requests hold: what was read of their prompts, shared parts once, and what they
// generated.
func (e *replayEngine) held() int64 {
	var held int64
	subjects := map[string]bool{}
	for _, r := range e.running {
		held += int64(r.prompt - r.left + r.made)
		if r.subject != "" && r.left <= r.prompt-int(r.kind.shared) {
			if subjects[r.subject] {
				held -= r.kind.shared
			}
			subjects[r.subject] = true
		}
	}
	return held
}

// hasMemory reports whether another request may start.
func (e *replayEngine) hasMemory() bool { return !e.memoryBound || e.held() < e.cacheTokens }

// fitMemory preempts the newest of the least urgent requests until the others fit into the memory.
func (e *replayEngine) fitMemory() {
	for e.memoryBound && len(e.running) > 1 && e.held() > e.cacheTokens {
		last := e.running[0]
		for _, r := range e.running[1:] {
			if last.before(r) < 0 {
				last = r
			}
		}
		if e.remove(last); last.made < last.output {
			last.left, last.preempted = last.prompt+last.made, true
			e.preemptedForMemory++
			e.waiting = append(e.waiting, last)
		}
	}
}

// memorySite is a region whose engines have the figures of the deployments, at a load that fills their memory before
// their slots.
func memorySite(perEngine float64) replaySite {
	const engines = 16
	return replaySite{
		pressure: true,
		engines:  engines, slots: 64, gateways: 15, cacheTokens: 452_000, memoryBound: true, chunks: 1, retries: true, gap: 400 * time.Millisecond,
		duration: 10 * time.Second, timing: &replayTiming{stepMillis: 3, slotMillis: 0.12, tokensPerMilli: 92},
		rate: func(time.Duration) float64 { return perEngine * engines }, report: reportLinked(44 * time.Millisecond),
		kinds: []replayKind{
			{name: "check", share: 0.2, priority: 0, prompt: 1200, output: 30, objective: 600 * time.Millisecond, patience: 3 * time.Second, worth: 1, subjects: 200, shared: 600},
			{name: "plan", share: 0.8, priority: 1, prompt: 3400, output: 600, objective: time.Second, patience: 20 * time.Second, worth: 2, subjects: 1600, shared: 9000},
		},
	}
}

// ignoringMemory places requests as if engines had memory without limit. In this load, in which most of each prompt is
// cached, this is what counting uncached tokens only did: both preempted 234 requests.
func ignoringMemory(p *replay, r *replayRequest, now time.Time) bool {
	p.table.Service("model").Engine.CacheTokens = 0
	return byPlacer(p, r, now)
}

func (p *replay) preemptedForMemory() int {
	n := 0
	for _, e := range p.engines {
		n += e.preemptedForMemory
	}
	return n
}

// TestReplayMemory offers engines more than their memory holds: counting whole prompts must bring preemptions down to a
// fifth, and what is served on time may fall by at most 0.03, as for every change.
func TestReplayMemory(t *testing.T) {
	counted, ignored := newReplay(t, memorySite(6), byPlacer), newReplay(t, memorySite(6), ignoringMemory)
	for name, p := range map[string]*replay{"counted": counted, "ignored": ignored} {
		p.run()
		for _, kind := range p.site.kinds {
			t.Logf("%s: %s: %+v", name, kind.name, *p.results[kind.name])
		}
		t.Logf("%s: worth on time %.3f, %d preempted for memory", name, p.worth(), p.preemptedForMemory())
	}
	if counted.preemptedForMemory()*5 > ignored.preemptedForMemory() || ignored.preemptedForMemory() == 0 {
		t.Errorf("%d preempted for memory, %d when memory is not counted", counted.preemptedForMemory(), ignored.preemptedForMemory())
	}
	if counted.worth() < ignored.worth()-0.03 {
		t.Errorf("worth on time %.3f, %.3f when memory is not counted", counted.worth(), ignored.worth())
	}
}
