package ledger

import (
	"maps"
	"slices"
)

// Placement describes how the replicas of a region are spread over its failure domains.
type Placement struct {
	// FatalDomain is the first domain whose loss leaves fewer replicas than a majority, or "" if there is no such domain.
	FatalDomain string
	// Alternative holds slots for which no domain is fatal, or nothing if the region has too few domains. It keeps as many
	// of the present slots as possible.
	Alternative []string
}

// CheckPlacement evaluates the slots by the failure domains of the region's instances; domains maps an instance to its
// domain. A replica whose domain is not known counts in none.
func CheckPlacement(slots []string, domains map[string]string) Placement {
	fatal := fatalDomain(slots, domains)
	if fatal == "" {
		return Placement{}
	}
	return Placement{FatalDomain: fatal, Alternative: spread(slots, domains)}
}

// fatalDomain returns the alphabetically first domain that holds more replicas than a majority can spare, or "".
func fatalDomain(slots []string, domains map[string]string) string {
	counts := map[string]int{}
	for _, slot := range slots {
		if domain := domains[slot]; domain != "" {
			counts[domain]++
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(counts)) {
		if counts[domain] > len(slots)-Quorum(len(slots)) {
			return domain
		}
	}
	return ""
}

// spread selects as many slots as there are now, with no more in any domain than a majority can spare. It tries the
// present slots first, and returns nil if the domains are too few.
func spread(slots []string, domains map[string]string) []string {
	var chosen []string
	counts := map[string]int{}
	for _, name := range append(slices.Sorted(slices.Values(slots)), slices.Sorted(maps.Keys(domains))...) {
		domain := domains[name]
		full := counts[domain] >= len(slots)-Quorum(len(slots))
		if domain == "" || full || len(chosen) == len(slots) || slices.Contains(chosen, name) {
			continue
		}
		counts[domain]++
		chosen = append(chosen, name)
	}
	if len(chosen) < len(slots) {
		return nil
	}
	return slices.Sorted(slices.Values(chosen))
}
