package limits

import "time"

// bucket is a token bucket whose rate changes.
type bucket struct {
	level float64
	rate  float64
	at    time.Time
}

// set fills the bucket up to now at the lower of the former and the new rate, and goes on with the new one.
func (b *bucket) set(now time.Time, rate float64) {
	if b.at.IsZero() {
		b.at = now
	}
	elapsed := max(now.Sub(b.at), 0).Seconds()
	b.level = min(b.level+elapsed*min(b.rate, rate), rate*burstTime.Seconds())
	b.rate = rate
	if now.After(b.at) {
		b.at = now
	}
}

// spend takes tokens if they are there; more than the burst is let through by a full bucket, which is then in debt.
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
