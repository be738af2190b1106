package limits

import (
	"maps"
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
