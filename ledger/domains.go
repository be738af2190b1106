package ledger

import (
	"maps"
	"slices"
)

// Placement is how the replicas of a region lie in its failure domains.
type Placement struct {
	// Fatal is the first domain whose loss leaves fewer replicas than a majority, or "" if no known domain is such.
	Fatal string
	// Better holds replicas none of whose domains is fatal, or nothing if the region has too few domains; as many as can stay the same.
	Better []string
}

// Place judges the replicas in the slots by the failure domains of the region's instances; a replica whose domain is not known counts in none.
func Place(slots []string, domains map[string]string) Placement {
	fatal := fatalDomain(slots, domains)
	if fatal == "" {
		return Placement{}
	}
	return Placement{Fatal: fatal, Better: spread(slots, domains)}
}

// fatalDomain returns the first domain in order that holds more replicas than a majority can miss.
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

// spread takes replicas until each domain holds as many as a majority can miss, the present ones first.
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
