package configuration

import "slices"

// UnknownIndex is the Index of evacuations from a control daemon that does not tell it.
const UnknownIndex = -1

// Evacuations is the set of evacuated failure domains, with its place in the quorum's log.
type Evacuations struct {
	// Index is that of the log entry that changed the set last, or of a snapshot that includes it.
	Index int64
	// Domains are the evacuated failure domains, sorted by name.
	Domains []string
}

// With returns the evacuations in force after a control daemon told its own, and whether it was in contact with the leader.
// Log entries are final, so the set with the higher index is the newer one, whichever daemon told it. A set without an index
// may be outdated; it is used if the daemon is current or if no domain is known to be evacuated.
func (e Evacuations) With(told Evacuations, current bool) Evacuations {
	switch {
	case told.Index > e.Index:
		return told
	case told.Index != UnknownIndex:
		return e
	case current || len(e.Domains) == 0:
		return Evacuations{Index: e.Index, Domains: told.Domains}
	default:
		return e
	}
}

// Equal reports whether both have the same index and domains.
func (e Evacuations) Equal(other Evacuations) bool {
	return e.Index == other.Index && slices.Equal(e.Domains, other.Domains)
}
