package capacity

import (
	"math"
	"time"
)

// recentTimeConstant is the time constant with which sent tokens decay. It is about the time over which a caller
// perceives the pace of a stream.
const recentTimeConstant = time.Second

// RecentTokens is a sum of recently sent tokens with exponential decay. It is an immutable value.
type RecentTokens struct {
	tokens float64
	at     time.Time
}

// NewRecentTokens returns a sum of tokens at the time at.
func NewRecentTokens(at time.Time, tokens float64) RecentTokens {
	return RecentTokens{tokens: tokens, at: at}
}

// Tokens returns the sum decayed to now.
func (r RecentTokens) Tokens(now time.Time) float64 {
	if r.tokens == 0 || r.at.Equal(now) {
		return r.tokens
	}
	return r.tokens * math.Exp(-float64(now.Sub(r.at))/float64(recentTimeConstant))
}

// With returns the sum with tokens that are sent now.
func (r RecentTokens) With(now time.Time, tokens int64) RecentTokens {
	return RecentTokens{tokens: r.Tokens(now) + float64(tokens), at: now}
}

// Busy returns the share of time that an endpoint spends on prefill, given the decayed sum of prompt tokens sent to it.
func (s *Speed) Busy(recentTokens float64) float64 {
	return min(recentTokens*float64(s.PrefillTokenTime)/float64(recentTimeConstant), 1)
}
