package fleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Independent returns at most n of the other gateways of a region, to be asked for what self may have missed. Those that
// get reports by other ways than self go first: gateways of other failure domains, and of these the ones to which self is
// not linked. They are taken from different failure domains while there are any.
func Independent(self Gateway, others []Gateway, n int) []Gateway {
	links := NewLinks(self, others)
	linked := map[string]bool{}
	for _, g := range slices.Concat(links.Row, links.Column, links.Domains) {
		linked[g.Name] = true
	}
	class := func(g Gateway) int {
		c := 0
		if g.FailureDomain == self.FailureDomain {
			c += 2
		}
		if linked[g.Name] {
			c++
		}
		return c
	}
	candidates := slices.Clone(others)
	slices.SortFunc(candidates, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(pairWeight(self, b), pairWeight(self, a)), strings.Compare(a.Name, b.Name))
	})
	var chosen []Gateway
	for len(chosen) < min(n, len(others)) {
		i := slices.IndexFunc(candidates, func(g Gateway) bool {
			return !slices.ContainsFunc(chosen, func(c Gateway) bool { return c.FailureDomain == g.FailureDomain })
		})
		i = max(i, 0)
		chosen, candidates = append(chosen, candidates[i]), slices.Delete(candidates, i, i+1)
	}
	return chosen
}

// pairWeight is the weight of another gateway in rendezvous hashing.
func pairWeight(self, other Gateway) uint64 {
	return xxhash.Sum64String(self.Name + "\x00" + other.Name)
}
