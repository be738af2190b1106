package gateway

import (
	"testing"
	"time"
)

// largeRegion is a region of many gateways before engines of few slots, at the given load for each engine.
func largeRegion(perEngine float64, report func(p *replay, now time.Duration)) replaySite {
	const engines = 58
	return replaySite{
		engines: engines, slots: 16, queue: 48, retries: true, chunks: 2, gap: 300 * time.Millisecond, gateways: 64, cacheTokens: 455_580, duration: 6 * time.Second,
		rate: func(time.Duration) float64 { return perEngine * engines }, report: report,
		kinds: []replayKind{
			{name: "check", share: 0.5, priority: 0, prompt: 1800, output: 23, objective: 600 * time.Millisecond, patience: 3 * time.Second, worth: 1.2, subjects: 1807, shared: 568},
			{name: "notice", share: 0.25, priority: 1, prompt: 628, output: 290, objective: 600 * time.Millisecond, patience: 8 * time.Second, worth: 2.1, subjects: 892, shared: 198},
			{name: "plan", share: 0.25, priority: 2, prompt: 6610, output: 380, objective: 800 * time.Millisecond, patience: 10 * time.Second, worth: 2.5, subjects: 893, shared: 5382},
		},
	}
}

// reportChanges lets each gateway report its changes to all others once in each period, one gateway after the other.
func reportChanges(period time.Duration) func(p *replay, now time.Duration) {
	return func(p *replay, now time.Duration) {
		for i, from := range p.placers {
			phase := (period * time.Duration(i) / time.Duration(len(p.placers))).Truncate(time.Millisecond)
			if (now-phase)%period != 0 {
				continue
			}
			m := from.loadReport(replayStart.Add(now), 1, false)
			for _, to := range p.placers {
				if to != from {
					to.updatePeer(replayStart.Add(now), m)
				}
			}
		}
	}
}

// reportLinked lets each gateway report its changes along its links once in each period, one gateway after the other, and
// its whole load once a second.
func reportLinked(period time.Duration) func(p *replay, now time.Duration) {
	var linked []*linkedPlacer
	return func(p *replay, now time.Duration) {
		if linked == nil {
			linked = linkPlacers(p.placers)
		}
		for i, l := range linked {
			phase := (period * time.Duration(i) / time.Duration(len(linked))).Truncate(time.Millisecond)
			if (now-phase)%period == 0 {
				l.report(replayStart.Add(now), (now-phase)%(period*30) == 0)
			}
		}
	}
}

// meanLoadError returns the mean absolute difference between the reported and the actual number of requests at
// the chosen engines.
func (p *replay) meanLoadError() float64 {
	sum := 0.0
	for _, e := range p.loadErrors {
		sum += e
	}
	return sum / float64(max(len(p.loadErrors), 1))
}

// TestReplayLargeRegion offers 64 gateways a load that the engines of their region can serve. When each gateway reports
// to all others every 448 ms, many gateways choose the same idle engine before the first of them has reported it; reports
// along links keep nearly all requests on time.
func TestReplayLargeRegion(t *testing.T) {
	const (
		perEngine = 9
		want      = 0.97
	)
	direct := newReplay(t, largeRegion(perEngine, reportChanges(448*time.Millisecond)), byPlacer)
	linked := newReplay(t, largeRegion(perEngine, reportLinked(44*time.Millisecond)), byPlacer)
	for name, p := range map[string]*replay{"direct": direct, "linked": linked} {
		p.run()
		for _, kind := range p.site.kinds {
			t.Logf("%s: %s: %+v", name, kind.name, *p.results[kind.name])
		}
		t.Logf("%s: worth on time %.3f, load error %.1f requests", name, p.worth(), p.meanLoadError())
	}
	if linked.worth() < want {
		t.Errorf("worth on time %.3f, want %.2f", linked.worth(), want)
	}
	if linked.meanLoadError() > direct.meanLoadError()/2 {
		t.Errorf("load error %.1f requests, with direct reports %.1f", linked.meanLoadError(), direct.meanLoadError())
	}
}

// TestReplaySlowEngines makes a sixth of the engines of a large region slower by 3.5, of which each gateway sees a request
// every ten seconds: the gateways learn it together, and send them less than half of their share.
func TestReplaySlowEngines(t *testing.T) {
	const (
		perEngine = 6
		slowAfter = time.Second
		want      = 0.9
	)
	slow := func(engine int) bool { return engine%6 == 0 }
	site := largeRegion(perEngine, reportLinked(44*time.Millisecond))
	site.slowdown = func(engine int, now time.Duration) float64 {
		if slow(engine) && now >= slowAfter {
			return 3.5
		}
		return 1
	}
	p := newReplay(t, site, byPlacer)
	p.run()
	for _, kind := range site.kinds {
		t.Logf("%s: %+v", kind.name, *p.results[kind.name])
	}
	taken := map[bool]int{}
	engines := map[bool]int{}
	for i, e := range p.view.endpoints["model"] {
		taken[slow(i)] += p.engines[e.ID].taken
		engines[slow(i)]++
	}
	share := float64(taken[true]) / float64(engines[true]) / (float64(taken[false]) / float64(engines[false]))
	t.Logf("worth on time %.3f, a slow engine got %.2f of what another one got", p.worth(), share)
	if p.worth() < want || share > 0.5 {
		t.Errorf("worth on time %.3f, want %.2f; a slow engine got %.2f of what another one got", p.worth(), want, share)
	}
}

// TestReplayPreemption offers a large region a third more than its engines can serve. Less urgent requests that take the
// last free slot of an engine lose it to the next more urgent one and are read again, which slows the engine further:
// slots that are left free for more urgent requests keep the region from collapsing.
func TestReplayPreemption(t *testing.T) {
	const (
		perEngine = 13
		want      = 0.75
	)
	p := newReplay(t, largeRegion(perEngine, reportLinked(44*time.Millisecond)), byPlacer)
	p.run()
	preempted := 0
	for _, e := range p.engines {
		preempted += e.preempted
	}
	for _, kind := range p.site.kinds {
		t.Logf("%s: %+v", kind.name, *p.results[kind.name])
	}
	t.Logf("worth on time %.3f, %d preemptions", p.worth(), preempted)
	if p.worth() < want {
		t.Errorf("worth on time %.3f, want %.2f", p.worth(), want)
	}
}
