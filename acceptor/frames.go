package acceptor

import (
	"bytes"
	"encoding/binary"

	"golang.org/x/net/http2"

	"arbutusreel/intake"
)

// frameHeadBytes is the length of the head of an HTTP/2 frame.
const frameHeadBytes = 9

// frame is the head of an HTTP/2 frame.
type frame struct {
	kind   http2.FrameType
	flags  http2.Flags
	stream uint32
}

// frames follows the HTTP/2 frames in a sequence of bytes that arrive in parts.
type frames struct {
	head    [frameHeadBytes]byte
	headLen int
	current frame
	// left is what remains of the current frame's payload, of which the last padding bytes are no data. padded is set while
	// the length of the padding is unknown.
	left, padding int
	padded        bool
}

// read follows further bytes. It calls begin for each frame whose head is whole, and data for each part of its data.
func (f *frames) read(b []byte, begin func(frame), data func(stream uint32, b []byte)) {
	for len(b) > 0 {
		if f.headLen < frameHeadBytes {
			n := copy(f.head[f.headLen:], b)
			f.headLen += n
			b = b[n:]
			if f.headLen == frameHeadBytes {
				f.start()
				begin(f.current)
			}
		} else {
			n := min(f.left, len(b))
			f.payload(b[:n], data)
			b = b[n:]
		}
		if f.headLen == frameHeadBytes && f.left == 0 {
			f.headLen = 0
		}
	}
}

func (f *frames) start() {
	f.left = int(f.head[0])<<16 | int(f.head[1])<<8 | int(f.head[2])
	f.current = frame{kind: http2.FrameType(f.head[3]), flags: http2.Flags(f.head[4]), stream: binary.BigEndian.Uint32(f.head[5:]) &^ (1 << 31)}
	f.padded, f.padding = f.current.kind == http2.FrameData && f.current.flags.Has(http2.FlagDataPadded), 0
}

func (f *frames) payload(b []byte, data func(stream uint32, b []byte)) {
	if f.padded && len(b) > 0 {
		f.padded, f.padding = false, int(b[0])
		f.left--
		b = b[1:]
	}
	if n := min(len(b), f.left-f.padding); n > 0 && f.current.kind == http2.FrameData {
		data(f.current.stream, b[:n])
	}
	f.left -= len(b)
}

// messages counts the parts of messages that a connection has received. It sees nothing of an encrypted connection.
type messages struct {
	// greeting is what has arrived of the client's preface, and opaque is set if it is none.
	greeting []byte
	opaque   bool
	in, out  frames
	held     intake.Messages
	last     uint32
}

// receive follows what the client sends.
func (m *messages) receive(b []byte) {
	if n := min(len(http2.ClientPreface)-len(m.greeting), len(b)); n > 0 && !m.opaque {
		m.greeting = append(m.greeting, b[:n]...)
		m.opaque = !bytes.HasPrefix([]byte(http2.ClientPreface), m.greeting)
		b = b[n:]
	}
	if m.opaque {
		return
	}
	m.in.read(b, func(f frame) {
		switch {
		case f.kind == http2.FrameRSTStream:
			m.held.End(f.stream)
		case f.kind == http2.FrameHeaders && f.stream > m.last:
			m.last = f.stream
			m.held.Open(f.stream)
		}
	}, m.held.Receive)
}

// send follows what the server sends.
func (m *messages) send(b []byte) {
	if m.opaque {
		return
	}
	m.out.read(b, func(f frame) {
		if f.kind == http2.FrameRSTStream || f.kind == http2.FrameHeaders && f.flags.Has(http2.FlagHeadersEndStream) {
			m.held.End(f.stream)
		}
	}, func(uint32, []byte) {})
}
