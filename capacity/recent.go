package capacity

import (
	"math"
	"time"
)

// recentTime is the time constant with which tokens that were sent are forgotten; over about as long a stream's pace
// is felt by its caller.
const recentTime = time.Second

// Recent sums what was sent lately; each part counts less the longer ago it was. It is an immutable value.
type Recent struct {
	tokens float64
	at     time.Time
}

// NewRecent returns a sum that was true at a time.
func NewRecent(at time.Time, tokens float64) Recent { return Recent{tokens: tokens, at: at} }

// Tokens returns the sum at a time.
func (r Recent) Tokens(now time.Time) float64 {
	if r.tokens == 0 {
		return 0
	}
	return r.tokens * math.Exp(-float64(now.Sub(r.at))/float64(recentTime))
}

// With returns the sum with tokens that are sent at a time.
func (r Recent) With(now time.Time, tokens int64) Recent {
	return Recent{tokens: r.Tokens(now) + float64(tokens), at: now}
}

// Busy returns the share of its time for which an endpoint reads prompts, of which it was sent so many lately.
func (s Speed) Busy(recentTokens float64) float64 {
	return min(recentTokens*float64(s.Token)/float64(recentTime), 1)
}
