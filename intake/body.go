package intake

// BodyCost returns the memory for n bytes of a body that is read into a buffer, in bytes, or zero for a small one, which is not
// counted: the buffer is copied when it grows.
func BodyCost(n int64) int64 {
	if cost := byteCost * n; cost > uncountedCost {
		return cost
	}
	return 0
}
