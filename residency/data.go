package residency

import (
	"slices"

	"arbutusreel/inventory"
)

// Kinds of inventory items that restrict data to regions.
const (
	kindTeam   = "team"
	kindLabel  = "label"
	kindRegion = "region"
)

// Labels returns the labels of a request and those of its team in the inventory, or *RefusedError if the team is
// unknown.
func Labels(inv *inventory.Inventory, team string, labels []string) ([]string, error) {
	t, ok := inv.Team(team)
	if !ok {
		return nil, &RefusedError{Kind: kindTeam, Name: team, Reason: "no team has this name"}
	}
	all := slices.Clone(labels)
	for _, name := range t.Labels {
		if !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	return all, nil
}

// CheckData returns *RefusedError unless data of the team with the labels may be in the region.
//
// Both the labels of the data and those of the team in the inventory apply, so
// that a sender with an older inventory cannot omit one.
func CheckData(inv *inventory.Inventory, team string, labels []string, region string) error {
	if _, ok := inv.Region(region); !ok {
		return &RefusedError{Region: region, Kind: kindRegion, Name: region, Reason: "no region has this name"}
	}
	all, err := Labels(inv, team, labels)
	if err != nil {
		return err
	}
	for _, name := range all {
		label, ok := inv.Label(name)
		if !ok {
			return &RefusedError{Region: region, Kind: kindLabel, Name: name, Reason: "no label has this name"}
		}
		if !slices.Contains(label.AllowedRegions, region) {
			return &RefusedError{Region: region, Kind: kindLabel, Name: name, Reason: "the label does not allow the region"}
		}
	}
	return nil
}
