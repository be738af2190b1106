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
	// syncedRecordKind is a record whose payload begins with the length of the file that had been synced when it was
	// written (8 bytes, little-endian).
	syncedRecordKind kind = 4
)

// syncedSize is the size of the length before the payload of a syncedRecordKind.
const syncedSize = 8

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
		return part{}, false, "the header's checksum is wrong"
	}
	n := int(binary.LittleEndian.Uint32(b))
	if len(b) < headerSize+n {
		return part{}, true, ""
	}
	payload := b[headerSize : headerSize+n]
	if binary.LittleEndian.Uint64(b[headerChecked+4:]) != xxhash.Sum64(payload) {
		return part{}, false, "the payload's checksum is wrong"
	}
	return part{kind: kind(b[4]), payload: payload, size: int64(headerSize + n)}, false, ""
}

// synced returns the length of the file that had been synced when the part was written, or zero if it does not tell.
func (p part) synced() int64 {
	if p.kind != syncedRecordKind || len(p.payload) < syncedSize {
		return 0
	}
	return int64(binary.LittleEndian.Uint64(p.payload))
}

// leftByCrash reports whether the damaged part at an offset may be the trace of a power failure: its end was never
// written, and reads as zeros, and no later part tells that it had been synced. Writes that were not synced may be lost
// although later ones are kept.
func leftByCrash(b []byte, offset int64) bool {
	return endsInZeros(b[offset:]) && !syncedLater(b, offset)
}

// endsInZeros reports whether the damaged part at the start of b ends in zeros. If its header is damaged its write broke
// off before the payload's checksum.
func endsInZeros(b []byte) bool {
	if binary.LittleEndian.Uint32(b[headerChecked:]) != headerSum(b) {
		return binary.LittleEndian.Uint64(b[headerChecked+4:]) == 0
	}
	return b[headerSize+binary.LittleEndian.Uint32(b)-1] == 0
}

// syncedLater reports whether a part behind an offset tells that the offset had been synced.
func syncedLater(b []byte, offset int64) bool {
	for at := offset + 1; at < int64(len(b)); at++ {
		if p, torn, reason := readPart(b[at:]); !torn && reason == "" && p.synced() > offset {
			return true
		}
	}
	return false
}
