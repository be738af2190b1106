package fleet

import (
	"math"
	"slices"
	"strings"
)

// Links are the gateways to which a gateway sends reports directly. The gateways of a failure domain form a grid in the
// order of their names, with as many columns as rows or one more, so that the number of links grows with the square root
// of the number of gateways.
//
// A report that is sent along the row and the column, and from each receiver in the row along its column, reaches all
// gateways of the failure domain. Those of other domains get it from one gateway of their own domain, which passes it on
// like its own reports, so that it crosses between two domains once.
type Links struct {
	Row, Column []Gateway
	// Domains holds one gateway of each other failure domain of the region.
	Domains []Gateway
}

// NewLinks returns the links of self to the other gateways of its region.
func NewLinks(self Gateway, others []Gateway) Links {
	domains := map[string][]Gateway{self.FailureDomain: {self}}
	var names []string
	for _, g := range others {
		if domains[g.FailureDomain] == nil {
			names = append(names, g.FailureDomain)
		}
		domains[g.FailureDomain] = append(domains[g.FailureDomain], g)
	}
	slices.Sort(names)
	for _, members := range domains {
		slices.SortFunc(members, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	}
	own := domains[self.FailureDomain]
	i := slices.IndexFunc(own, func(g Gateway) bool { return g.Name == self.Name })
	links := gridLinks(own, i)
	for _, name := range names {
		links.Domains = append(links.Domains, domains[name][i%len(domains[name])])
	}
	return links
}

// gridLinks returns the links of the i-th member within the grid. A column that the last row lacks is represented in it
// by the member of the row before.
func gridLinks(members []Gateway, i int) Links {
	columns := int(math.Ceil(math.Sqrt(float64(len(members)))))
	row, column := i/columns, i%columns
	var links Links
	for c := range columns {
		j := row*columns + c
		if j >= len(members) {
			j -= columns
		}
		if j >= 0 && c != column {
			links.Row = append(links.Row, members[j])
		}
	}
	for j := column; j < len(members); j += columns {
		if j != i {
			links.Column = append(links.Column, members[j])
		}
	}
	return links
}
