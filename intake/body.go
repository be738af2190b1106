package intake

import "bytes"

const (
	// objectCost and valueCost bound the memory for what is decoded from the JSON of a body, in bytes for each object and for each
	// other value: lists of them are copied when they grow, and become a table of their own.
	objectCost = 1 << 10
	valueCost  = 32
)

// Body counts what the body of one request costs. Its zero value is an empty body.
type Body struct{ size, objects, values int64 }

// With returns the body with further bytes.
func (b Body) With(p []byte) Body {
	b.size += int64(len(p))
	b.objects += int64(bytes.Count(p, []byte{'{'}))
	b.values += int64(bytes.Count(p, []byte{','}))
	return b
}

// Cost returns the memory for the body and for what is decoded from it, in bytes, or zero for a small one, which is not counted. The
// buffer of a body is copied when it grows.
func (b Body) Cost() int64 {
	cost := byteCost*b.size + objectCost*b.objects + valueCost*b.values
	if cost <= uncountedCost {
		return 0
	}
	return cost
}
