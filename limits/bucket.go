package limits

import "time"

// bucket is a token bucket with a variable rate, in tokens per second.
type bucket struct {
	level     float64
	rate      float64
	updatedAt time.Time
}

// setRate fills the bucket up to now at the lower of the old and the new rate, and then switches to the new one.
func (b *bucket) setRate(now time.Time, rate float64) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	elapsed := max(now.Sub(b.updatedAt), 0).Seconds()
	b.level = min(b.level+elapsed*min(b.rate, rate), rate*burstTime.Seconds())
	b.rate = rate
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}

// spend takes tokens if the bucket holds them, and otherwise returns the time to wait. A full bucket allows even
// a request for more tokens than it can hold; its level is negative afterwards.
func (b *bucket) spend(tokens float64) (time.Duration, bool) {
	if b.rate <= 0 {
		return LeaseTime, false
	}
	need := min(tokens, b.rate*burstTime.Seconds())
	if b.level < need {
		wait := time.Duration((need - b.level) / b.rate * float64(time.Second))
		return max(wait, minRetryAfter), false
	}
	b.level -= tokens
	return 0, true
}
