package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"arbutusreel/inventory"
	"arbutusreel/placement"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const period = 5 * time.Second

// emulated is an engine that loads models after a while.
type emulated struct {
	placement.Endpoint
	next []string
	at   time.Time
}

// world is a set of engines under a planner.
type world struct {
	t         *rapid.T
	now       time.Time
	inventory *inventory.Inventory
	engines   []*emulated
	demands   []placement.Demand
	planner   *placement.Planner
	lastLoad  map[string]time.Time
	delay     func() time.Duration
}

func drawInventory(t *rapid.T) *inventory.Inventory {
	c := inventory.Contents{Classes: []inventory.Class{{Name: "c", Patience: 1}}}
	var regions, models []string
	for i := range rapid.IntRange(1, 3).Draw(t, "regions") {
		regions = append(regions, fmt.Sprintf("r%d", i))
		c.Regions = append(c.Regions, inventory.Region{Name: regions[i], CostPerThousandTokens: rapid.Float64Range(0.01, 0.1).Draw(t, "cost")})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "models") {
		models = append(models, fmt.Sprintf("m%d", i))
		allowed := rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, len(regions), rapid.ID[string]).Draw(t, "allowed")
		c.Models = append(c.Models, inventory.Model{Name: models[i], AllowedRegions: allowed, WeightBytes: int64(rapid.IntRange(0, 20).Draw(t, "weights"))})
	}
	c.Services = []inventory.Service{{Name: "s", Models: models, MinEndpointsPerModel: rapid.IntRange(0, 2).Draw(t, "minimum")}}
	c.Rules = inventory.Rules{
		Headroom:                  rapid.Float64Range(0, 0.3).Draw(t, "headroom"),
		MaxPlacementChanges:       rapid.IntRange(0, 3).Draw(t, "maxChanges"),
		WeightStoreBytesPerSecond: 1,
	}
	inv, err := inventory.New(c)
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

func drawWorld(t *rapid.T) *world {
	w := &world{t: t, now: start, inventory: drawInventory(t), planner: placement.New(placement.DefaultConfig(period)), lastLoad: map[string]time.Time{}}
	w.delay = func() time.Duration { return time.Duration(rapid.IntRange(0, 90).Draw(t, "delay")) * time.Second }
	var models []string
	for _, m := range w.inventory.Contents().Models {
		models = append(models, m.Name)
	}
	for _, r := range w.inventory.Contents().Regions {
		for i := range rapid.IntRange(0, 5).Draw(t, "engines") {
			held := rapid.SliceOfNDistinct(rapid.SampledFrom(models), 1, min(2, len(models)), rapid.ID[string]).Draw(t, "held")
			w.engines = append(w.engines, &emulated{Endpoint: placement.Endpoint{
				Name: fmt.Sprintf("%s-e%d", r.Name, i), Region: r.Name, FailureDomain: fmt.Sprintf("%s-%d", r.Name, i%2), Service: "s",
				Models: held, Capacity: len(held), TokensPerSecond: 100,
			}})
		}
	}
	w.drawDemands()
	return w
}

func (w *world) drawDemands() {
	w.demands = nil
	for _, r := range w.inventory.Contents().Regions {
		for _, m := range w.inventory.Contents().Models {
			rate := rapid.Float64Range(0, 300).Draw(w.t, "demand")
			w.demands = append(w.demands, placement.Demand{Region: r.Name, Service: "s", Model: m.Name, TokensPerSecond: rate})
		}
	}
}

// step applies finished loads, decides, checks every change against the engines, and starts it.
func (w *world) step() []placement.Change {
	w.now = w.now.Add(period)
	v := placement.View{Inventory: w.inventory, Demands: w.demands}
	for _, e := range w.engines {
		if e.next != nil && !w.now.Before(e.at) {
			e.Models, e.next = e.next, nil
		}
		v.Endpoints = append(v.Endpoints, e.Endpoint)
	}
	changes := w.planner.Decide(w.now, v)
	if n, most := w.planner.Pending(), w.inventory.Rules().MaxPlacementChanges; n > most {
		w.t.Fatalf("%d changes pending, at most %d", n, most)
	}
	for _, c := range changes {
		w.check(c)
		w.apply(c)
	}
	return changes
}

// check holds a change against the inventory and what the engines serve at this moment.
func (w *world) check(c placement.Change) {
	if c.Load != "" {
		if !w.allowed(c.Load, c.Region) {
			w.t.Errorf("model %q is loaded in region %q, which it does not allow", c.Load, c.Region)
		}
		w.checkStore(c)
	}
	for _, model := range c.Unload {
		if !w.allowed(model, c.Region) {
			continue
		}
		others := 0
		for _, e := range w.engines {
			if e.Name != c.Endpoint && e.Region == c.Region && slices.Contains(e.Models, model) && (e.next == nil || slices.Contains(e.next, model)) {
				others++
			}
		}
		if least := max(w.inventory.Contents().Services[0].MinEndpointsPerModel, 1); others < least {
			w.t.Errorf("endpoint %q unloads %q and leaves %d copies, at least %d are required", c.Endpoint, model, others, least)
		}
	}
}

// checkStore checks that the loads of a region do not overlap.
func (w *world) checkStore(c placement.Change) {
	m, _ := w.inventory.Model(c.Load)
	if m.WeightBytes == 0 {
		return
	}
	if w.now.Before(w.lastLoad[c.Region]) {
		w.t.Errorf("region %q loads %q before the weight store has served the load before", c.Region, c.Load)
	}
	w.lastLoad[c.Region] = w.now.Add(time.Duration(m.WeightBytes) * time.Second)
}

func (w *world) allowed(model, region string) bool {
	m, ok := w.inventory.Model(model)
	return ok && (len(m.AllowedRegions) == 0 || slices.Contains(m.AllowedRegions, region))
}

// apply makes the engine give up models at once and load the new one after a while.
func (w *world) apply(c placement.Change) {
	for _, e := range w.engines {
		if e.Name == c.Endpoint {
			e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m string) bool { return slices.Contains(c.Unload, m) })
			e.next, e.at = c.Models, w.now.Add(w.delay())
		}
	}
}

// TestChangesAreSafe checks residency, minimum copies, the bound on changes and the weight store under changing demand, inventories and engines.
func TestChangesAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				w.drawDemands()
			case 1:
				if len(w.engines) > 0 {
					i := rapid.IntRange(0, len(w.engines)-1).Draw(t, "lost")
					w.engines = slices.Delete(w.engines, i, i+1)
				}
			}
			w.step()
		}
	})
}

// TestConverges checks that steady demand ends in no more changes.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
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

// checkMinimum checks that no model lacks copies while another one of the region has one to spare.
func (w *world) checkMinimum() {
	least := w.inventory.Contents().Services[0].MinEndpointsPerModel
	if w.inventory.Rules().MaxPlacementChanges == 0 || least == 0 {
		return
	}
	for _, r := range w.inventory.Contents().Regions {
		copies := map[string]int{}
		for _, e := range w.engines {
			if e.Region == r.Name {
				for _, m := range e.Models {
					copies[m]++
				}
			}
		}
		for _, m := range w.inventory.Contents().Models {
			if !w.allowed(m.Name, r.Name) || copies[m.Name] >= least {
				continue
			}
			for _, e := range w.engines {
				spare := slices.ContainsFunc(e.Models, func(held string) bool { return copies[held] > least })
				if e.Region == r.Name && !slices.Contains(e.Models, m.Name) && (spare || len(e.Models) < e.Capacity) {
					w.t.Errorf("region %q has %d copies of %q while %q has room or one to spare: %v", r.Name, copies[m.Name], m.Name, e.Name, e.Models)
				}
			}
		}
	}
}

// fixedWorld is one region with two models and engines that hold one model each.
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
		{"short of b", []string{"a", "a", "b"}, demand(50, 250), []placement.Reason{placement.Short}},
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

// TestMakesBeforeBreaking checks that an endpoint keeps a model until the endpoint that loads it has announced it.
func TestMakesBeforeBreaking(t *testing.T) {
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

// TestNeedMustLast checks that a need that comes and goes changes nothing.
func TestNeedMustLast(t *testing.T) {
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

// BenchmarkDecide measures one decision over growing fleets with 13 models.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ regions, engines int }{{3, 30}, {9, 270}, {21, 2100}, {21, 6195}} {
		c := inventory.Contents{Classes: []inventory.Class{{Name: "c", Patience: 1}}, Services: []inventory.Service{{Name: "s", MinEndpointsPerModel: 1}}}
		for i := range 13 {
			c.Models = append(c.Models, inventory.Model{Name: fmt.Sprintf("m%d", i), WeightBytes: 1})
			c.Services[0].Models = append(c.Services[0].Models, c.Models[i].Name)
		}
		v := placement.View{}
		for i := range size.regions {
			region := fmt.Sprintf("r%d", i)
			c.Regions = append(c.Regions, inventory.Region{Name: region})
			for j := range size.engines / size.regions {
				v.Endpoints = append(v.Endpoints, placement.Endpoint{
					Name: fmt.Sprintf("%s-%d", region, j), Region: region, Service: "s", Models: []string{c.Models[j%13].Name}, Capacity: 1, TokensPerSecond: 100,
				})
			}
			for j, m := range c.Models {
				v.Demands = append(v.Demands, placement.Demand{Region: region, Service: "s", Model: m.Name, TokensPerSecond: float64(j*size.engines/size.regions) / 60 * 100})
			}
		}
		c.Rules = inventory.Rules{MaxPlacementChanges: 10, WeightStoreBytesPerSecond: 1000, Headroom: 0.1}
		inv, err := inventory.New(c)
		if err != nil {
			b.Fatal(err)
		}
		v.Inventory = inv
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			for b.Loop() {
				placement.New(placement.DefaultConfig(period)).Decide(start, v)
			}
		})
	}
}
