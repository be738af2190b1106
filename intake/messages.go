package intake

import "encoding/binary"

// messagePrefixBytes is the length of what precedes a message on a stream: a flag and its length.
const messagePrefixBytes = 5

// Messages counts what streams of a connection have received of messages that are not whole. Its zero value has no streams.
type Messages struct {
	streams map[uint32]message
	size    int64
	whole   int64
}

// message is the unfinished message of one stream.
type message struct {
	prefix [messagePrefixBytes]byte
	// received counts the prefix and what followed, in bytes.
	received int64
}

// Open adds a stream.
func (m *Messages) Open(stream uint32) {
	if m.streams == nil {
		m.streams = map[uint32]message{}
	}
	m.streams[stream] = message{}
}

// Receive counts a part of what a stream receives. Streams that are not open receive nothing.
func (m *Messages) Receive(stream uint32, b []byte) {
	last, ok := m.streams[stream]
	if !ok {
		return
	}
	before := last.received
	for len(b) > 0 {
		if last.received < messagePrefixBytes {
			n := copy(last.prefix[last.received:], b)
			last.received += int64(n)
			b = b[n:]
		}
		if last.received < messagePrefixBytes {
			break
		}
		size := messagePrefixBytes + int64(binary.BigEndian.Uint32(last.prefix[1:]))
		n := min(size-last.received, int64(len(b)))
		last.received += n
		b = b[n:]
		if last.received == size {
			last.received = 0
			m.whole++
		}
	}
	m.size += last.received - before
	m.streams[stream] = last
}

// End removes a stream.
func (m *Messages) End(stream uint32) {
	m.size -= m.streams[stream].received
	delete(m.streams, stream)
}

// Whole returns the number of whole messages so far.
func (m *Messages) Whole() int64 { return m.whole }

// Size returns the number of bytes of messages that are not whole.
func (m *Messages) Size() int64 { return m.size }
