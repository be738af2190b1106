package journal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// frameKind is the type of a frame in the file.
type frameKind byte

const (
	identityFrame frameKind = 1
	snapshotFrame frameKind = 2
	recordFrame   frameKind = 3
	// syncedRecordFrame is a record whose payload begins with the synced length of the file in bytes when it was written
	// (8 bytes, little-endian).
	syncedRecordFrame frameKind = 4
)

// syncedLengthSize is the size in bytes of the synced length at the start of a syncedRecordFrame's payload.
const syncedLengthSize = 8

// A frame is a header and a payload. The header holds the payload's length (4
// bytes), the kind (1 byte), a checksum of these (4 bytes) and the checksum of
// the payload (8 bytes), little-endian. The sizes are in bytes.
const (
	headerSumOffset = 5
	headerSize      = 17
)

func appendFrame(b []byte, k frameKind, payload []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, byte(k))
	b = binary.LittleEndian.AppendUint32(b, headerSum(b[start:]))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, payload...)
}

func headerSum(b []byte) uint32 { return uint32(xxhash.Sum64(b[:headerSumOffset])) }

// frame is a frame with valid checksums; size is its length in the file, in bytes.
type frame struct {
	kind    frameKind
	payload []byte
	size    int64
}

// readFrame returns the frame at the start of b. If torn is set, b ends within
// the frame; if reason is not empty, the frame is damaged.
func readFrame(b []byte) (p frame, torn bool, reason string) {
	if len(b) < headerSize {
		return frame{}, true, ""
	}
	if binary.LittleEndian.Uint32(b[headerSumOffset:]) != headerSum(b) {
		return frame{}, false, "the header's checksum is wrong"
	}
	n := int(binary.LittleEndian.Uint32(b))
	if len(b) < headerSize+n {
		return frame{}, true, ""
	}
	payload := b[headerSize : headerSize+n]
	if binary.LittleEndian.Uint64(b[headerSumOffset+4:]) != xxhash.Sum64(payload) {
		return frame{}, false, "the payload's checksum is wrong"
	}
	return frame{kind: frameKind(b[4]), payload: payload, size: int64(headerSize + n)}, false, ""
}

// syncedLength returns the synced length of the file in bytes that the frame stores, or zero if it stores none.
func (p frame) syncedLength() int64 {
	if p.kind != syncedRecordFrame || len(p.payload) < syncedLengthSize {
		return 0
	}
	return int64(binary.LittleEndian.Uint64(p.payload))
}

// mayBeCrashDamage reports whether the damage of the frame at offset may result from a power failure: its end was never
// written and reads as zeros, and no later frame shows that it had been synced. A power failure may lose an unsynced
// write and preserve a later one.
func mayBeCrashDamage(b []byte, offset int64) bool {
	return endsInZeros(b[offset:]) && !wasSynced(b, offset)
}

// endsInZeros reports whether the damaged frame at the start of b ends in a zero byte. If the header is damaged, its
// last field, the payload's checksum, must be zero, since the bytes that reached the disk ended before that field.
func endsInZeros(b []byte) bool {
	if binary.LittleEndian.Uint32(b[headerSumOffset:]) != headerSum(b) {
		return binary.LittleEndian.Uint64(b[headerSumOffset+4:]) == 0
	}
	return b[headerSize+binary.LittleEndian.Uint32(b)-1] == 0
}

// wasSynced reports whether a frame after offset shows that the file had been synced beyond offset.
func wasSynced(b []byte, offset int64) bool {
	for at := offset + 1; at < int64(len(b)); at++ {
		if p, torn, reason := readFrame(b[at:]); !torn && reason == "" && p.syncedLength() > offset {
			return true
		}
	}
	return false
}
