package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"arbutusreel/inventory"
	"arbutusreel/placement"
)

// fleet returns engines that hold 13 models in equal numbers, under demand that rises from model to model.
func fleet(b *testing.B, regions, engines int) placement.View {
	b.Helper()
	c := inventory.Contents{Classes: []inventory.Class{{Name: "c", Patience: 1}}, Services: []inventory.Service{{Name: "s", MinEndpointsPerModel: 1}}}
	for i := range 13 {
		c.Models = append(c.Models, inventory.Model{Name: fmt.Sprintf("m%d", i), WeightBytes: 1})
		c.Services[0].Models = append(c.Services[0].Models, c.Models[i].Name)
	}
	v := placement.View{}
	for i := range regions {
		region := fmt.Sprintf("r%d", i)
		c.Regions = append(c.Regions, inventory.Region{Name: region})
		for j := range engines / regions {
			v.Endpoints = append(v.Endpoints, placement.Endpoint{
				Name: fmt.Sprintf("%s-%d", region, j), Region: region, Service: "s", Models: []string{c.Models[j%13].Name}, Capacity: 1, TokensPerSecond: 100,
			})
		}
		for j, m := range c.Models {
			v.Demands = append(v.Demands, placement.Demand{Region: region, Service: "s", Model: m.Name, TokensPerSecond: float64(j*engines/regions) / 60 * 100})
		}
	}
	c.Rules = inventory.Rules{MaxPlacementChanges: 10, WeightStoreBytesPerSecond: 1000, Headroom: 0.1}
	inv, err := inventory.New(c)
	if err != nil {
		b.Fatal(err)
	}
	v.Inventory = inv
	return v
}

// rollout returns the fleet with a new version of every model in force and an adapter of each, which every second
// engine holds.
func rollout(b *testing.B, v placement.View) placement.View {
	b.Helper()
	c := v.Inventory.Contents()
	c.Models = slices.Clone(c.Models)
	c.Services = slices.Clone(c.Services)
	for i := range c.Models {
		m := &c.Models[i]
		m.Versions, m.Version, m.Adapters = []string{"v1", "v2"}, "v2", []string{"a"}
		c.Services[0].Models = append(c.Services[0].Models, m.Name+":a")
	}
	inv, err := inventory.New(c)
	if err != nil {
		b.Fatal(err)
	}
	v.Inventory = inv
	v.Endpoints = slices.Clone(v.Endpoints)
	for i := range v.Endpoints {
		name := v.Endpoints[i].Models[0]
		v.Endpoints[i].Models = []string{name + "@v1"}
		if i%2 == 0 {
			v.Endpoints[i].Models = append(v.Endpoints[i].Models, name+":a")
		}
	}
	for _, d := range slices.Clone(v.Demands) {
		d.Model += ":a"
		v.Demands = append(v.Demands, d)
	}
	return v
}

// BenchmarkDecide measures one decision over fleets of growing size: the first one, which orders no change for a need
// that has not persisted yet; one without that wait, which orders at most MaxPlacementChanges changes; and the same in
// a rollout with adapters.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ regions, engines int }{{3, 30}, {9, 270}, {21, 2100}, {21, 6195}} {
		v := fleet(b, size.regions, size.engines)
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			for b.Loop() {
				placement.New(placement.DefaultConfig(period)).Decide(start, v)
			}
		})
		b.Run(fmt.Sprintf("ordering/engines=%d", size.engines), func(b *testing.B) {
			cfg := placement.DefaultConfig(period)
			cfg.Persistence = 0
			for b.Loop() {
				placement.New(cfg).Decide(start, v)
			}
		})
		upgraded := rollout(b, v)
		b.Run(fmt.Sprintf("rollout/engines=%d", size.engines), func(b *testing.B) {
			cfg := placement.DefaultConfig(period)
			cfg.Persistence = 0
			for b.Loop() {
				placement.New(cfg).Decide(start, upgraded)
			}
		})
	}
}
