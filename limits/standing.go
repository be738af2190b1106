package limits

import (
	"maps"
	"slices"
	"time"
)

// Held returns the amount that is drawn and has not lapsed.
func (b *Balance) Held(now time.Time) (sum float64) {
	for _, l := range b.lots {
		if age(l.at, now) <= balanceTTL {
			sum += l.amount
		}
	}
	return sum
}

// Level returns the level of a team's share, or false if this gateway does not own it.
func (p *Pool) Level(now time.Time, team string) (float64, bool) {
	s := p.buckets[team]
	if s == nil {
		return 0, false
	}
	// Filling a copy leaves the share and the contacts as they are.
	pool, filled := *p, *s
	pool.contacts = maps.Clone(p.contacts)
	pool.fill(now, &filled)
	return filled.level, true
}

// Standing returns the rate that the instance may use of a team's limit, in tokens per second, and the tokens that are left now. It
// changes nothing; ok is false if the team has no limit.
func (t *Teams) Standing(now time.Time, team string) (rate, left float64, ok bool) {
	a := t.accounts[team]
	if a == nil {
		return 0, 0, false
	}
	c := *a
	c.leases, c.borrowedLeases = maps.Clone(a.leases), maps.Clone(a.borrowedLeases)
	for borrower, granted := range c.leases {
		c.leases[borrower] = slices.Clone(granted)
	}
	c.updateBucket(now)
	return c.bucket.rate, c.bucket.level, true
}
