package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
)

func sharedQuery(q query, subject string) query {
	q.work.PromptTokens = 11_480
	q.work.Parts = []capacity.Part{{ID: subject, Tokens: 4870}, {ID: "own", Tokens: 6610}}
	return q
}

// TestHoldersReported guards against gateways that do not know where others have sent the parts of a prompt: each sends it to
// the endpoint that has them, until that one has started anew.
func TestHoldersReported(t *testing.T) {
	now := time.Unix(1000, 0)
	var endpoints []fleet.Endpoint
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		endpoints = append(endpoints, fleet.Endpoint{ID: id, Born: 7, Service: "model", Slots: 64, State: fleet.Ready})
	}
	placers, v, r, s := newPlacers(t, 2, endpoints...)
	for _, subject := range []string{"x", "y", "z", "u", "v"} {
		q := sharedQuery(testQuery(r, s), subject)
		first := placers[0].decide(now, v, q)
		placers[0].begin(now, "model", q.work, first)
		m := placers[0].loadReport(now, 1, false)
		placers[1].updatePeer(now, m)
		if next := placers[1].decide(now, v, q); next.endpoint.ID != first.endpoint.ID || next.uncachedTokens != 6610 {
			t.Errorf("%s: sent to %s with %d tokens to read, cached at %s", subject, next.endpoint.ID, next.uncachedTokens, first.endpoint.ID)
		}
		if again := placers[0].loadReport(now, 1, true); len(again.GetOutstanding()) > 0 && len(again.GetOutstanding()[0].GetUsedParts()) > 0 {
			t.Errorf("%s: reported twice", subject)
		}
	}
	restarted := slices.Clone(endpoints)
	for i := range restarted {
		restarted[i].Born++
	}
	v.endpoints = map[string][]fleet.Endpoint{"model": restarted}
	now = now.Add(cachedPartTTL / 2)
	q := sharedQuery(testQuery(r, s), "x")
	if got := placers[1].decide(now, v, q); got.uncachedTokens != q.work.PromptTokens {
		t.Errorf("%d tokens to read at an endpoint that started anew", got.uncachedTokens)
	}
}

// TestCachedPromptsCounted guards against counts of cached tokens that differ from what was expected, and from what the time to the
// first chunk shows.
func TestCachedPromptsCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	placers, v, r, s := newPlacers(t, 1, fleet.Endpoint{ID: "a", Born: 7, Service: "model", Slots: 64, State: fleet.Ready})
	p, q := placers[0], sharedQuery(testQuery(r, s), "x")
	for range 2 {
		a := p.begin(now, "model", q.work, p.decide(now, v, q))
		speed := p.speed("model")
		a.recordFirst(now.Add(speed.Base + time.Duration(a.uncachedTokens)*speed.PrefillTokenTime))
		a.end(now.Add(time.Second), succeeded)
		now = now.Add(time.Second)
	}
	got := p.caches["model"]
	if got.shared != 2*4870 || got.expected != 4870 || got.measuredExpected != 4870 || got.measuredCached < 4800 || got.measuredCached > 4900 {
		t.Errorf("counts %+v", got)
	}
	if parts := p.cacheSummary()["parts"]; parts != 1 {
		t.Errorf("%v parts known", parts)
	}
}

// BenchmarkDecideShared measures the placement of a prompt with a shared part among 300 endpoints.
func BenchmarkDecideShared(b *testing.B) {
	for name, retention := range map[string]CacheRetention{"on": RetainAlways, "off": RetainNever} {
		b.Run(name, func(b *testing.B) {
			now := time.Unix(1000, 0)
			var endpoints []fleet.Endpoint
			for i := range 300 {
				endpoints = append(endpoints, fleet.Endpoint{ID: fmt.Sprintf("engine-%d", i), Born: 7, Service: "model", Slots: 64, State: fleet.Ready})
			}
			placers, v, r, s := newPlacers(b, 1, endpoints...)
			placers[0].cfg.CacheRetention = retention
			q := sharedQuery(testQuery(r, s), "x")
			placers[0].begin(now, "model", q.work, placers[0].decide(now, v, q))
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				placers[0].decide(now, v, q)
			}
		})
	}
}

// TestRetains guards against the weighing where no setting and no endpoint asks for it, and against none where one does.
func TestRetains(t *testing.T) {
	e := fleet.Endpoint{ID: "a", Born: 7, Service: "model", Slots: 64, State: fleet.Ready}
	for name, c := range map[string]struct {
		setting        CacheRetention
		pressure, pace bool
		want           bool
	}{
		"nothing": {RetainByEndpoints, false, false, false}, "pressure": {RetainByEndpoints, true, false, true}, "pace": {RetainByEndpoints, false, true, true},
		"off": {RetainNever, true, true, false}, "on": {RetainAlways, false, false, true},
	} {
		placers, _, _, _ := newPlacers(t, 1, e)
		p := placers[0]
		p.cfg.CacheRetention, p.cfg.Pressure = c.setting, c.pressure
		load := Load{Known: true}
		if c.pace {
			load.Pace = 1.2
		}
		p.recordVerdict(time.Unix(1000, 0), e, Verdict{Load: load})
		if got := p.retains("model"); got != c.want || p.retains("other") != (c.want && !c.pace || c.setting == RetainAlways) {
			t.Errorf("%s: %v, another service %v", name, got, p.retains("other"))
		}
	}
}
