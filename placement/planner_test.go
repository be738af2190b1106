package placement_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"arbutusreel/inventory"
	"arbutusreel/placement"
)

// TestChangesAreSafe checks residency, minimum copies, the limit of pending changes, versions, the weight store, and
// that no engine gets a second order during a load, while demand, versions, engines and leaders change.
func TestChangesAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				w.drawDemands()
			case 1:
				if len(w.engines) > 0 {
					i := rapid.IntRange(0, len(w.engines)-1).Draw(t, "lost")
					w.engines = slices.Delete(w.engines, i, i+1)
				}
			case 2:
				w.drawVersions()
			case 3:
				w.planner = placement.New(placement.DefaultConfig(period))
			}
			w.step()
		}
	})
}

// TestConverges checks that no more changes are made after some time of steady demand.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		w.late = func() bool { return false }
		for range 400 {
			w.step()
		}
		for range 50 {
			if changes := w.step(); len(changes) > 0 {
				t.Fatalf("still changing after 400 periods of steady demand: %+v", changes)
			}
		}
		w.checkMinimum()
	})
}

// checkMinimum checks that no model lacks copies and no old version stays while an endpoint could be changed to
// correct it.
func (w *world) checkMinimum() {
	least := w.inventory.Contents().Services[0].MinEndpointsPerModel
	if w.inventory.Rules().MaxPlacementChanges == 0 {
		return
	}
	for _, r := range w.inventory.Contents().Regions {
		copies := map[string]int{}
		for _, e := range w.engines {
			if e.Region == r.Name {
				for _, name := range e.Models {
					copies[servedName(name)]++
				}
			}
		}
		for _, e := range w.engines {
			if e.Region == r.Name {
				w.checkCopies(e, copies, least)
				w.checkVersions(e, copies, max(least, 1))
			}
		}
	}
}

// canUnload reports whether the engine holds a model that, with its adapters, has more than the least number of copies.
func canUnload(e *emulatedEngine, copies map[string]int, least int) bool {
	return slices.ContainsFunc(e.Models, func(name string) bool {
		model, adapter, _ := split(name)
		return adapter == "" && copies[model] > least && (copies[model+":a"] > least || !serves(e.Models, model+":a"))
	})
}

// checkCopies checks that the engine could not load a name that has too few copies.
func (w *world) checkCopies(e *emulatedEngine, copies map[string]int, least int) {
	for _, name := range w.inventory.Contents().Services[0].Models {
		if !w.allowed(name, e.Region) || copies[name] >= least || serves(e.Models, name) {
			continue
		}
		model, adapter, _ := split(name)
		models := len(slices.DeleteFunc(slices.Clone(e.Models), func(held string) bool { return strings.Contains(held, ":") }))
		if adapter != "" && serves(e.Models, model) || models < e.Capacity || canUnload(e, copies, max(least, 1)) {
			w.t.Errorf("region %q has %d copies of %q while %q could load it: %v", e.Region, copies[name], name, e.Name, e.Models)
		}
	}
}

// checkVersions checks that the engine holds no outdated version of a model that more than least engines serve.
func (w *world) checkVersions(e *emulatedEngine, copies map[string]int, least int) {
	for _, name := range e.Models {
		model, _, version := split(name)
		m, _ := w.inventory.Model(model)
		if version == "" || m.Version == "" || version == m.Version || !w.allowed(model, e.Region) {
			continue
		}
		if copies[model] > least && (copies[model+":a"] > least || !serves(e.Models, model+":a")) {
			w.t.Errorf("endpoint %q still holds %q while version %q is in force and others hold the model", e.Name, name, m.Version)
		}
	}
}

// fixedWorld returns a view of one region with two models and engines that hold one model each, and its planner.
func fixedWorld(t *testing.T, held ...string) (placement.View, *placement.Planner) {
	t.Helper()
	inv, err := inventory.New(inventory.Contents{
		Regions:  []inventory.Region{{Name: "r"}},
		Models:   []inventory.Model{{Name: "a"}, {Name: "b"}},
		Services: []inventory.Service{{Name: "s", Models: []string{"a", "b"}, MinEndpointsPerModel: 1}},
		Classes:  []inventory.Class{{Name: "c", Patience: 1}},
		Rules:    inventory.Rules{MaxPlacementChanges: 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	v := placement.View{Inventory: inv}
	for i, model := range held {
		v.Endpoints = append(v.Endpoints, placement.Endpoint{
			Name: fmt.Sprintf("e%d", i), Region: "r", Service: "s", Models: []string{model}, Capacity: 1, TokensPerSecond: 100,
		})
	}
	return v, placement.New(placement.DefaultConfig(period))
}

func decide(p *placement.Planner, v placement.View, periods int) []placement.Change {
	var changes []placement.Change
	for i := range periods {
		changes = append(changes, p.Decide(start.Add(time.Duration(i)*period), v)...)
	}
	return changes
}

func TestReasons(t *testing.T) {
	demand := func(a, b float64) []placement.Demand {
		return []placement.Demand{
			{Region: "r", Service: "s", Model: "a", TokensPerSecond: a},
			{Region: "r", Service: "s", Model: "b", TokensPerSecond: b},
		}
	}
	tests := []struct {
		name    string
		held    []string
		demands []placement.Demand
		want    []placement.Reason
	}{
		{"nothing to do", []string{"a", "b"}, demand(50, 50), nil},
		{"below minimum", []string{"a", "a"}, demand(50, 0), []placement.Reason{placement.BelowMinimum}},
		{"no copy to spare", []string{"a"}, demand(0, 500), nil},
		{"last copy of a busy model is kept", []string{"a", "b"}, demand(0, 500), nil},
		{"short of b", []string{"a", "a", "b"}, demand(50, 250), []placement.Reason{placement.DemandAboveSupply}},
		{"gain too small", []string{"a", "a", "b"}, demand(150, 155), nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, p := fixedWorld(t, test.held...)
			v.Demands = test.demands
			var got []placement.Reason
			for _, c := range decide(p, v, 4) {
				got = append(got, c.Reason)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("reasons (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLoadsBeforeUnloading checks that an endpoint keeps a model until the endpoint that loads it has announced it.
func TestLoadsBeforeUnloading(t *testing.T) {
	v, p := fixedWorld(t, "a", "b", "b")
	v.Demands = []placement.Demand{{Region: "r", Service: "s", Model: "a", TokensPerSecond: 250}, {Region: "r", Service: "s", Model: "b", TokensPerSecond: 20}}
	changes := decide(p, v, 4)
	if len(changes) != 1 || changes[0].Load != "a" {
		t.Fatalf("changes for more of a: %+v", changes)
	}
	loading := changes[0].Endpoint
	for i := range v.Endpoints {
		if v.Endpoints[i].Name == loading {
			v.Endpoints[i].Models = nil
		}
	}
	v.Demands = []placement.Demand{{Region: "r", Service: "s", Model: "a", TokensPerSecond: 20}, {Region: "r", Service: "s", Model: "b", TokensPerSecond: 900}}
	if changes := decide(p, v, 5); len(changes) > 0 {
		t.Errorf("changes before the load is announced: %+v", changes)
	}
	for i := range v.Endpoints {
		if v.Endpoints[i].Name == loading {
			v.Endpoints[i].Models = []string{"a"}
		}
	}
	if changes := decide(p, v, 5); len(changes) != 1 || changes[0].Load != "b" {
		t.Errorf("changes after the load is announced: %+v", changes)
	}
}

// rolloutStep is a change of a rollout.
type rolloutStep struct {
	Endpoint string
	Models   []string
	LoadTime time.Duration
}

// TestVersionRollsOut checks the order in which engines get the version in force of a model with an adapter: two
// engines are not upgraded at once if one of them has to serve the adapter, and a spare engine is used if only one
// holds the model.
func TestVersionRollsOut(t *testing.T) {
	inv, err := inventory.New(inventory.Contents{
		Regions: []inventory.Region{{Name: "r"}},
		Models: []inventory.Model{
			{Name: "a", Versions: []string{"v1", "v2"}, Version: "v2", Adapters: []string{"x"}, WeightBytes: 5},
			{Name: "b"},
		},
		Adapters: []inventory.Adapter{{Model: "a", Name: "x", WeightBytes: 10}},
		Services: []inventory.Service{{Name: "s", Models: []string{"a", "a:x", "b"}, MinEndpointsPerModel: 1}},
		Classes:  []inventory.Class{{Name: "c", Patience: 1}},
		Rules:    inventory.Rules{MaxPlacementChanges: 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	slow, err := inv.WithRules(inventory.Rules{MaxPlacementChanges: 2, WeightStoreBytesPerSecond: 1})
	if err != nil {
		t.Fatal(err)
	}
	both := []string{"a@v2", "a:x"}
	tests := []struct {
		name string
		inv  *inventory.Inventory
		held [][]string
		want []rolloutStep
	}{
		{"by a spare engine", slow, [][]string{{"a@v1", "a:x"}, {"b"}, {"b"}}, []rolloutStep{
			{Endpoint: "e1", Models: both, LoadTime: 15 * time.Second},
			{Endpoint: "e0", Models: both, LoadTime: 15 * time.Second},
		}},
		{"the adapter is served all along", inv, [][]string{{"a@v1", "a:x"}, {"a@v1", "a:x"}, {"a@v1", "b"}, {"b"}}, []rolloutStep{
			{Endpoint: "e0", Models: both},
			{Endpoint: "e2", Models: []string{"b", "a@v2"}},
			{Endpoint: "e1", Models: both},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, p := fixedWorld(t, make([]string, len(test.held))...)
			v.Inventory = test.inv
			for i, held := range test.held {
				v.Endpoints[i].Models = held
			}
			if diff := cmp.Diff(test.want, rollOut(p, v)); diff != "" {
				t.Errorf("changes (-want +got):\n%s", diff)
			}
		})
	}
}

// rollOut returns the changes of 20 periods; each engine announces a change after one period.
func rollOut(p *placement.Planner, v placement.View) []rolloutStep {
	var steps []rolloutStep
	for i := range 20 {
		changes := p.Decide(start.Add(time.Duration(i)*period), v)
		v.Endpoints = slices.Clone(v.Endpoints)
		for _, c := range changes {
			steps = append(steps, rolloutStep{Endpoint: c.Endpoint, Models: c.Models, LoadTime: c.LoadTime})
			for j := range v.Endpoints {
				if v.Endpoints[j].Name == c.Endpoint {
					v.Endpoints[j].Models = c.Models
				}
			}
		}
	}
	return steps
}

// TestNeedMustPersist checks that a need which appears only in every second period causes no change.
func TestNeedMustPersist(t *testing.T) {
	v, p := fixedWorld(t, "a", "a", "b")
	steady := placement.Demand{Region: "r", Service: "s", Model: "a", TokensPerSecond: 50}
	quiet := []placement.Demand{steady}
	peak := []placement.Demand{steady, {Region: "r", Service: "s", Model: "b", TokensPerSecond: 250}}
	for i := range 20 {
		v.Demands = quiet
		if i%2 == 0 {
			v.Demands = peak
		}
		if changes := p.Decide(start.Add(time.Duration(i)*period), v); len(changes) > 0 {
			t.Fatalf("changes in period %d: %+v", i, changes)
		}
	}
}

func TestForecastFollowsTrend(t *testing.T) {
	var f placement.Forecast
	for i := range 121 {
		f = f.Observe(start.Add(time.Duration(i)*period), float64(i)*10*period.Seconds())
	}
	now := start.Add(120 * period)
	if got := f.Rate(now); got < 1150 || got > 1250 {
		t.Errorf("rate now %.0f, asked 1200", got)
	}
	if got := f.Rate(now.Add(time.Minute)); got < 1250 || got > 1400 {
		t.Errorf("rate in a minute %.0f, on the line 1320", got)
	}
}
