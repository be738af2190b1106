package consensus

import (
	"slices"
	"time"
)

// voterSets returns the sets of voters of which a majority each must agree. There are two while a change of more than one voter is
// not known to be committed: a majority of the set before it and one of the set after it need not overlap. The set before is that of
// the previous change, which was committed when the later one was appended.
func (n *Node) voterSets() [][]ID {
	sets := n.log.memberSets
	if len(sets) == 0 {
		return nil
	}
	voters := sets[len(sets)-1].members.Voters()
	for i := len(sets) - 1; i > 0 && sets[i].index > n.commit; i-- {
		before := sets[i-1].members.Voters()
		if slices.Equal(before, voters) {
			continue
		}
		if differing(before, voters) > 1 {
			return [][]ID{voters, before}
		}
		break
	}
	return [][]ID{voters}
}

// differing returns the number of IDs that are in one of two sets only.
func differing(a, b []ID) int {
	common := 0
	for _, id := range a {
		if slices.Contains(b, id) {
			common++
		}
	}
	return len(a) + len(b) - 2*common
}

// agreed returns the highest value that a majority of each set of voters has reached.
func agreed[T any](n *Node, compare func(a, b T) int, value func(id ID) T) T {
	var lowest T
	for i, voters := range n.voterSets() {
		var values []T
		for _, id := range voters {
			values = append(values, value(id))
		}
		slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
		if v := values[majority(len(values))-1]; i == 0 || compare(v, lowest) < 0 {
			lowest = v
		}
	}
	return lowest
}

// hasMajority reports whether a majority of each set of voters has voted for this node. A vote counts only if it comes from the
// disk that the member was added with.
func (n *Node) hasMajority(votes map[ID]bool) bool {
	sets := n.voterSets()
	for _, voters := range sets {
		if countVotes(voters, votes) < majority(len(voters)) {
			return false
		}
	}
	return len(sets) > 0
}

func countVotes(voters []ID, votes map[ID]bool) int {
	count := 0
	for _, id := range voters {
		if votes[id] {
			count++
		}
	}
	return count
}

// replica returns a leader's view of another member, which is zero for a member of the previous set only.
func (n *Node) replica(id ID) progress {
	if p := n.progress[id]; p != nil {
		return *p
	}
	return progress{}
}

// responds reports whether a member, as seen by the leader, has answered a request sent in the last two election timeouts.
func (n *Node) responds(now time.Time, id ID) bool {
	return id == n.cfg.Self || now.Sub(n.replica(id).ackedAt) < 2*n.cfg.ElectionTimeout
}
