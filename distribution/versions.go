package distribution

// Bounds of the deltas that are kept for followers that are behind.
const (
	maxDeltas     = 512
	maxDeltaBytes = 4 << 20
)

// Update leads a follower to a revision: by the whole inventory, or by deltas from its own.
type Update struct {
	Revision int64
	Whole    []byte
	Deltas   []Delta
}

// Versions is the encoded inventory in force with the latest deltas to it; it
// is not safe for concurrent use.
type Versions struct {
	revision int64
	whole    []byte
	deltas   []Delta
	bytes    int
}

// Revision returns the revision in force, or zero.
func (v *Versions) Revision() int64 { return v.revision }

// Whole returns the encoded inventory in force, which must not be changed.
func (v *Versions) Whole() []byte { return v.whole }

// Put takes an inventory into force and reports whether it did; a revision that is not higher is left out.
func (v *Versions) Put(revision int64, whole []byte) bool {
	if revision <= v.revision {
		return false
	}
	if revision == v.revision+1 && v.revision > 0 {
		v.keep(NewDelta(revision, v.whole, whole))
	} else {
		v.deltas, v.bytes = nil, 0
	}
	v.revision, v.whole = revision, whole
	return true
}

// keep adds a delta and drops the oldest ones beyond the bounds.
func (v *Versions) keep(d Delta) {
	v.deltas = append(v.deltas, d)
	v.bytes += len(d.Middle)
	for len(v.deltas) > maxDeltas || v.bytes > maxDeltaBytes {
		v.bytes -= len(v.deltas[0].Middle)
		v.deltas = v.deltas[1:]
	}
}

// Take takes an update into force; it reports false if its revision is not
// higher, and returns *ChecksumError if its deltas do not fit.
func (v *Versions) Take(u Update) (bool, error) {
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

// Since returns the update for a follower with a revision and its checksum; ok is false if it lacks nothing.
func (v *Versions) Since(revision int64, checksum uint64) (u Update, ok bool) {
	if revision >= v.revision {
		return Update{}, false
	}
	missing := int(v.revision - revision)
	if missing > len(v.deltas) || !v.held(revision, checksum) {
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

// held reports whether the inventory of a revision had the checksum, as far as the deltas tell.
func (v *Versions) held(revision int64, checksum uint64) bool {
	for _, d := range v.deltas {
		if d.Revision == revision {
			return d.Checksum == checksum
		}
	}
	return checksum != 0
}
