package configuration

import "slices"

// maxEvacuationDecisions is the number of failure domains whose last decision is retained.
const maxEvacuationDecisions = 256

// evacuationDecision is the last decision about a failure domain, whether or not it changed the evacuated ones.
type evacuationDecision struct {
	index  int64
	domain string
}

// evacuationDecisions holds the last decisions about failure domains, in the order of the log. It is immutable. It is no part of
// snapshots, so that members may differ in it; only the leader uses it.
type evacuationDecisions struct {
	// floor is at least the index of each decision that is not retained.
	floor    int64
	retained []evacuationDecision
}

// with returns the decisions with that of the log entry at an index, which is higher than all before.
func (s evacuationDecisions) with(index int64, domain string) evacuationDecisions {
	retained := slices.DeleteFunc(slices.Clone(s.retained), func(d evacuationDecision) bool { return d.domain == domain })
	retained = append(retained, evacuationDecision{index: index, domain: domain})
	if len(retained) > maxEvacuationDecisions {
		return evacuationDecisions{floor: max(s.floor, retained[0].index), retained: retained[1:]}
	}
	return evacuationDecisions{floor: s.floor, retained: retained}
}

// last returns the index of the last decision about a failure domain, or a higher one if it is not retained.
func (s evacuationDecisions) last(domain string) int64 {
	for _, d := range s.retained {
		if d.domain == domain {
			return d.index
		}
	}
	return s.floor
}
