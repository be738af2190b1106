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

// NewTally returns a tally of n replicas without replies.
func NewTally(n int) *Tally {
	return &Tally{n: n, replies: map[string]Reply{}}
}

// Add takes the reply of a replica; only the first of each counts.
func (t *Tally) Add(r Reply) {
	if _, ok := t.replies[r.Slot]; !ok {
		t.replies[r.Slot] = r
	}
}

// Full reports whether every replica has replied.
func (t *Tally) Full() bool { return len(t.replies) == t.n }

// Won reports whether a majority accepted in one epoch, leaving out acknowledgements given before a loss of memory.
func (t *Tally) Won() bool {
	vectors := map[string]map[string]int64{}
	counts := map[string]int{}
	for _, r := range t.replies {
		if vectors[r.Epoch] == nil {
			vectors[r.Epoch] = map[string]int64{}
		}
		raise(vectors[r.Epoch], r.Vector)
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

// Lost reports whether the replies still missing cannot make a majority.
func (t *Tally) Lost() bool {
	accepted := 0
	for _, r := range t.replies {
		if r.Refusal == Accepted {
			accepted++
		}
	}
	return accepted+t.n-len(t.replies) < Quorum(t.n) || (t.Full() && !t.Won())
}

// Ended reports whether a reply told the ending of the call.
func (t *Tally) Ended() bool {
	for _, r := range t.replies {
		if r.Found && r.Call.Value.Ending != Open {
			return true
		}
	}
	return false
}

// Replies returns the replies so far in the order of the replicas.
func (t *Tally) Replies() []Reply {
	replies := make([]Reply, 0, len(t.replies))
	for _, slot := range slices.Sorted(maps.Keys(t.replies)) {
		replies = append(replies, t.replies[slot])
	}
	return replies
}
