package placement

import (
	"slices"

	"arbutusreel/inventory"
	"arbutusreel/residency"
)

// Indexes that stand for no unit.
const (
	// notOffered is the unit of a name that the inventory does not allow where it is held.
	notOffered = -1
	// noModel is the model of a unit that is a model itself.
	noModel = -1
)

// unit is a name that a service offers in a region: a model or an adapter of one.
type unit struct {
	// name is what callers ask for, and held how an engine names what is in force.
	name string
	held string
	// model is the index of the adapter's model, or noModel.
	model int
	// versioned says that a version of the model is in force.
	versioned   bool
	loadSeconds float64
	// need is the demand to be met, in tokens a second.
	need float64
}

// holding is a name that an endpoint holds, with its unit.
type holding struct {
	held    string
	unit    int
	adapter bool
}

// rank orders what an engine loads: models before adapters.
func (h holding) rank() int {
	if h.adapter {
		return 1
	}
	return 0
}

// unitsOf returns what the service may offer in the region, the models before the adapters.
func unitsOf(inv *inventory.Inventory, s inventory.Service, region string) []unit {
	var units []unit
	for _, adapters := range []bool{false, true} {
		for _, name := range s.Models {
			isAdapter := inventory.ParseName(name).Adapter != ""
			if isAdapter != adapters || indexOf(units, name) >= 0 {
				continue
			}
			if residency.Allows(inv, residency.Subject{Service: s.Name, Model: name}, region) {
				units = append(units, unitOf(inv, name, units))
			}
		}
	}
	return units
}

// unitOf returns the unit of a name; an adapter's model, which the service offers wherever it offers the adapter, is among
// the units.
func unitOf(inv *inventory.Inventory, name string, units []unit) unit {
	n := inventory.ParseName(name)
	u := unit{name: name, held: name, model: noModel, loadSeconds: loadSeconds(inv, name)}
	if n.Adapter != "" {
		u.model = indexOf(units, n.Model)
		return u
	}
	if m, _ := inv.Model(n.Model); m.Version != "" {
		u.held, u.versioned = n.WithVersion(m.Version).String(), true
	}
	return u
}

// indexOf returns the index of the unit of that name, or notOffered.
func indexOf(units []unit, name string) int {
	return slices.IndexFunc(units, func(u unit) bool { return u.name == name })
}

// loadSeconds returns how long the weight store takes to serve a name, or zero if its rate is not limited.
func loadSeconds(inv *inventory.Inventory, name string) float64 {
	rate := inv.Rules().WeightStoreBytesPerSecond
	if rate <= 0 {
		return 0
	}
	n := inventory.ParseName(name)
	if n.Adapter != "" {
		a, _ := inv.Adapter(n.Model, n.Adapter)
		return float64(a.WeightBytes) / float64(rate)
	}
	m, _ := inv.Model(n.Model)
	return float64(m.WeightBytes) / float64(rate)
}
