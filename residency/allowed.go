package residency

import (
	"slices"

	"arbutusreel/inventory"
)

// Subject is a request or its data; an empty Service or Model adds no restriction, and Model may be MODEL:ADAPTER.
type Subject struct {
	Labels  []string
	Service string
	Model   string
}

// Allows reports whether the subject may be handled in the region; a region that the inventory lacks is not allowed.
func Allows(inv *inventory.Inventory, s Subject, region string) bool {
	if _, ok := inv.Region(region); !ok {
		return false
	}
	return labelsAllow(inv, s.Labels, region) && serviceAllows(inv, s.Service, region) && modelAllows(inv, s.Model, region)
}

// Allowed returns the regions in which the subject may be handled, in inventory order.
func Allowed(inv *inventory.Inventory, s Subject) []string {
	var regions []string
	for _, r := range inv.Contents().Regions {
		if Allows(inv, s, r.Name) {
			regions = append(regions, r.Name)
		}
	}
	return regions
}

func labelsAllow(inv *inventory.Inventory, labels []string, region string) bool {
	for _, name := range labels {
		label, ok := inv.Label(name)
		if !ok || !slices.Contains(label.AllowedRegions, region) {
			return false
		}
	}
	return true
}

func serviceAllows(inv *inventory.Inventory, name, region string) bool {
	if name == "" {
		return true
	}
	service, ok := inv.Service(name)
	return ok && allowsRegion(service.AllowedRegions, region)
}

func modelAllows(inv *inventory.Inventory, name, region string) bool {
	if name == "" {
		return true
	}
	n := inventory.ParseName(name)
	model, ok := inv.Model(n.Model)
	if !ok || !allowsRegion(model.AllowedRegions, region) {
		return false
	}
	if n.Adapter == "" {
		return true
	}
	adapter, ok := inv.Adapter(n.Model, n.Adapter)
	return ok && allowsRegion(adapter.AllowedRegions, region)
}

// allowsRegion reports whether a list contains the region; an empty list allows every region.
func allowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
