package fleet

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// regionGateways returns gateways of one region, with the given number in each failure domain.
func regionGateways(sizes []int) []Gateway {
	var all []Gateway
	for d, n := range sizes {
		for i := range n {
			all = append(all, Gateway{Name: fmt.Sprintf("gateway-%d-%d", d, i), FailureDomain: fmt.Sprintf("domain-%d", d)})
		}
	}
	return all
}

// linksOf returns the links of each gateway, by name.
func linksOf(all []Gateway) map[string]Links {
	links := map[string]Links{}
	for i, g := range all {
		others := append(append([]Gateway(nil), all[:i]...), all[i+1:]...)
		links[g.Name] = NewLinks(g, others)
	}
	return links
}

// receivers returns how often each gateway receives a report of the origin.
func receivers(links map[string]Links, origin string) map[string]int {
	got := map[string]int{}
	alongColumn := func(name string) {
		for _, g := range links[name].Column {
			got[g.Name]++
		}
	}
	withinDomain := func(name string) {
		alongColumn(name)
		for _, g := range links[name].Row {
			got[g.Name]++
			alongColumn(g.Name)
		}
	}
	withinDomain(origin)
	for _, g := range links[origin].Domains {
		got[g.Name]++
		withinDomain(g.Name)
	}
	return got
}

// TestLinks checks that each report reaches all gateways of a region with any number of gateways in its failure domains,
// that it crosses between two domains once, and that the number of links grows with the square root of the gateways.
func TestLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 40), 1, 4).Draw(t, "sizes")
		all := regionGateways(sizes)
		links := linksOf(all)
		for _, origin := range all {
			got := receivers(links, origin.Name)
			for _, g := range all {
				if g.Name == origin.Name {
					continue
				}
				if n := got[g.Name]; n < 1 || n > 2 {
					t.Fatalf("%s got a report of %s %d times", g.Name, origin.Name, n)
				}
			}
			l := links[origin.Name]
			most := 0
			for _, n := range sizes {
				most = max(most, n)
			}
			if n, limit := len(l.Row)+len(l.Column), 2*int(math.Ceil(math.Sqrt(float64(most)))); n > limit || len(l.Domains) != len(sizes)-1 {
				t.Fatalf("%s has %d links in its domain and %d to others", origin.Name, n, len(l.Domains))
			}
		}
	})
}

func BenchmarkLinks(b *testing.B) {
	for _, n := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := regionGateways([]int{n / 2, n / 2})
			for range b.N {
				NewLinks(all[0], all[1:])
			}
		})
	}
}
