package residency_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"arbutusreel/inventory"
	"arbutusreel/residency"
)

// world is an inventory as plain tables, which the oracle evaluates.
type world struct {
	regions []string
	labels  map[string][]string
	models  map[string][]string
	// adapters holds the allowed regions of the adapter x of a model; a model without an entry has no adapter.
	adapters map[string][]string
	services map[string][]string
	teams    map[string][]string
}

func drawWorld(t *rapid.T) world {
	w := world{labels: map[string][]string{}, models: map[string][]string{}, adapters: map[string][]string{}, services: map[string][]string{}, teams: map[string][]string{}}
	for i := range rapid.IntRange(1, 5).Draw(t, "regions") {
		w.regions = append(w.regions, fmt.Sprintf("r%d", i))
	}
	some := func(from []string, least int, what string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(from), least, len(from), rapid.ID[string]).Draw(t, what)
	}
	var labels []string
	for i := range rapid.IntRange(1, 4).Draw(t, "labels") {
		name := fmt.Sprintf("l%d", i)
		labels = append(labels, name)
		w.labels[name] = some(w.regions, 1, name)
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "models") {
		name := fmt.Sprintf("m%d", i)
		w.models[name] = some(w.regions, 0, name)
		if rapid.Bool().Draw(t, "adapted") {
			w.adapters[name] = some(w.regions, 0, name+":x")
		}
		w.services["s"+name] = some(w.regions, 0, "s"+name)
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "teams") {
		name := fmt.Sprintf("t%d", i)
		w.teams[name] = some(labels, 0, name)
	}
	return w
}

func (w world) inventory(t *rapid.T) *inventory.Inventory {
	c := inventory.Contents{Classes: []inventory.Class{{Name: "c", Patience: 1}}}
	for _, r := range w.regions {
		c.Regions = append(c.Regions, inventory.Region{Name: r})
	}
	for name, regions := range w.labels {
		c.Labels = append(c.Labels, inventory.Label{Name: name, AllowedRegions: regions})
	}
	for name, regions := range w.models {
		m := inventory.Model{Name: name, AllowedRegions: regions}
		if bounds, ok := w.adapters[name]; ok {
			m.Adapters = []string{"x"}
			if len(bounds) > 0 {
				c.Adapters = append(c.Adapters, inventory.Adapter{Model: name, Name: "x", AllowedRegions: bounds})
			}
		}
		c.Models = append(c.Models, m)
		c.Services = append(c.Services, inventory.Service{Name: "s" + name, Models: []string{name}, AllowedRegions: w.services["s"+name]})
	}
	digit := 0
	for name, labels := range w.teams {
		digit++
		c.Teams = append(c.Teams, inventory.Team{
			Name: name, HomeRegion: w.regions[0], DefaultClass: "c", Labels: labels,
			CredentialDigest: strings.Repeat(fmt.Sprintf("%02x", digit), 32),
		})
	}
	inv, err := inventory.New(c)
	if err != nil {
		t.Fatalf("inventory: %v", err)
	}
	return inv
}

// oracle reports whether a region is left after it has removed every region that some table forbids. If run is set, the
// tables of services, models and adapters apply too. It is independent of the package under test.
func (w world) oracle(team string, s residency.Subject, region string, run bool) bool {
	permitted := map[string]bool{}
	for _, r := range w.regions {
		permitted[r] = true
	}
	forbid := func(table map[string][]string, name string, emptyAllows bool) {
		allowed, defined := table[name]
		for r := range permitted {
			if !defined || (!slices.Contains(allowed, r) && (!emptyAllows || len(allowed) > 0)) {
				permitted[r] = false
			}
		}
	}
	for _, l := range s.Labels {
		forbid(w.labels, l, false)
	}
	if team != "" {
		teamLabels, defined := w.teams[team]
		for _, l := range teamLabels {
			forbid(w.labels, l, false)
		}
		if !defined {
			return false
		}
	}
	if run && s.Service != "" {
		forbid(w.services, s.Service, true)
	}
	if run && s.Model != "" {
		model, adapter, _ := strings.Cut(s.Model, ":")
		forbid(w.models, model, true)
		if adapter != "" {
			forbid(w.adapters, model, true)
		}
	}
	return permitted[region]
}

var modelNames = []string{"", "m0", "m1", "m2", "m0:x", "m1:x", "absent", "absent:x"}

func drawSubject(t *rapid.T) residency.Subject {
	names := []string{"l0", "l1", "l2", "l3", "absent"}
	return residency.Subject{
		Labels:  rapid.SliceOfN(rapid.SampledFrom(names), 0, 3).Draw(t, "subjectLabels"),
		Service: rapid.SampledFrom([]string{"", "sm0", "sm1", "sm2", "absent"}).Draw(t, "service"),
		Model:   rapid.SampledFrom(modelNames).Draw(t, "model"),
	}
}

func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		inv := w.inventory(t)
		s := drawSubject(t)
		team := rapid.SampledFrom([]string{"t0", "t1", "t2", "absent"}).Draw(t, "team")
		for _, region := range append(slices.Clone(w.regions), "absent") {
			for _, model := range modelNames {
				bare := residency.Subject{Model: model}
				if got, want := residency.Allows(inv, bare, region), w.oracle("", bare, region, true); got != want {
					t.Errorf("Allows(%+v, %q) = %v, oracle %v", bare, region, got, want)
				}
			}
			if got, want := residency.Allows(inv, s, region), w.oracle("", s, region, true); got != want {
				t.Errorf("Allows(%+v, %q) = %v, oracle %v", s, region, got, want)
			}
			checkAgainst(t, residency.CheckData(inv, team, s.Labels, region), w.oracle(team, s, region, false), "CheckData", region)
			if got := slices.Contains(residency.Allowed(inv, s), region); got != w.oracle("", s, region, true) {
				t.Errorf("Allowed(%+v) holds %q: %v", s, region, got)
			}
		}
	})
}

func checkAgainst(t *rapid.T, err error, want bool, function, region string) {
	var refused *residency.RefusedError
	if err != nil && !errors.As(err, &refused) {
		t.Fatalf("%s returned %T", function, err)
	}
	if (err == nil) != want {
		t.Errorf("%s in region %q returned %v, oracle %v", function, region, err, want)
	}
}

// TestRuleChange checks that data may pass to another region only if the inventories of sender and receiver both
// allow it, whichever is older.
func TestRuleChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawWorld(t)
		after := drawWorld(t)
		s := drawSubject(t)
		team := rapid.SampledFrom([]string{"t0", "t1"}).Draw(t, "team")
		region := rapid.SampledFrom(after.regions).Draw(t, "region")
		sender, receiver := before.inventory(t), after.inventory(t)
		allowed := residency.CheckData(sender, team, s.Labels, region) == nil && residency.CheckData(receiver, team, s.Labels, region) == nil
		both := before.oracle(team, s, region, false) && after.oracle(team, s, region, false)
		if allowed != both {
			t.Errorf("transfer allowed %v, oracle of both %v", allowed, both)
		}
	})
}
