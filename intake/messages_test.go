package intake

import (
	"encoding/binary"
	"testing"

	"pgregory.net/rapid"
)

func encodeMessage(n int) []byte {
	b := make([]byte, messagePrefixBytes+n)
	binary.BigEndian.PutUint32(b[1:], uint32(n))
	return b
}

// TestPartMessagesCounted guards against parts of messages that don't count, and against whole ones that do, however they are
// divided.
func TestPartMessagesCounted(t *testing.T) {
	type stream struct {
		// left holds the messages that are not complete, and received the bytes of the first one that have arrived.
		left     [][]byte
		received int
	}
	rapid.Check(t, func(t *rapid.T) {
		var m Messages
		whole := int64(0)
		streams := map[uint32]*stream{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			id := rapid.Uint32Range(1, 3).Draw(t, "stream")
			s := streams[id]
			switch {
			case s == nil:
				m.Receive(id, encodeMessage(10))
				m.Open(id)
				streams[id] = &stream{}
			case rapid.IntRange(0, 19).Draw(t, "ends") == 0:
				m.End(id)
				delete(streams, id)
			default:
				var b []byte
				for range rapid.IntRange(1, 3).Draw(t, "pieces") {
					if len(s.left) == 0 {
						s.left = append(s.left, encodeMessage(rapid.IntRange(0, 20).Draw(t, "size")))
					}
					n := rapid.IntRange(1, len(s.left[0])-s.received).Draw(t, "piece")
					b = append(b, s.left[0][s.received:s.received+n]...)
					if s.received += n; s.received == len(s.left[0]) {
						s.left, s.received = s.left[1:], 0
						whole++
					}
				}
				m.Receive(id, b)
			}
			want := 0
			for _, s := range streams {
				want += s.received
			}
			if m.Size() != int64(want) || m.Whole() != whole {
				t.Fatalf("%d bytes and %d whole messages are counted, %d are held after %d", m.Size(), m.Whole(), want, whole)
			}
		}
	})
}
