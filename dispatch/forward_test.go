package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/residency"
	"arbutusreel/stream"
)

// visits records where a request has been.
type visits struct {
	crossings int
	// recrossings counts the forwards of requests that had crossed regions before.
	recrossings int
	ran         []string
}

// staleForwarder forwards a request to any instance of the region.
type staleForwarder struct {
	from  Hop
	all   map[string][]*Dispatcher
	visit *visits
	rng   *rand.Rand
}

func (f *staleForwarder) ForwardModel(ctx context.Context, region string, r Request, sink stream.Sink) (stream.End, error) {
	f.visit.crossings++
	if crossings(r.Via, region) > 1 {
		f.visit.recrossings++
	}
	list := f.all[region]
	return list[f.rng.IntN(len(list))].Generate(ctx, r, sink)
}

func (f *staleForwarder) ForwardCall(context.Context, string, Request) (Reply, error) {
	return Reply{}, nil
}

type refusingModels struct {
	self  Hop
	visit *visits
}

func (m refusingModels) Generate(context.Context, membership.Endpoint, Request, Attempt, stream.Sink) (stream.End, error) {
	m.visit.ran = append(m.visit.ran, m.self.Region)
	return stream.End{}, problem.New(problem.NoCapacity, http.StatusServiceUnavailable, "full")
}

func (refusingModels) RefusesConnections(context.Context, membership.Endpoint) bool { return false }

func (refusingModels) Connects(context.Context, membership.Endpoint) bool { return true }

// instanceView is what a randomly drawn instance knows of endpoints and regions.
type instanceView struct {
	hasEngine    bool
	knownRegions []bool
}

// regionView is a randomly drawn region's residency rule and instances.
type regionView struct {
	allowed   []string
	instances []instanceView
}

func newTopology(rt *rapid.T) map[string]regionView {
	views := map[string]regionView{}
	for _, region := range regionNames {
		others := rapid.SliceOfDistinct(rapid.SampledFrom(regionNames), func(s string) string { return s }).Draw(rt, "allowed")
		v := regionView{allowed: append(others, region)}
		for range rapid.IntRange(1, 3).Draw(rt, "instances") {
			v.instances = append(v.instances, instanceView{
				hasEngine:    rapid.Bool().Draw(rt, "engine"),
				knownRegions: rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(rt, "knownRegions"),
			})
		}
		views[region] = v
	}
	return views
}

// TestStaleViewsForwardOnce sends a request into random topologies whose instances have stale and contradictory views
// and inventories: the request ends, is forwarded across regions at most once on each path, and runs in allowed
// regions only.
func TestStaleViewsForwardOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := newTopology(rt)
		var failure string
		synctest.Test(t, func(*testing.T) {
			visit := &visits{}
			all := map[string][]*Dispatcher{}
			inventories := map[string]*inventory.Inventory{}
			for _, region := range regionNames {
				c := contents()
				c.Labels = []inventory.Label{{Name: "diet", AllowedRegions: draw[region].allowed}}
				inventories[region] = mustInventory(c)
				for i, known := range draw[region].instances {
					self := Hop{Instance: fmt.Sprintf("entry-%s-%d", region, i), Region: region}
					view := staticView{inv: inventories[region]}
					if known.hasEngine {
						view.endpoints = []membership.Endpoint{newFakeEngine("engine-"+region, region, 8, 0).endpoint}
					}
					for n, other := range regionNames {
						if known.knownRegions[n] {
							view.summaries = append(view.summaries, membership.Summary{Region: other, Service: "menu-model", Models: []string{"dastarkhwan-menu"}, Endpoints: 1, Slots: 8, At: time.Now()})
						}
					}
					forward := &staleForwarder{from: self, all: all, visit: visit, rng: rand.New(rand.NewPCG(1, 1))}
					d := New(self, view, refusingModels{self: self, visit: visit}, nil, forward, expected(rand.NewPCG(1, 1)), time.Now, rand.NewPCG(1, 2), zerolog.Nop())
					all[region] = append(all[region], d)
				}
			}
			r := request("r", 5, "plan", time.Minute)
			r.Labels = []string{"diet"}
			if _, err := run(all["lahore"][0], r); err == nil {
				failure = "the request was answered"
			}
			// The first instance makes at most four attempts, and none of the others forwards the request.
			if visit.crossings > 4 || visit.recrossings > 0 {
				failure = fmt.Sprintf("the request was forwarded %d times, %d times after it had crossed", visit.crossings, visit.recrossings)
			}
			for _, region := range visit.ran {
				if !residency.Allows(inventories[region], r.Subject(), region) || !residency.Allows(inventories["lahore"], r.Subject(), region) {
					failure = fmt.Sprintf("the request ran in region %q", region)
				}
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// TestReceiverChecks sends requests that a faulty peer could send: the receiver must refuse each one by its own
// checks.
func TestReceiverChecks(t *testing.T) {
	c := contents()
	c.Labels = []inventory.Label{{Name: "diet", AllowedRegions: []string{"karachi"}}}
	tests := []struct {
		name   string
		via    []Hop
		labels []string
		want   problem.Code
	}{
		{"passed before", []Hop{{Instance: "entry", Region: "lahore"}}, nil, problem.LoopRefused},
		{"crossed twice", []Hop{{Instance: "a", Region: "karachi"}, {Instance: "b", Region: "peshawar"}}, nil, problem.LoopRefused},
		{"came back", []Hop{{Instance: "a", Region: "lahore"}, {Instance: "b", Region: "karachi"}}, nil, problem.LoopRefused},
		{"not allowed here", []Hop{{Instance: "a", Region: "karachi"}}, []string{"diet"}, problem.ResidencyRefused},
		{"label unknown here", []Hop{{Instance: "a", Region: "karachi"}}, []string{"unknown"}, problem.ResidencyRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view := staticView{inv: mustInventory(c)}
			d := New(Hop{Instance: "entry", Region: "lahore"}, view, nil, nil, nil, expected(rand.NewPCG(1, 1)), time.Now, rand.NewPCG(1, 2), zerolog.Nop())
			r := request("r", 5, "plan", time.Minute)
			r.Via, r.Labels = tt.via, tt.labels
			_, err := run(d, r)
			var p *problem.Problem
			if !errors.As(err, &p) || p.Code != tt.want || p.Outcome != problem.NotRun {
				t.Errorf("error %v, want code %q", err, tt.want)
			}
		})
	}
}
