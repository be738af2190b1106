package fairness

import (
	"cmp"
	"slices"
)

// floorShare is the part of its max-min fair share without priorities that a team of low priority keeps.
const floorShare = 0.25

// Demand is what a team of a priority asks for.
type Demand struct {
	Team     string
	Priority int
	Asked    float64
}

// Shares divides a capacity among teams: each keeps floorShare of its max-min fair share without priorities, and the rest goes by
// priority, the lowest number first, and max-min fairly within each.
func Shares(demands []Demand, total float64) map[string]float64 {
	ordered := slices.SortedFunc(slices.Values(demands), func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Team, b.Team))
	})
	shares, left := make(map[string]float64, len(demands)), total
	for team, fair := range maxMin(ordered, total) {
		shares[team] = floorShare * fair
		left -= floorShare * fair
	}
	for len(ordered) > 0 {
		n := 0
		for n < len(ordered) && ordered[n].Priority == ordered[0].Priority {
			n++
		}
		group := slices.Clone(ordered[:n])
		for i := range group {
			group[i].Asked -= shares[group[i].Team]
		}
		for team, more := range maxMin(group, left) {
			shares[team] += more
			left -= more
		}
		ordered = ordered[n:]
	}
	return shares
}

// maxMin returns the max-min fair shares of a capacity.
func maxMin(demands []Demand, total float64) map[string]float64 {
	ordered := slices.SortedFunc(slices.Values(demands), func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Asked, b.Asked), cmp.Compare(a.Team, b.Team))
	})
	shares := make(map[string]float64, len(demands))
	for i, d := range ordered {
		share := max(min(d.Asked, total/float64(len(ordered)-i)), 0)
		shares[d.Team] = share
		total -= share
	}
	return shares
}
