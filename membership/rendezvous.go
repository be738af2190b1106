package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the n names with the highest weight for the key by rendezvous hashing (Thaler and Ravishankar,
// Using Name-Based Mappings to Increase Hit Rates, 1998). Adding or removing a name moves only the keys assigned to it.
func Rendezvous(key string, names []string, n int) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return sorted[:min(n, len(sorted))]
}

func weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
