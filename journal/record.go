package journal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// kind tells what a part of the file is.
type kind byte

const (
	identityKind kind = 1
	snapshotKind kind = 2
	recordKind   kind = 3
)

// A part is a header and a payload. The header holds the payload's length (4
// bytes), the kind (1 byte), a checksum of these (4 bytes) and the checksum of
// the payload (8 bytes), little-endian.
const (
	headerChecked = 5
	headerSize    = 17
)

func appendPart(b []byte, k kind, payload []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, byte(k))
	b = binary.LittleEndian.AppendUint32(b, headerSum(b[start:]))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, payload...)
}

func headerSum(b []byte) uint32 { return uint32(xxhash.Sum64(b[:headerChecked])) }

// part is one checked part; size is its length in the file.
type part struct {
	kind    kind
	payload []byte
	size    int64
}

// readPart returns the part at the start of b; torn says that b ends within
// it, and a reason that it is damaged.
func readPart(b []byte) (p part, torn bool, reason string) {
	if len(b) < headerSize {
		return part{}, true, ""
	}
	if binary.LittleEndian.Uint32(b[headerChecked:]) != headerSum(b) {
		return part{}, allZero(b), "the header's checksum is wrong"
	}
	n := int(binary.LittleEndian.Uint32(b))
	if len(b) < headerSize+n {
		return part{}, true, ""
	}
	payload := b[headerSize : headerSize+n]
	if binary.LittleEndian.Uint64(b[headerChecked+4:]) != xxhash.Sum64(payload) {
		return part{}, tornPayload(b, n), "the payload's checksum is wrong"
	}
	return part{kind: kind(b[4]), payload: payload, size: int64(headerSize + n)}, false, ""
}

// tornPayload reports whether the last payload of the file was partly written: the file has its length but ends in zeros.
func tornPayload(b []byte, n int) bool {
	const sector = 512
	return len(b) == headerSize+n && n > sector && allZero(b[len(b)-sector:])
}

func allZero(b []byte) bool {
	for _, one := range b {
		if one != 0 {
			return false
		}
	}
	return true
}
