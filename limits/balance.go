package limits

import (
	"slices"
	"time"
)

// Balance is what one gateway holds of a team's allotment: drawn amounts, and the local reserve.
type Balance struct {
	rule      Rule
	allotment Allotted
	lots      []lot
	demand    demand
	// mean is the usual cost of a request.
	mean float64
	// reserve is the level of the local reserve.
	reserve   float64
	reserveAt time.Time
	// short holds, by region, until when its owner has said that an amount is not available.
	short map[string]shortage
	// over is set from the first refusal until overTime has passed without one.
	over      bool
	refusedAt time.Time
	lapsed    float64
}

// lot is an amount that was drawn at a time.
type lot struct {
	amount float64
	at     time.Time
}

// shortage is an amount that is expected at a time, and about which the owner is not asked again until another one.
type shortage struct {
	amount      float64
	availableAt time.Time
	until       time.Time
}

// overTime is the time without a refusal after which a team is no longer over its allotment.
const overTime = 5 * time.Second

// maxShortage bounds the time for which an owner is not asked again, as its demand may have gone meanwhile.
const maxShortage = 200 * time.Millisecond

// maxAgainWait is the longest reported wait after which the owner is asked again.
const maxAgainWait = 500 * time.Millisecond

// NewBalance returns an empty balance of a gateway that started at a time.
func NewBalance(rule Rule, a Allotted, started time.Time) *Balance {
	return &Balance{rule: rule, allotment: a, reserveAt: started, short: map[string]shortage{}}
}

// SetAllotment replaces the allotment.
func (b *Balance) SetAllotment(a Allotted) { b.allotment = a }

// Charge is the amount that a request takes; its parts keep the times at which they were drawn.
type Charge struct {
	Cost float64
	lots []lot
	// Missing is what is still to be drawn.
	Missing float64
}

// Charge takes what there is of a request's cost.
func (b *Balance) Charge(now time.Time, cost float64) Charge {
	b.demand.add(now, cost)
	if b.mean == 0 {
		b.mean = cost
	}
	b.mean += (cost - b.mean) / 8
	b.drop(now)
	c := Charge{Cost: cost, Missing: cost}
	for len(b.lots) > 0 && c.Missing > 0 {
		part := b.lots[0]
		part.amount = min(part.amount, c.Missing)
		c.lots = append(c.lots, part)
		c.Missing -= part.amount
		if b.lots[0].amount -= part.amount; b.lots[0].amount <= 0 {
			b.lots = b.lots[1:]
		}
	}
	return c
}

// drop removes the amounts that have lapsed.
func (b *Balance) drop(now time.Time) {
	b.lots = slices.DeleteFunc(b.lots, func(l lot) bool {
		if age(l.at, now) <= balanceTTL {
			return false
		}
		b.lapsed += l.amount
		return true
	})
}

// Draw returns the draw of what a charge is missing, with a prefetch.
func (b *Balance) Draw(now time.Time, self Member, c *Charge) Draw {
	rate := b.demand.recent(now)
	prefetch := rate * balanceTTL.Seconds()
	if prefetch < b.mean/2 {
		// The next request would usually come after the prefetch has lapsed.
		prefetch = 0
	} else {
		prefetch = min(max(prefetch, b.mean), b.allotment.shareBurst()*maxPrefetchFraction)
	}
	return Draw{Team: b.allotment.Team, Gateway: self.Instance, Region: self.Region, Needed: c.Missing, Wanted: c.Missing + prefetch, Demand: rate}
}

// Accept completes a charge by an answer to a draw that was sent at a time, and keeps what is left. A late answer is discarded.
func (b *Balance) Accept(now, sentAt time.Time, region string, c *Charge, r Drawn) (ok bool) {
	if r.NotOwner || age(sentAt, now) > maxAnswerAge {
		return false
	}
	if r.Amount < c.Missing {
		b.short[region] = shortage{amount: c.Missing, availableAt: now.Add(r.Wait), until: now.Add(min(r.Wait, maxShortage))}
		return false
	}
	delete(b.short, region)
	if c.Missing > 0 {
		c.lots = append(c.lots, lot{amount: c.Missing, at: sentAt})
	}
	if extra := r.Amount - c.Missing; extra > 0 {
		b.lots = append(b.lots, lot{amount: extra, at: sentAt})
	}
	c.Missing = 0
	return true
}

// Short returns after which time a region's owner is expected to have the missing amount; ok is false if it is to be asked.
func (b *Balance) Short(now time.Time, region string, c *Charge) (wait time.Duration, ok bool) {
	s, ok := b.short[region]
	if !ok || c.Missing < s.amount || !now.Before(s.until) {
		return 0, false
	}
	return max(s.availableAt.Sub(now), minRetryAfter), true
}

// Again reports whether the owner of the own region is worth a second draw after those of the other regions have been asked: it may have drawn
// from them meanwhile. An owner far over its rate reports a longer wait, and a second draw would be in vain.
func (b *Balance) Again(wait time.Duration) bool { return wait > 0 && wait < maxAgainWait }

// Return puts back what a charge has taken, as its request has not run. Amounts that were drawn too long ago lapse.
func (b *Balance) Return(now time.Time, c *Charge) {
	b.lots = append(b.lots, c.lots...)
	c.lots = nil
	slices.SortFunc(b.lots, func(x, y lot) int { return x.at.Compare(y.at) })
	b.drop(now)
}

// Reserve completes a charge from the local reserve if it holds the missing amount. A full reserve allows a larger request, as far as the
// slack divided by the number of gateways allows; its level is negative afterwards.
func (b *Balance) Reserve(now time.Time, gateways int, c *Charge) (ok bool) {
	n := float64(max(gateways, 1))
	rate := b.allotment.Rate * reserveFraction / n
	depth := rate * reserveTime.Seconds()
	b.reserve = min(b.reserve+age(b.reserveAt, now).Seconds()*rate, depth)
	b.reserveAt = now
	credit := 0.0
	if b.reserve >= depth*(1-1e-9) {
		credit = (b.rule.Slack*reserveSlackFraction + b.rule.Overage*b.allotment.Burst/4) / n
	}
	if c.Missing > b.reserve+credit {
		return false
	}
	b.reserve -= c.Missing
	c.Missing = 0
	return true
}

// Refused records a refusal and reports whether the team is over its allotment for the first time since it was within.
func (b *Balance) Refused(now time.Time) (first bool) {
	first = !b.over
	b.over, b.refusedAt = true, now
	return first
}

// Admitted records an admitted request and reports whether the team is back within its allotment.
func (b *Balance) Admitted(now time.Time) (back bool) {
	back = b.over && now.Sub(b.refusedAt) > overTime
	b.over = b.over && !back
	return back
}

// TakeLapsed returns what has lapsed since the last call.
func (b *Balance) TakeLapsed() float64 {
	lapsed := b.lapsed
	b.lapsed = 0
	return lapsed
}
