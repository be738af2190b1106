package intake

import "bytes"

const (
	// byteCost and lineCost bound the memory of a head that is parsed, in bytes for each byte and each line: a line becomes an
	// entry of a map with a slice and two strings, and both the map and the buffer of a long line grow by doubling.
	byteCost = 2
	lineCost = 256
	// uncountedCost is the cost up to which a head is part of what each connection takes.
	uncountedCost = 8 << 10
)

// Head counts what the head of one request costs. Its zero value is an empty head.
type Head struct{ size, lines int64 }

// With returns the head with further bytes.
func (h Head) With(b []byte) Head {
	h.size += int64(len(b))
	h.lines += int64(bytes.Count(b, []byte{'\n'}))
	return h
}

// Size returns the number of bytes.
func (h Head) Size() int64 { return h.size }

// Cost returns the memory for the parsed head, in bytes, or zero for a small one, which is not counted.
func (h Head) Cost() int64 {
	cost := byteCost*h.size + lineCost*h.lines
	if cost <= uncountedCost {
		return 0
	}
	return cost
}
