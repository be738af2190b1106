package placement_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"arbutusreel/fencing"
	"arbutusreel/inventory"
	"arbutusreel/placement"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	period = 5 * time.Second
	// grace is the time that a planner adds to a load's own before it counts the load as failed.
	grace = 30 * time.Second
)

// emulated is an engine that loads after a while what it is ordered to.
type emulated struct {
	placement.Endpoint
	next []string
	at   time.Time
	// due is when the planner may give its load up.
	due time.Time
	// told is what the engine was a period ago, which a late announcement still shows.
	told placement.Endpoint
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
	orders    int64
	delay     func() time.Duration
	late      func() bool
}

func drawInventory(t *rapid.T) *inventory.Inventory {
	c := inventory.Contents{Classes: []inventory.Class{{Name: "c", Patience: 1}}}
	var regions, models, adapters []string
	for i := range rapid.IntRange(1, 3).Draw(t, "regions") {
		regions = append(regions, fmt.Sprintf("r%d", i))
		c.Regions = append(c.Regions, inventory.Region{Name: regions[i], CostPerThousandTokens: rapid.Float64Range(0.01, 0.1).Draw(t, "cost")})
	}
	some := func(what string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, len(regions), rapid.ID[string]).Draw(t, what)
	}
	weights := func() int64 { return int64(rapid.IntRange(0, 20).Draw(t, "weights")) }
	for i := range rapid.IntRange(1, 4).Draw(t, "models") {
		m := inventory.Model{Name: fmt.Sprintf("m%d", i), AllowedRegions: some("allowed"), WeightBytes: weights()}
		models = append(models, m.Name)
		if rapid.Bool().Draw(t, "versioned") {
			m.Versions = []string{"v1", "v2"}
			m.Version = rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version")
		}
		if rapid.Bool().Draw(t, "adapted") {
			m.Adapters = []string{"a"}
			adapters = append(adapters, m.Name+":a")
			c.Adapters = append(c.Adapters, inventory.Adapter{Model: m.Name, Name: "a", AllowedRegions: some("adapterAllowed"), WeightBytes: weights()})
		}
		c.Models = append(c.Models, m)
	}
	c.Services = []inventory.Service{{Name: "s", Models: append(adapters, models...), MinEndpointsPerModel: rapid.IntRange(0, 2).Draw(t, "minimum")}}
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
	w.late = func() bool { return rapid.IntRange(0, 3).Draw(t, "late") == 0 }
	for _, r := range w.inventory.Contents().Regions {
		for i := range rapid.IntRange(0, 5).Draw(t, "engines") {
			models := w.inventory.Contents().Models
			held := rapid.SliceOfNDistinct(rapid.SampledFrom(models), 1, min(2, len(models)), func(m inventory.Model) string { return m.Name }).Draw(t, "held")
			w.engines = append(w.engines, &emulated{Endpoint: placement.Endpoint{
				Name: fmt.Sprintf("%s-e%d", r.Name, i), Region: r.Name, FailureDomain: fmt.Sprintf("%s-%d", r.Name, i%2), Service: "s",
				Models: w.drawHeld(held), Capacity: len(held), TokensPerSecond: 100,
			}})
		}
	}
	w.drawDemands()
	return w
}

// drawHeld returns the names of the models with versions and adapters.
func (w *world) drawHeld(models []inventory.Model) []string {
	var names []string
	for _, m := range models {
		name := m.Name
		if len(m.Versions) > 0 {
			name += rapid.SampledFrom([]string{"", "@v1", "@v2"}).Draw(w.t, "heldVersion")
		}
		names = append(names, name)
		if len(m.Adapters) > 0 && rapid.Bool().Draw(w.t, "heldAdapter") {
			names = append(names, m.Name+":a")
		}
	}
	return names
}

func (w *world) drawDemands() {
	w.demands = nil
	for _, r := range w.inventory.Contents().Regions {
		for _, name := range w.inventory.Contents().Services[0].Models {
			rate := rapid.Float64Range(0, 300).Draw(w.t, "demand")
			w.demands = append(w.demands, placement.Demand{Region: r.Name, Service: "s", Model: name, TokensPerSecond: rate})
		}
	}
}

// drawVersions puts other versions in force.
func (w *world) drawVersions() {
	c := w.inventory.Contents()
	c.Models = slices.Clone(c.Models)
	for i := range c.Models {
		if len(c.Models[i].Versions) > 0 {
			c.Models[i].Version = rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(w.t, "version")
		}
	}
	inv, err := inventory.New(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.inventory = inv
}

// step applies finished loads, decides, checks every change against the engines, and starts it.
func (w *world) step() []placement.Change {
	w.now = w.now.Add(period)
	v := placement.View{Inventory: w.inventory, Demands: w.demands}
	for _, e := range w.engines {
		if e.next != nil && !w.now.Before(e.at) {
			e.Models, e.Loading, e.next = e.next, nil, nil
		}
		shown := e.Endpoint
		if e.told.Name != "" && w.late() {
			shown = e.told
		}
		e.told = e.Endpoint
		v.Endpoints = append(v.Endpoints, shown)
	}
	changes := w.planner.Decide(w.now, v)
	if n, most := w.planner.Pending(), w.inventory.Rules().MaxPlacementChanges; len(changes) > 0 && n > most {
		w.t.Fatalf("%d changes pending, at most %d", n, most)
	}
	for _, c := range changes {
		w.check(c)
		w.apply(c)
	}
	return changes
}

// split returns the parts of a held name.
func split(held string) (model, adapter, version string) {
	rest, version, _ := strings.Cut(held, "@")
	model, adapter, _ = strings.Cut(rest, ":")
	return model, adapter, version
}

// servedName returns a held name as callers ask for it.
func servedName(held string) string {
	served, _, _ := strings.Cut(held, "@")
	return served
}

// left returns what an engine goes on to serve while it carries out an order.
func left(held, ordered []string) []string {
	kept := slices.DeleteFunc(slices.Clone(held), func(name string) bool { return !slices.Contains(ordered, name) })
	return slices.DeleteFunc(kept, func(name string) bool {
		model, adapter, _ := split(name)
		return adapter != "" && !slices.ContainsFunc(kept, func(other string) bool { return servedName(other) == model })
	})
}

// added returns what an engine has to load for an order.
func added(held, ordered []string) []string {
	kept := left(held, ordered)
	return slices.DeleteFunc(slices.Clone(ordered), func(name string) bool { return slices.Contains(kept, name) })
}

// find returns the engine of that name.
func (w *world) find(name string) *emulated {
	i := slices.IndexFunc(w.engines, func(e *emulated) bool { return e.Name == name })
	return w.engines[i]
}

// check holds a change against the inventory and what the engines serve at this moment.
func (w *world) check(c placement.Change) {
	e := w.find(c.Endpoint)
	if len(e.Loading) > 0 && w.now.Before(e.due) {
		w.t.Errorf("endpoint %q is ordered to hold %v while it loads %v", e.Name, c.Models, e.Loading)
	}
	for _, name := range added(e.Models, c.Models) {
		w.checkLoad(c, name)
	}
	w.checkStore(c, e)
	for _, name := range e.Models {
		if served := servedName(name); w.allowed(served, c.Region) && !serves(left(e.Models, c.Models), served) {
			w.checkOthers(c, served)
		}
	}
}

// checkLoad checks that a name may be loaded in the region, is in force, and comes after its model.
func (w *world) checkLoad(c placement.Change, name string) {
	model, adapter, version := split(name)
	if !w.allowed(servedName(name), c.Region) {
		w.t.Errorf("%q is loaded in region %q, which it does not allow", name, c.Region)
	}
	if m, _ := w.inventory.Model(model); adapter == "" && version != m.Version {
		w.t.Errorf("%q is loaded while version %q is in force", name, m.Version)
	}
	i := slices.Index(c.Models, name)
	if adapter != "" && !serves(c.Models[:i], model) {
		w.t.Errorf("%q is loaded without its model: %v", name, c.Models)
	}
}

// checkOthers checks that enough others serve what the endpoint gives up.
func (w *world) checkOthers(c placement.Change, served string) {
	others := 0
	for _, e := range w.engines {
		if e.Name != c.Endpoint && e.Region == c.Region && serves(e.Models, served) {
			others++
		}
	}
	if least := max(w.inventory.Contents().Services[0].MinEndpointsPerModel, 1); others < least {
		w.t.Errorf("endpoint %q unloads %q and leaves %d copies, at least %d are required", c.Endpoint, served, others, least)
	}
}

func serves(held []string, served string) bool {
	return slices.ContainsFunc(held, func(name string) bool { return servedName(name) == served })
}

// bytes returns the weights that an engine has to load for an order.
func (w *world) bytes(e *emulated, ordered []string) time.Duration {
	var total int64
	for _, name := range added(e.Models, ordered) {
		model, adapter, _ := split(name)
		if adapter != "" {
			a, _ := w.inventory.Adapter(model, adapter)
			total += a.WeightBytes
			continue
		}
		m, _ := w.inventory.Model(model)
		total += m.WeightBytes
	}
	return time.Duration(total) * time.Second
}

// checkStore checks that the loads of a region do not overlap.
func (w *world) checkStore(c placement.Change, e *emulated) {
	load := w.bytes(e, c.Models)
	if load == 0 {
		return
	}
	if w.now.Before(w.lastLoad[c.Region]) {
		w.t.Errorf("region %q loads %q before the weight store has served the load before", c.Region, c.Load)
	}
	w.lastLoad[c.Region] = w.now.Add(load)
}

// allowed is a plain oracle of residency for a model or an adapter.
func (w *world) allowed(served, region string) bool {
	model, adapter, _ := split(served)
	m, ok := w.inventory.Model(model)
	if !ok || len(m.AllowedRegions) > 0 && !slices.Contains(m.AllowedRegions, region) {
		return false
	}
	for _, a := range w.inventory.Contents().Adapters {
		if adapter != "" && a.Model == model && a.Name == adapter {
			return len(a.AllowedRegions) == 0 || slices.Contains(a.AllowedRegions, region)
		}
	}
	return adapter == ""
}

// apply makes the engine give up names at once and load the new ones after a while.
func (w *world) apply(c placement.Change) {
	e := w.find(c.Endpoint)
	load := w.bytes(e, c.Models)
	w.orders++
	e.Order = fencing.Number{Term: 1, Sequence: w.orders}
	e.Loading = added(e.Models, c.Models)
	e.Models = left(e.Models, c.Models)
	e.next, e.at, e.due = c.Models, w.now.Add(max(w.delay(), load)), w.now.Add(load+grace)
}
