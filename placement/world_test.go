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
	// loadGrace is the time beyond the load time after which a planner counts a load as failed; see Config.LoadGrace.
	loadGrace = 30 * time.Second
)

// emulatedEngine is an engine that carries out an order after a delay.
type emulatedEngine struct {
	placement.Endpoint
	// next are the names that the engine serves from loadedAt.
	next     []string
	loadedAt time.Time
	// expires is the time from which the planner may count the load as failed.
	expires time.Time
	// previous is the state of the previous period, which a late announcement still shows.
	previous placement.Endpoint
}

// world is a set of engines under a planner.
type world struct {
	t           *rapid.T
	now         time.Time
	inventory   *inventory.Inventory
	engines     []*emulatedEngine
	demands     []placement.Demand
	planner     *placement.Planner
	storeFreeAt map[string]time.Time
	orders      int64
	delay       func() time.Duration
	late        func() bool
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
	w := &world{t: t, now: start, inventory: drawInventory(t), planner: placement.New(placement.DefaultConfig(period)), storeFreeAt: map[string]time.Time{}}
	w.delay = func() time.Duration { return time.Duration(rapid.IntRange(0, 90).Draw(t, "delay")) * time.Second }
	w.late = func() bool { return rapid.IntRange(0, 3).Draw(t, "late") == 0 }
	for _, r := range w.inventory.Contents().Regions {
		for i := range rapid.IntRange(0, 5).Draw(t, "engines") {
			models := w.inventory.Contents().Models
			held := rapid.SliceOfNDistinct(rapid.SampledFrom(models), 1, min(2, len(models)), func(m inventory.Model) string { return m.Name }).Draw(t, "held")
			w.engines = append(w.engines, &emulatedEngine{Endpoint: placement.Endpoint{
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

// step applies finished loads, makes a decision, and checks and applies each change.
func (w *world) step() []placement.Change {
	w.now = w.now.Add(period)
	v := placement.View{Inventory: w.inventory, Demands: w.demands}
	for _, e := range w.engines {
		if e.next != nil && !w.now.Before(e.loadedAt) {
			e.Models, e.Loading, e.next = e.next, nil, nil
		}
		shown := e.Endpoint
		if e.previous.Name != "" && w.late() {
			shown = e.previous
		}
		e.previous = e.Endpoint
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

// servedName returns the name that callers request for a held name.
func servedName(held string) string {
	served, _, _ := strings.Cut(held, "@")
	return served
}

// retained returns the names that an engine keeps serving while it carries out an order.
func retained(held, ordered []string) []string {
	kept := slices.DeleteFunc(slices.Clone(held), func(name string) bool { return !slices.Contains(ordered, name) })
	return slices.DeleteFunc(kept, func(name string) bool {
		model, adapter, _ := split(name)
		return adapter != "" && !slices.ContainsFunc(kept, func(other string) bool { return servedName(other) == model })
	})
}

// toLoad returns the names that an engine has to load for an order.
func toLoad(held, ordered []string) []string {
	kept := retained(held, ordered)
	return slices.DeleteFunc(slices.Clone(ordered), func(name string) bool { return slices.Contains(kept, name) })
}

// find returns the engine of that name.
func (w *world) find(name string) *emulatedEngine {
	i := slices.IndexFunc(w.engines, func(e *emulatedEngine) bool { return e.Name == name })
	return w.engines[i]
}

// check checks a change against the inventory and the present state of the engines.
func (w *world) check(c placement.Change) {
	e := w.find(c.Endpoint)
	if len(e.Loading) > 0 && w.now.Before(e.expires) {
		w.t.Errorf("endpoint %q is ordered to hold %v while it loads %v", e.Name, c.Models, e.Loading)
	}
	for _, name := range toLoad(e.Models, c.Models) {
		w.checkLoad(c, name)
	}
	w.checkWeightStore(c, e)
	for _, name := range e.Models {
		if served := servedName(name); w.allowed(served, c.Region) && !serves(retained(e.Models, c.Models), served) {
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

// checkOthers checks that enough other engines serve a name that the endpoint unloads.
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

// loadDuration returns the time that the weight store takes for an order, at one byte a second.
func (w *world) loadDuration(e *emulatedEngine, ordered []string) time.Duration {
	var total int64
	for _, name := range toLoad(e.Models, ordered) {
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

// checkWeightStore checks that the weight store of a region serves one load at a time.
func (w *world) checkWeightStore(c placement.Change, e *emulatedEngine) {
	load := w.loadDuration(e, c.Models)
	if load == 0 {
		return
	}
	if w.now.Before(w.storeFreeAt[c.Region]) {
		w.t.Errorf("region %q loads %q before the weight store has served the previous load", c.Region, c.Load)
	}
	w.storeFreeAt[c.Region] = w.now.Add(load)
}

// allowed is an independent oracle of residency for a model or an adapter.
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

// apply makes the engine unload names at once and serve the new ones after a delay.
func (w *world) apply(c placement.Change) {
	e := w.find(c.Endpoint)
	load := w.loadDuration(e, c.Models)
	w.orders++
	e.Order = fencing.Number{Term: 1, Sequence: w.orders}
	e.Loading = toLoad(e.Models, c.Models)
	e.Models = retained(e.Models, c.Models)
	e.next, e.loadedAt, e.expires = c.Models, w.now.Add(max(w.delay(), load)), w.now.Add(load+loadGrace)
}
