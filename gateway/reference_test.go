package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

// referenceSum is the sum of the reported loads at an endpoint in its plain form: old loads are subtracted and new ones added, decayed
// apart for each quantity.
type referenceSum struct {
	sum    endpointLoad
	byPeer map[string]endpointLoad
}

func (r *referenceSum) set(now time.Time, peer string, load endpointLoad) {
	s, old := r.sum, r.byPeer[peer]
	s = endpointLoad{
		outstanding: s.outstanding.Minus(old.outstanding), outcomes: s.outcomes.Minus(now, old.outcomes), pace: s.pace.Minus(now, old.pace),
		recent: capacity.NewRecentTokens(now, max(s.recent.Tokens(now)-old.recent.Tokens(now), 0)), decode: s.decode.Minus(now, old.decode),
	}
	r.sum = endpointLoad{
		outstanding: s.outstanding.Plus(load.outstanding), outcomes: s.outcomes.Plus(now, load.outcomes), pace: s.pace.Plus(now, load.pace),
		recent: capacity.NewRecentTokens(now, s.recent.Tokens(now)+load.recent.Tokens(now)), decode: s.decode.Plus(now, load.decode),
	}
	r.byPeer[peer] = load
}

// drop subtracts the load of a gateway.
func (r *referenceSum) drop(now time.Time, peer string) {
	r.set(now, peer, endpointLoad{})
	delete(r.byPeer, peer)
}

// referenceCandidates returns the candidates in their plain form: everything is looked up and counted anew.
func referenceCandidates(p *placer, now time.Time, v *view, q query, sums map[string]*referenceSum) []capacity.Candidate {
	by := holders{n: 1}
	for name, seen := range p.shareHolders {
		if name != p.cfg.Name && (now.Sub(seen) <= coldShareTTL || v.listsGateway(name)) {
			by.n++
			if name < p.cfg.Name {
				by.rank++
			}
		}
	}
	var held withheld
	var all []capacity.Candidate
	for _, e := range v.endpoints[q.service.Name] {
		s, peers := p.states[e.ID], sums[e.ID].sum
		tokens := s.recent.Tokens(now) + peers.recent.Tokens(now)
		speed := p.speed(q.service.Name)
		c := capacity.Candidate{
			ID: e.ID, Decode: capacity.EstimateDecode(now, &s.decode.pace, &peers.decode), Outstanding: s.outstanding.Plus(peers.outstanding),
			Health: capacity.Health{Factor: s.pace.Plus(now, peers.pace).Factor(now), FailureRate: s.failures.Rate(now)}, Slots: e.Slots, Busy: speed.Busy(tokens), Strict: true,
			FailureRate: s.outcomes.Plus(now, peers.outcomes).FailureRate(now), Remote: e.FailureDomain != p.cfg.FailureDomain,
			Memory: q.service.Engine.CacheTokens, Preempts: true,
		}
		c.SharedTokens = s.held.SharedTokens(now, q.work, capacity.OtherRequests{Requests: peers.outstanding.Requests, Gateways: by.n - 1})
		p.prompt = p.holders.Of(now, q.work, capacity.PromptHolders{})
		p.countCached(now, &c, s, &e, tokens)
		if p.exclusionOf(now, &q, &e, s, &peers, false, sharers{all: by, reaching: by}, &held) == included {
			all = append(all, c)
		}
	}
	capacity.NormalizePace(all)
	return all
}

// TestCandidatesEqualReference guards against candidates that are computed from a kept look-up, count or sum which is stale: reports,
// restarted endpoints, requests and gateways that come and go change what it depends on.
func TestCandidatesEqualReference(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var endpoints []fleet.Endpoint
		sums := map[string]*referenceSum{}
		for i := range 1 + rng.IntN(12) {
			e := fleet.Endpoint{ID: fmt.Sprint("engine-", i), Born: 1, Service: "model", Slots: 64, State: fleet.Ready}
			endpoints, sums[e.ID] = append(endpoints, e), &referenceSum{byPeer: map[string]endpointLoad{}}
		}
		placers, v, r, s := newPlacers(t, 1+rng.IntN(5), endpoints...)
		p, now := placers[0], time.Now()
		p.startedAt = now.Add(-time.Hour)
		for step := range int64(400) {
			now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
			q, at := testQuery(r, s), rng.IntN(len(endpoints))
			q.work.Parts = []capacity.Part{{ID: fmt.Sprint("part-", rng.IntN(5)), Tokens: 400}, {ID: "own", Tokens: 600}}
			switch id := endpoints[at].ID; rng.IntN(10) {
			case 0, 1, 2, 3:
				o := &wiregen.EndpointOutstanding{
					Endpoint: id, Requests: rng.Int32N(9), HeldTokens: rng.Int64N(90_000), RecentTokens: rng.Float64() * 9000, RecentEnded: rng.Float64() * 5,
					RecentFailed: rng.Float64(), PaceRatios: rng.Float32() * 4, PaceCount: rng.Float32() * 3, Waiting: []int64{rng.Int64N(4)},
					DecodeRatios: rng.Float32() * 9, DecodeSquares: rng.Float32() * 9, DecodeCount: rng.Float32() * 9,
					SlowDecodeRatios: rng.Float32() * 9, SlowDecodeCount: rng.Float32() * 9, PromptTokens: []int64{0, rng.Int64N(9000)},
				}
				m := &wiregen.OutstandingReport{Gateway: fmt.Sprint("peer-", rng.IntN(3)), Born: 1, Sequence: step + 1, Outstanding: []*wiregen.EndpointOutstanding{o}, Whole: rng.IntN(4) == 0}
				if !p.updatePeer(now, m) {
					t.Fatalf("seed %d: report %d was dropped", seed, step)
				}
				for _, sum := range sums {
					if _, reported := sum.byPeer[m.Gateway]; reported && m.Whole {
						sum.drop(now, m.Gateway)
					}
				}
				sums[id].set(now, m.Gateway, decodeEndpointLoad(now, o))
			case 4:
				v = &view{table: v.table, endpoints: v.endpoints, gateways: v.gateways[:1+rng.IntN(len(placers))]}
			case 5:
				all := append([]fleet.Endpoint{}, v.endpoints["model"]...)
				all[at].Born++
				v = &view{table: v.table, endpoints: map[string][]fleet.Endpoint{"model": all}, gateways: v.gateways}
			case 6:
				q.tried[id] = true
			case 7:
				// Another gateway may know of a restart first.
				if s := p.states[id]; s != nil {
					p.state(&fleet.Endpoint{ID: id, Born: s.born + 1})
				}
			case 8:
				now = now.Add(time.Duration(rng.IntN(15)) * time.Second)
			default:
			}
			p.sweptAt = now
			got, _, _ := p.localCandidates(now, v, q, false)
			if want := referenceCandidates(p, now, v, q, sums); !slices.Equal(got, want) {
				t.Fatalf("seed %d, step %d: %s", seed, step, cmp.Diff(want, got, cmp.AllowUnexported(capacity.Retention{})))
			}
			if d := p.decide(now, v, q); d.verdict != capacity.Refuse {
				a := p.begin(now, "model", q.work, d)
				if rng.IntN(2) == 0 {
					a.end(now, ending(rng.IntN(3)))
				}
			}
		}
	}
}
