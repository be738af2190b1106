package configuration

import "slices"

// UnknownIndex is the Index of evacuations from a control daemon of an earlier version, which does not send it.
const UnknownIndex = -1

// Evacuations is the set of evacuated failure domains, with its place in the quorum's log.
type Evacuations struct {
	// Index is that of the log entry that changed the set last, or of a snapshot that includes it.
	Index int64
	// Domains are the evacuated failure domains, sorted by name.
	Domains []string
}

// With returns the evacuations in force after a control daemon sent its own, where current reports whether that daemon was in
// contact with the leader. Committed log entries are final, so the set with the higher index is the newer one, whichever daemon
// sent it. A set without an index may be outdated; it is used if the daemon is current or if no domain is known to be evacuated.
func (e Evacuations) With(received Evacuations, current bool) Evacuations {
	switch {
	case received.Index > e.Index:
		return received
	case received.Index != UnknownIndex:
		return e
	case current || len(e.Domains) == 0:
		return Evacuations{Index: e.Index, Domains: received.Domains}
	default:
		return e
	}
}

// Equal reports whether both have the same index and domains.
func (e Evacuations) Equal(other Evacuations) bool {
	return e.Index == other.Index && slices.Equal(e.Domains, other.Domains)
}
