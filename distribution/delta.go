package distribution

import "github.com/cespare/xxhash/v2"

// Delta turns an encoded inventory into that of the next revision: Prefix and Suffix are the numbers of bytes to keep
// at its ends, Middle is what stands between them, and Checksum is that of the result.
type Delta struct {
	Revision int64
	Prefix   int
	Suffix   int
	Middle   []byte
	Checksum uint64
}

// Checksum returns the checksum of an encoded inventory.
func Checksum(b []byte) uint64 { return xxhash.Sum64(b) }

// NewDelta returns the delta from old to b, the encoded inventory of the revision.
func NewDelta(revision int64, old, b []byte) Delta {
	prefix := 0
	for prefix < min(len(old), len(b)) && old[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < min(len(old), len(b))-prefix && old[len(old)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return Delta{Revision: revision, Prefix: prefix, Suffix: suffix, Middle: b[prefix : len(b)-suffix], Checksum: Checksum(b)}
}

// Apply returns the result of the delta on old, or *ChecksumError if the delta does not fit.
func (d Delta) Apply(old []byte) ([]byte, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(old) || d.Suffix > len(old)-d.Prefix {
		return nil, &ChecksumError{Revision: d.Revision}
	}
	b := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	b = append(b, old[:d.Prefix]...)
	b = append(b, d.Middle...)
	b = append(b, old[len(old)-d.Suffix:]...)
	if Checksum(b) != d.Checksum {
		return nil, &ChecksumError{Revision: d.Revision}
	}
	return b, nil
}
