package origin

import "github.com/cespare/xxhash/v2"

// Origin is what began a stream; the zero value, which no endpoint has, stands for one that is not known.
type Origin struct {
	Service string
	// Software is the software version of the endpoint.
	Software string
}

// Known reports whether it is known what began the stream.
func (o Origin) Known() bool { return o != Origin{} }

// Key identifies a stream by the request whose answer began it.
type Key uint64

// NewKey returns the key of a request ID.
func NewKey(requestID string) Key { return Key(xxhash.Sum64String(requestID)) }
