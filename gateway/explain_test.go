package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/routes"
	"arbutusreel/statetest"
	"arbutusreel/wiregen"
)

// busyPlacer returns a placer after decisions of some seconds about requests of two teams, before engines and plain endpoints of which
// some are cold, limited, brittle, failing, paused or leaving, and beside two other regions.
func busyPlacer(t *testing.T, seed uint64) (*placer, *view, []query, time.Time) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	route := func(name, service string) routes.Route {
		return routes.Route{
			Name: name, Host: name, PathPrefix: "/", Kind: routes.Stream, Backends: []routes.Backend{{Service: service, Weight: 1}},
			Timeout: 10 * time.Second, Objective: time.Second, GapObjective: 300 * time.Millisecond, MaxAttempts: 2, Resumable: true,
		}
	}
	table, err := routes.New(1, []routes.Route{route("chat", "model"), route("desk", "desk")}, []routes.Service{
		{Name: "model", Engine: &routes.Engine{BatchSlots: 8, CacheTokens: 60_000, EventTokens: 8}, ColdTime: 3 * time.Second, ColdRate: coldRate}, {Name: "desk"},
	}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	cfg := testConfig()
	cfg.Pressure, cfg.DrawPlain, cfg.ColdBurst, cfg.ColdReserve = seed%2 == 0, true, 1.5, 3
	p := newPlacer(cfg, rand.NewPCG(seed, 1))
	v := &view{table: table, endpoints: map[string][]fleet.Endpoint{}, capacities: map[string]regionCapacity{}, software: newSoftwareVersions()}
	for i := range 12 {
		e := fleet.Endpoint{ID: fmt.Sprint("e", i), Born: 7, Service: "model", Slots: 8, FailureDomain: fmt.Sprintf("here-%d", i%2)}
		if i >= 9 {
			e.Service, e.Slots = "desk", 6
		}
		if i == 1 {
			e.ColdUntil = now.Add(time.Hour)
		}
		v.endpoints[e.Service] = append(v.endpoints[e.Service], e)
		s := p.state(&e)
		s.limit.update(now, i == 2, 3)
		s.brittle.update(now, i == 3, 4)
		s.pace = capacity.Pace{Ratios: 1e9 * (0.5 + rng.Float64()), Count: 1e9, At: now}
	}
	v.gateways = []fleet.Gateway{{Name: "gateway-b", Region: "here", Ready: true}}
	for i, region := range []string{"there", "far"} {
		v.gateways = append(v.gateways, fleet.Gateway{Name: "g-" + region, Region: region, Ready: true})
		v.capacities[region] = regionCapacity{reportedAt: now.Add(time.Hour), services: map[string]capacity.RegionCapacity{
			"model": {Region: region, Endpoints: 4, PromptTokens: int64(i+1) * 20_000, Occupied: 0.5}, "desk": {Region: region, Endpoints: 2, PromptTokens: 100},
		}}
	}
	p.recordVerdict(now, v.endpoints["model"][4], Verdict{PauseFor: time.Hour})
	p.recordVerdict(now, v.endpoints["model"][5], Verdict{Leaving: true})
	p.endpointBreakers.Unreached(now, "e6")
	p.gatewayBreakers.Unreached(now, "g-nowhere")
	p.regionBreakers.Failed(now, "far")
	var queries []query
	for _, r := range []string{"chat", "desk"} {
		for i, team := range []*routes.Team{{Name: "a"}, {Name: "b", Priority: 2, HasPriority: true}, nil} {
			q := testQuery(table.Match(r, "/"), table.Service(table.Match(r, "/").Backends[0].Service))
			q.team, q.work.PromptTokens, q.work.OutputTokens = team, int64(1+4000*i), 200
			q.work.Parts = []capacity.Part{{ID: "shared", Tokens: 900}, {ID: fmt.Sprint("own-", i), Tokens: 100}}
			queries = append(queries, q)
		}
	}
	for range 200 + rng.IntN(300) {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		q := queries[rng.IntN(len(queries))]
		if d := p.decide(now, v, q); d.verdict != capacity.Refuse && d.region == "" {
			a := p.begin(now, q.service.Name, q.work, d)
			if rng.IntN(2) == 0 {
				a.recordFirst(now.Add(time.Duration(rng.IntN(300)) * time.Millisecond))
			}
			if rng.IntN(8) == 0 {
				a.end(now, []ending{succeeded, failed, rejected}[rng.IntN(3)])
			}
		}
	}
	load := &wiregen.EndpointOutstanding{Endpoint: "e0", Requests: 3, HeldTokens: 9000}
	p.peers.update(now, &wiregen.OutstandingReport{Gateway: "gateway-b", Born: 1, Sequence: 1, Outstanding: []*wiregen.EndpointOutstanding{load}})
	return p, v, queries, now
}

// outside reports whether a path leads to what does not belong to a placer's state.
func outside(path string, v reflect.Value) bool {
	return path == ".cfg" || path == ".holdersView" || path == ".mu" || strings.HasSuffix(path, ".loc") || v.Kind() == reflect.Func || strings.Contains(path, ".reach.waiting[")
}

// dump returns the whole state of a placer.
func dump(p *placer) string { return statetest.Dump(p, outside) }

// TestExplainChangesNothing guards against explanations that spend shares, grants, probes or random draws, or change any other state: the
// whole state of the placer and what its reports show are equal before and after.
func TestExplainChangesNothing(t *testing.T) {
	for seed := range uint64(6) {
		p, v, queries, now := busyPlacer(t, seed)
		for _, later := range []time.Duration{0, time.Minute} {
			room := p.localCapacity(now, v)
			before := dump(p)
			for _, q := range queries {
				p.explain(now.Add(later), v, q)
			}
			if was, is, changed := statetest.FirstDifference(before, dump(p)); changed {
				t.Fatalf("seed %d: was %q, is %q", seed, was, is)
			}
			for i, m := range p.localCapacity(now, v) {
				if !slices.ContainsFunc(room, func(r *wiregen.ServiceRoom) bool { return proto.Equal(r, m) }) {
					t.Errorf("seed %d: the report of service %d is now %v", seed, i, m)
				}
			}
		}
	}
}

// TestForkShares guards against state that is added to the placer later and shared with the copies on which explanations decide.
func TestForkShares(t *testing.T) {
	p, _, _, now := busyPlacer(t, 1)
	references := func(p *placer) map[string]uintptr {
		all := map[string]uintptr{}
		statetest.Walk(p, func(path string, v reflect.Value) bool {
			if outside(path, v) {
				return false
			}
			if k := v.Kind(); path != "" && (k == reflect.Map || k == reflect.Pointer || k == reflect.Chan || k == reflect.Slice && v.Cap() > 0) {
				all[path] = v.Pointer()
			}
			return true
		})
		return all
	}
	mine, copied := references(p), references(p.fork(now.Add(time.Hour), rand.NewPCG(1, 1)))
	for path, at := range mine {
		onlySent := strings.Contains(path, ".held.") || strings.HasSuffix(path, ".cachedParts") || strings.HasSuffix(path, ".receivedNanos") || strings.HasPrefix(path, ".retryBudgets") ||
			strings.HasPrefix(path, ".holders.parts") && copied[".holders"] != mine[".holders"]
		if at != 0 && at == copied[path] && !onlySent {
			t.Errorf("%s is shared", path)
		}
	}
}

// TestExplainEqualsDecision guards against explanations that differ from what a request then gets.
func TestExplainEqualsDecision(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(150) {
		p, v, queries, now := busyPlacer(t, seed)
		for i, q := range queries {
			q.tried = maps.Clone(q.tried)
			now = now.Add(20 * time.Millisecond)
			x := p.explain(now, v, q)
			d := p.decide(now, v, q)
			for _, r := range x.regions {
				counts["region "+string(r.reason)]++
			}
			for _, reason := range x.excluded {
				counts["excluded "+string(reason)]++
			}
			if len(x.candidates)+len(x.excluded) != len(v.endpoints[q.service.Name]) {
				t.Errorf("seed %d: %d candidates and %d excluded", seed, len(x.candidates), len(x.excluded))
			}
			if q.service.Engine == nil {
				// The draws of plain endpoints that are nearly full differ.
				continue
			}
			counts[x.decision.verdict.String()]++
			if x.decision.verdict != d.verdict || x.decision.region != d.region || x.decision.reason != d.reason || x.decision.rank != d.rank {
				t.Errorf("seed %d, query %d: explained %+v, decided %+v", seed, i, x.decision, d)
			}
			if tied(x) || d.region != "" {
				continue
			}
			counts["compared"]++
			if x.decision.endpoint.ID != d.endpoint.ID || x.decision.expected != d.expected || x.decision.cost != d.cost || x.decision.end != d.end {
				t.Errorf("seed %d, query %d: explained %+v, decided %+v", seed, i, x.decision, d)
			}
			for k, c := range x.candidates {
				if c.ID == d.endpoint.ID && x.costs[k].Total() != d.cost {
					t.Errorf("seed %d, query %d: the components sum up to %v, the cost is %v", seed, i, x.costs[k].Total(), d.cost)
				}
			}
		}
	}
	t.Log(counts)
	for _, want := range []string{"take", "refuse", "compared", "region notCheaper", "region ", "excluded cold", "excluded limited", "excluded draining", "excluded paused", "excluded breakerOpen"} {
		if counts[want] == 0 {
			t.Errorf("no case of %q", want)
		}
	}
}

// tied reports whether another candidate costs as much as the best one but for a tie, so that a draw chooses.
func tied(x explanation) bool {
	var costs []time.Duration
	for _, c := range x.costs {
		costs = append(costs, c.Total()+c.Miss)
	}
	slices.Sort(costs)
	return len(costs) > 1 && costs[1]-costs[0] <= 4*time.Millisecond
}
