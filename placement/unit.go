package placement

import (
	"slices"

	"arbutusreel/inventory"
	"arbutusreel/residency"
)

// Indexes without a unit.
const (
	// notOffered is the unit index of a name that the service may not offer in the region.
	notOffered = -1
	// noModel is the model index of a unit that is a model itself.
	noModel = -1
)

// unit is a model or adapter that a service offers in a region.
type unit struct {
	// name is the name that callers request, and versionedName the name that engines announce for the version in force.
	name          string
	versionedName string
	// model is the index of the adapter's model, or noModel.
	model int
	// versioned is set if a version of the model is in force.
	versioned   bool
	loadSeconds float64
	// need is the demand to be met, in tokens a second.
	need float64
}

// holding is a name as an endpoint announces it, with the index of its unit.
type holding struct {
	name    string
	unit    int
	adapter bool
}

// loadOrder returns the sort key by which models are loaded before adapters.
func (h holding) loadOrder() int {
	if h.adapter {
		return 1
	}
	return 0
}

// offeredUnits returns the units that the service may offer in the region, models before adapters.
func offeredUnits(inv *inventory.Inventory, s inventory.Service, region string) []unit {
	var units []unit
	for _, adapters := range []bool{false, true} {
		for _, name := range s.Models {
			isAdapter := inventory.ParseName(name).Adapter != ""
			if isAdapter != adapters || indexOf(units, name) >= 0 {
				continue
			}
			if residency.Allows(inv, residency.Subject{Service: s.Name, Model: name}, region) {
				units = append(units, newUnit(inv, name, units))
			}
		}
	}
	return units
}

// newUnit returns the unit of a name. If it is an adapter, units must contain its model; a service offers the model
// wherever it offers the adapter.
func newUnit(inv *inventory.Inventory, name string, units []unit) unit {
	n := inventory.ParseName(name)
	u := unit{name: name, versionedName: name, model: noModel, loadSeconds: loadSeconds(inv, name)}
	if n.Adapter != "" {
		u.model = indexOf(units, n.Model)
		return u
	}
	if m, _ := inv.Model(n.Model); m.Version != "" {
		u.versionedName, u.versioned = n.WithVersion(m.Version).String(), true
	}
	return u
}

// indexOf returns the index of the unit of that name, or notOffered.
func indexOf(units []unit, name string) int {
	return slices.IndexFunc(units, func(u unit) bool { return u.name == name })
}

// loadSeconds returns the time in seconds that the weight store takes to serve a name, or zero if its rate is
// unlimited.
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
