package limits

import "math"

// Turns divides a common rate among holders of equal shares that need no messages for it: the tokens of the rate are
// numbered from a common origin of time, and each holder has the numbers of its position.
//
// A share of less than a token for each frame is a token in some frames, so that the turns of many holders sum to a rate
// that is lower than their number.
type Turns struct {
	// PerFrame is the number of tokens in a frame of time.
	PerFrame float64
	// Holders is the number of holders, and Position that of this one, from 0 in an order that all agree on.
	Holders, Position int
}

// In returns the number of tokens of this holder in a frame, numbered from the origin.
func (t Turns) In(frame int64) int {
	first, next := t.token(frame), t.token(frame+1)
	n := int64(max(t.Holders, 1))
	position := (int64(t.Position)%n + n) % n
	return int(countBefore(next, n, position) - countBefore(first, n, position))
}

// token returns the number of the first token at or after the start of a frame.
func (t Turns) token(frame int64) int64 { return int64(math.Floor(t.PerFrame * float64(frame))) }

// countBefore returns how many of the numbers from 0 up to end have the given remainder modulo n.
func countBefore(end, n, remainder int64) int64 { return (end - remainder + n - 1) / n }
