package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/routes"
)

// unevenPaces returns the constant paces of the engines of the replay, which take turns.
func unevenPaces() []float64 { return []float64{0.6, 1, 1.6} }

// machineSpells returns when each engine's machine is busy with other work, at 15 of 100 of the time: the pace is then 2.5
// times the constant one.
func machineSpells(paces []float64, engines int, duration time.Duration) func(engine int, now time.Duration) float64 {
	const share, factor, length = 0.15, 2.5, 300 * time.Millisecond
	rng := rand.New(rand.NewPCG(replaySeed, 2))
	spells := make([][][2]time.Duration, engines)
	for i := range spells {
		for at := time.Duration(0); at < 2*duration; {
			at += time.Duration(rng.ExpFloat64() * float64(length) * (1 - share) / share)
			end := at + time.Duration(rng.ExpFloat64()*float64(length))
			spells[i] = append(spells[i], [2]time.Duration{at, end})
			at = end
		}
	}
	return func(engine int, now time.Duration) float64 {
		pace := paces[engine%len(paces)]
		n, _ := slices.BinarySearchFunc(spells[engine], now, func(s [2]time.Duration, t time.Duration) int { return int(s[1] - t) })
		if n < len(spells[engine]) && spells[engine][n][0] <= now {
			return pace * factor
		}
		return pace
	}
}

// unevenSite is a region of engines of the given paces before which long and short answers compete.
func unevenSite(rate float64, paces []float64) replaySite {
	const engines, duration = 24, 30 * time.Second
	return replaySite{
		engines: engines, slots: 64, gateways: 8, cacheTokens: 452_000, duration: duration, eventTokens: 10, hintError: 0.5, tick: 250 * time.Microsecond,
		stepTime: func(running int, prefill bool) time.Duration {
			step := 3030*time.Microsecond + time.Duration(running)*121*time.Microsecond
			if prefill {
				step += 11 * time.Millisecond
			}
			return step
		},
		slowdown: machineSpells(paces, engines, duration),
		rate:     func(time.Duration) float64 { return rate },
		report:   reportAll(100 * time.Millisecond),
		kinds: []replayKind{
			{name: "short", share: 0.5, prompt: 4000, output: 40, objective: 800 * time.Millisecond, patience: 5 * time.Second, gap: 400 * time.Millisecond, worth: 1},
			{name: "middle", share: 0.2, prompt: 6000, output: 200, objective: time.Second, patience: 8 * time.Second, gap: 400 * time.Millisecond, worth: 1},
			{name: "long", share: 0.3, prompt: 4000, output: 700, objective: time.Second, patience: 12 * time.Second, gap: 400 * time.Millisecond, worth: 1},
		},
	}
}

// value returns the mean value of an answer, of which a late one has 0.3.
func (p *replay) value() float64 {
	var value, asked float64
	for _, r := range p.results {
		value += float64(r.onTime) + 0.3*float64(r.late)
		asked += float64(r.asked)
	}
	return value / asked
}

// byPace places requests by the whole answer. If known is set, the placers get the true constant paces of the engines.
func byPace(known bool) func(p *replay, r *replayRequest, now time.Time) bool {
	return func(p *replay, r *replayRequest, now time.Time) bool {
		if paces := unevenPaces(); known {
			const often, spells = 1e6, 1 + 0.15*1.5
			for i, e := range p.view.endpoints["model"] {
				d := &p.placers[r.gateway].state(&e).decode.pace
				*d = d.Now(now)
				d.SlowRatios, d.SlowCount = often*paces[i%len(paces)]*spells, often
			}
		}
		return placeByWhole(p, r, now)
	}
}

// TestReplayUneven guards against late long answers at engines of uneven paces: at least half of the value that knowing the
// paces brings over the rule without them is gained by learning them.
func TestReplayUneven(t *testing.T) {
	for _, rate := range []float64{90, 120, 200} {
		var values []float64
		for i, decide := range []func(*replay, *replayRequest, time.Time) bool{byPlacer, byPace(false), byPace(true)} {
			p := newReplay(t, unevenSite(rate, unevenPaces()), decide)
			p.run()
			values = append(values, p.value())
			for _, kind := range p.site.kinds {
				t.Logf("rate %v, rule %d: %s: %+v", rate, i, kind.name, *p.results[kind.name])
			}
		}
		before, learned, known := values[0], values[1], values[2]
		t.Logf("rate %v: value %.3f without paces, %.3f learned, %.3f known", rate, before, learned, known)
		if learned-before < 0.5*(known-before) {
			t.Errorf("rate %v: value %.3f, of %.3f without paces and %.3f with known ones", rate, learned, before, known)
		}
	}
}

// TestReplayEven guards against an effect of learned paces where all engines have the same one: spells and errors of
// observation must not change the value.
func TestReplayEven(t *testing.T) {
	var values []float64
	for _, decide := range []func(*replay, *replayRequest, time.Time) bool{byPlacer, placeByWhole} {
		p := newReplay(t, unevenSite(140, []float64{1}), decide)
		p.run()
		values = append(values, p.value())
	}
	t.Logf("value %.4f without paces, %.4f with", values[0], values[1])
	if diff := values[1] - values[0]; diff < -0.01 || diff > 0.01 {
		t.Errorf("value %.3f, without paces %.3f", values[1], values[0])
	}
}

// TestReplayLongAnswers guards against long answers that no longer end in time at engines of equal paces under overload: where the
// settings ask for it, an answer that is expected to end too late is placed elsewhere or refused at once, so that fewer callers
// leave in vain and no value is lost.
func TestReplayLongAnswers(t *testing.T) {
	for _, rate := range []float64{120, 260} {
		var values []float64
		var left []int
		for _, weigh := range []bool{false, true} {
			p := newReplay(t, unevenSite(rate, []float64{1}), placeByWhole)
			p.site.weighEven = weigh
			p.run()
			n := 0
			for _, r := range p.results {
				n += r.left
			}
			values, left = append(values, p.value()), append(left, n)
		}
		t.Logf("rate %v: value %.3f and %d left, weighed %.3f and %d", rate, values[0], left[0], values[1], left[1])
		if values[1] < values[0] || 2*left[1] > left[0] {
			t.Errorf("rate %v: value %.3f and %d left, weighed %.3f and %d", rate, values[0], left[0], values[1], left[1])
		}
	}
}

// TestLoadReportKeepsState guards against a report that changes with the load after it was made, as it is encoded outside
// the lock.
func TestLoadReportKeepsState(t *testing.T) {
	now := time.Unix(1000, 0)
	placers, v, r, s := newPlacers(t, 1, fleet.Endpoint{ID: "engine", Born: 7, Service: "model", Slots: 64, State: fleet.Ready})
	begin := func() {
		placers[0].begin(now, "model", testQuery(r, s).work, placers[0].decide(now, v, testQuery(r, s)))
	}
	begin()
	m := placers[0].loadReport(now, 1, false)
	before := proto.Clone(m)
	begin()
	if !proto.Equal(m, before) {
		t.Errorf("report %v, later %v", before, m)
	}
}

// TestDecodePaceReported guards against a pace that is learned by the gateway with the stream and missing at the others.
func TestDecodePaceReported(t *testing.T) {
	now := time.Unix(1000, 0)
	placers, v, r, s := newPlacers(t, 2, fleet.Endpoint{ID: "engine", Born: 7, Service: "model", Slots: 64, State: fleet.Ready})
	a := placers[0].begin(now, "model", testQuery(r, s).work, placers[0].decide(now, v, testQuery(r, s)))
	a.intervals.eventTokens = 10
	for range 200 {
		a.recordEvent(now.Add(90*time.Millisecond), now)
		now = now.Add(90 * time.Millisecond)
	}
	placers[1].updatePeer(now, placers[0].loadReport(now, 1, true))
	own := placers[0].states["engine"].decode.pace.Estimate(now)
	told := placers[1].peers.sum("engine").decode.Estimate(now)
	if own.Factor < 1.2 || own.Factor > 3.5 || max(own.Factor/told.Factor, told.Factor/own.Factor) > 1.001 {
		t.Errorf("own factor %.3f, that told to the other gateway %.3f", own.Factor, told.Factor)
	}
	if n := own.Count; n > 4*18 {
		t.Errorf("%.0f observations of one stream in 18 s", n)
	}
}

// TestEventIntervals guards against intervals that a slowly reading caller makes long.
func TestEventIntervals(t *testing.T) {
	for name, c := range map[string]struct {
		written time.Duration
		want    time.Duration
	}{"quick caller": {time.Millisecond, 6 * time.Millisecond}, "slow caller": {50 * time.Millisecond, 0}} {
		i, now, wrote, got := eventIntervals{eventTokens: 10}, time.Unix(1000, 0), time.Time{}, time.Duration(0)
		for range 20 {
			got = max(got, i.next(now, wrote))
			wrote, now = now.Add(c.written), now.Add(60*time.Millisecond)
		}
		if got != c.want {
			t.Errorf("%s: %v per token, want %v", name, got, c.want)
		}
	}
}

// TestUnfinishedIsRefused guards against answers that are begun although no endpoint can complete them in time, and against the
// end of a stream in progress for that reason.
func TestUnfinishedIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		remaining time.Duration
		resumed   bool
		want      capacity.Verdict
	}{
		"enough time": {20 * time.Second, false, capacity.Take}, "too little": {700 * time.Millisecond, false, capacity.Refuse},
		"in progress": {700 * time.Millisecond, true, capacity.Take},
	} {
		placers, v, r, s := newPlacers(t, 1, fleet.Endpoint{ID: "engine", Born: 7, Service: "model", Slots: 64, State: fleet.Ready})
		e := v.endpoints["model"][0]
		for range 20 {
			d := &placers[0].state(&e).decode
			d.pace = d.pace.With(now, time.Millisecond, 2*time.Millisecond)
		}
		q := testQuery(r, s)
		q.mustPlace = c.resumed
		q.work.OutputTokens, q.work.Stream = 1000, capacity.Stream{EventTokens: 10, Remaining: c.remaining}
		if got := placers[0].decide(now, v, q); got.verdict != c.want || c.want == capacity.Refuse && got.reason != reasonUnfinished {
			t.Errorf("%s: %v, reason %q, end %v", name, got.verdict, got.reason, got.end)
		}
	}
}

// TestStreamPaceIsLearned sends streams through a gateway: the pace of the endpoint that sent them is known and published.
func TestStreamPaceIsLearned(t *testing.T) {
	a := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
		c.head(r.Header.Get("Id"))
		for n := range 12 {
			c.event(n)
			time.Sleep(100 * time.Millisecond)
		}
		c.end()
		return true
	})
	route := routes.Route{
		Name: "stream", Host: testHost, PathPrefix: "/", Kind: routes.Stream, MaxAttempts: 2, Resumable: true,
		Backends: []routes.Backend{{Service: "desk", Weight: 1}}, Timeout: 5 * time.Second, Objective: time.Second,
	}
	table, err := routes.New(1, []routes.Route{route}, []routes.Service{{Name: "desk", Engine: &routes.Engine{EventTokens: 10, CacheTokens: 1 << 20}}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	g := newGateway(t, table, a)
	if got := g.call(t.Context(), "POST", "/stream/x", nil); !got.whole {
		t.Fatal(got.err)
	}
	if paces := g.placer.paces(time.Now()); paces["a"] < 1.2 {
		t.Errorf("paces %v after events of 10 ms for each token", paces)
	}
}

// BenchmarkDecideUneven measures the placement of a stream among 300 endpoints whose paces are known from two gateways.
func BenchmarkDecideUneven(b *testing.B) {
	now := time.Unix(1000, 0)
	var endpoints []fleet.Endpoint
	for i := range 300 {
		endpoints = append(endpoints, fleet.Endpoint{ID: fmt.Sprintf("engine-%d", i), Born: 7, Service: "model", Slots: 64, State: fleet.Ready})
	}
	placers, v, r, s := newPlacers(b, 2, endpoints...)
	for _, p := range placers {
		for i := range endpoints {
			d := &p.state(&endpoints[i]).decode
			for range 20 {
				d.pace = d.pace.With(now, time.Millisecond, time.Duration(unevenPaces()[i%3]*float64(time.Millisecond)))
			}
		}
	}
	placers[0].updatePeer(now, placers[1].loadReport(now, 1, true))
	q := testQuery(r, s)
	q.work.Stream = capacity.Stream{Gap: 400 * time.Millisecond, EventTokens: 10, Remaining: 10 * time.Second}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		placers[0].decide(now, v, q)
	}
}
