package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// relaysPerRegion is the number of entries in each region that follow the control voters.
const relaysPerRegion = 2

// Rank returns the distinct items by descending rendezvous hash with a key.
func Rank(key string, items []string) []string {
	ranked := slices.Clone(items)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return slices.Compact(ranked)
}

func weight(key, item string) uint64 { return xxhash.Sum64String(key + "\x00" + item) }

// Sources returns the addresses from which the instance at self may follow
// revisions, in order of preference. Peers are the live entries of its region,
// others the addresses to try last. A relay prefers the voters, any other entry
// the relays; both fall back to all other addresses.
func Sources(region, self string, peers, voters, others []string) []string {
	ranked := Rank(region, append(slices.Clone(peers), self))
	relays := ranked[:min(relaysPerRegion, len(ranked))]
	var sources []string
	if !slices.Contains(relays, self) {
		sources = append(sources, Rank(self, relays)...)
	}
	sources = append(sources, Rank(self, voters)...)
	sources = append(sources, Rank(self, ranked)...)
	sources = append(sources, Rank(self, others)...)
	return unique(sources, self)
}

// unique returns the items without duplicates and without the given one.
func unique(items []string, without string) []string {
	seen := map[string]bool{without: true}
	var kept []string
	for _, item := range items {
		if !seen[item] {
			seen[item] = true
			kept = append(kept, item)
		}
	}
	return kept
}
