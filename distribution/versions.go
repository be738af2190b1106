package distribution

// Bounds on the deltas that are kept for followers that lag behind.
const (
	maxDeltas     = 512
	maxDeltaBytes = 4 << 20
)

// Update brings a follower to a revision, either by the whole inventory or by deltas from the revision of the follower.
type Update struct {
	Revision int64
	Whole    []byte
	Deltas   []Delta
}

// Versions holds the encoded inventory in force and the latest deltas that led
// to it; it is not safe for concurrent use.
type Versions struct {
	revision int64
	whole    []byte
	deltas   []Delta
	// deltaBytes is the total length of the middle parts of the deltas.
	deltaBytes int
}

// Revision returns the revision in force, or zero if there is none.
func (v *Versions) Revision() int64 { return v.revision }

// Whole returns the encoded inventory in force, which must not be changed.
func (v *Versions) Whole() []byte { return v.whole }

// Put puts an inventory in force and reports whether it did; a revision that is not higher is ignored.
func (v *Versions) Put(revision int64, whole []byte) bool {
	if revision <= v.revision {
		return false
	}
	if revision == v.revision+1 && v.revision > 0 {
		v.appendDelta(NewDelta(revision, v.whole, whole))
	} else {
		v.deltas, v.deltaBytes = nil, 0
	}
	v.revision, v.whole = revision, whole
	return true
}

// appendDelta appends a delta and drops the oldest ones beyond the bounds.
func (v *Versions) appendDelta(d Delta) {
	v.deltas = append(v.deltas, d)
	v.deltaBytes += len(d.Middle)
	for len(v.deltas) > maxDeltas || v.deltaBytes > maxDeltaBytes {
		v.deltaBytes -= len(v.deltas[0].Middle)
		v.deltas = v.deltas[1:]
	}
}

// Apply applies an update. It returns false if the update's revision is not
// above the one in force, and *ChecksumError if its deltas do not fit.
func (v *Versions) Apply(u Update) (bool, error) {
	if u.Revision <= v.revision {
		return false, nil
	}
	if u.Whole != nil {
		return v.Put(u.Revision, u.Whole), nil
	}
	revision, whole := v.revision, v.whole
	for _, d := range u.Deltas {
		if d.Revision <= revision {
			continue
		}
		next, err := d.Apply(whole)
		if err != nil || d.Revision != revision+1 {
			return false, &ChecksumError{Revision: d.Revision}
		}
		revision, whole = d.Revision, next
		v.Put(revision, whole)
	}
	return true, nil
}

// Since returns the update for a follower with the given revision and checksum; ok is false if the follower is up to
// date. The update holds the whole inventory if deltas are missing, if they are not smaller than it, or if the checksum
// of the follower is not that of its revision.
func (v *Versions) Since(revision int64, checksum uint64) (u Update, ok bool) {
	if revision >= v.revision {
		return Update{}, false
	}
	missing := int(v.revision - revision)
	if missing > len(v.deltas) || !v.checksumMatches(revision, checksum) {
		return Update{Revision: v.revision, Whole: v.whole}, true
	}
	deltas := v.deltas[len(v.deltas)-missing:]
	size := 0
	for _, d := range deltas {
		size += len(d.Middle)
	}
	if size >= len(v.whole) {
		return Update{Revision: v.revision, Whole: v.whole}, true
	}
	return Update{Revision: v.revision, Deltas: deltas}, true
}

// checksumMatches reports whether the inventory of a revision had the checksum. Without a delta to that revision it
// accepts any checksum but zero, which stands for a follower without a valid inventory.
func (v *Versions) checksumMatches(revision int64, checksum uint64) bool {
	for _, d := range v.deltas {
		if d.Revision == revision {
			return d.Checksum == checksum
		}
	}
	return checksum != 0
}
