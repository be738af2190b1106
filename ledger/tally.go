package ledger

import (
	"maps"
	"slices"
)

// Tally counts the replies of n replicas to one request.
type Tally struct {
	n       int
	replies map[string]Reply
}

// NewTally returns an empty tally for n replicas.
func NewTally(n int) *Tally {
	return &Tally{n: n, replies: map[string]Reply{}}
}

// Add counts the reply of a replica; later replies of the same replica are ignored.
func (t *Tally) Add(r Reply) {
	if _, ok := t.replies[r.Slot]; !ok {
		t.replies[r.Slot] = r
	}
}

// Full reports whether every replica has replied.
func (t *Tally) Full() bool { return len(t.replies) == t.n }

// Won reports whether a majority accepted in one epoch. Acknowledgements that a replica gave before it lost its memory,
// under an incarnation lower than the highest that any reply reports, do not count.
func (t *Tally) Won() bool {
	vectors := map[string]map[string]int64{}
	counts := map[string]int{}
	for _, r := range t.replies {
		if vectors[r.Epoch] == nil {
			vectors[r.Epoch] = map[string]int64{}
		}
		mergeVector(vectors[r.Epoch], r.Vector)
	}
	for _, r := range t.replies {
		if r.Refusal == Accepted && r.Active && r.Incarnation >= vectors[r.Epoch][r.Slot] {
			counts[r.Epoch]++
		}
	}
	for _, count := range counts {
		if count >= Quorum(t.n) {
			return true
		}
	}
	return false
}

// Lost reports whether no majority is possible any more, whatever the missing replies say.
func (t *Tally) Lost() bool {
	accepted := 0
	for _, r := range t.replies {
		if r.Refusal == Accepted {
			accepted++
		}
	}
	return accepted+t.n-len(t.replies) < Quorum(t.n) || (t.Full() && !t.Won())
}

// Ended reports whether a reply holds an ending of the call.
func (t *Tally) Ended() bool {
	for _, r := range t.replies {
		if r.Found && r.Call.Value.Ending != Open {
			return true
		}
	}
	return false
}

// Replies returns the replies so far, sorted by slot.
func (t *Tally) Replies() []Reply {
	replies := make([]Reply, 0, len(t.replies))
	for _, slot := range slices.Sorted(maps.Keys(t.replies)) {
		replies = append(replies, t.replies[slot])
	}
	return replies
}
