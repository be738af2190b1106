package limits

import (
	"slices"
	"time"
)

// Ask is a borrower's request for a rate of a team's limit; a later one of the same borrower has a higher number.
type Ask struct {
	Team     string
	Lender   string
	Borrower string
	Number   uint64
	// Rate is the rate that the borrower can use, in tokens per second.
	Rate float64
	// Handover asks a leaving owner when its share is free, in place of asking for a rate.
	Handover bool
}

// Grant is a lender's answer to the ask of the same number; the borrower may use Rate, in tokens per second, for
// Duration from the time at which it asked.
type Grant struct {
	Team     string
	Lender   string
	Borrower string
	Number   uint64
	Rate     float64
	Duration time.Duration
	// Handover means that the lender has given up its share, of which nothing is in use after Duration.
	Handover bool
}

// lease is a rate that is granted to a borrower until a time on the lender's clock.
type lease struct {
	rate      float64
	expiresAt time.Time
}

// borrowedLease is a rate that may be used until a time on the borrower's clock.
type borrowedLease struct {
	rate      float64
	expiresAt time.Time
}

// pendingAsk is the last ask to a lender.
type pendingAsk struct {
	number uint64
	sentAt time.Time
}

// account is the state of one team's limit at one instance.
type account struct {
	self          string
	team          string
	ownRate       float64
	ownUsableFrom time.Time
	// leases holds the granted leases by borrower.
	leases map[string][]lease
	// requested holds the last rate that each borrower asked for.
	requested map[string]lease
	// borrowedLeases and pendingAsks are keyed by lender.
	borrowedLeases map[string]borrowedLease
	pendingAsks    map[string]pendingAsk
	lastNumber     uint64
	// owner is the owner of the local region's share, and previousOwner the one before this instance became the owner.
	owner         string
	previousOwner string
	// departed is set if the instance owned a share when it left, and successor is the first instance that asked it
	// for a handover; no other instance is granted one.
	departed  bool
	successor string
	bucket    bucket
	demand    demand
	// idleRate is the rate that the instance keeps without demand, so that a first request finds tokens.
	idleRate float64
}

func newAccount(self, team string) *account {
	return &account{
		self:           self,
		team:           team,
		leases:         map[string][]lease{},
		requested:      map[string]lease{},
		borrowedLeases: map[string]borrowedLease{},
		pendingAsks:    map[string]pendingAsk{},
	}
}

// setOwnRate sets the rate that the instance owns; a rate above zero is usable after takeoverTime if none was owned
// before.
func (a *account) setOwnRate(now time.Time, rate float64) {
	if rate > 0 && a.ownRate <= 0 {
		a.ownUsableFrom = now.Add(takeoverTime)
	}
	a.ownRate = rate
	a.updateBucket(now)
}

func (a *account) usableOwnRate(now time.Time) float64 {
	if now.Before(a.ownUsableFrom) {
		return 0
	}
	return a.ownRate
}

// leasedTo returns the rate that a borrower may be using: the highest of its leases that have not expired.
func (a *account) leasedTo(now time.Time, borrower string) float64 {
	unexpired := slices.DeleteFunc(a.leases[borrower], func(l lease) bool { return !now.Before(l.expiresAt) })
	if len(unexpired) == 0 {
		delete(a.leases, borrower)
		return 0
	}
	a.leases[borrower] = unexpired
	var highest float64
	for _, l := range unexpired {
		highest = max(highest, l.rate)
	}
	return highest
}

func (a *account) leasedOut(now time.Time) float64 {
	var sum float64
	for borrower := range a.leases {
		sum += a.leasedTo(now, borrower)
	}
	return sum
}

func (a *account) borrowed(now time.Time) float64 {
	var sum float64
	for lender, d := range a.borrowedLeases {
		if !now.Before(d.expiresAt) {
			delete(a.borrowedLeases, lender)
			continue
		}
		sum += d.rate
	}
	return sum
}

// availableRate returns the rate that the instance may use now.
func (a *account) availableRate(now time.Time) float64 {
	return max(a.usableOwnRate(now)-a.leasedOut(now), 0) + a.borrowed(now)
}

func (a *account) updateBucket(now time.Time) { a.bucket.setRate(now, a.availableRate(now)) }

// newAsk returns an ask for a rate to a lender and records it as the last one to that lender.
func (a *account) newAsk(now time.Time, lender string, rate float64) Ask {
	a.lastNumber++
	a.pendingAsks[lender] = pendingAsk{number: a.lastNumber, sentAt: now}
	return Ask{Team: a.team, Lender: lender, Borrower: a.self, Number: a.lastNumber, Rate: rate}
}

// lend grants an ask the smaller of its fair share and the free rate; the demand of the lender itself gets a fair share
// as well.
func (a *account) lend(now time.Time, ask Ask) Grant {
	a.requested[ask.Borrower] = lease{rate: ask.Rate, expiresAt: now.Add(2 * LeaseTime)}
	free := a.usableOwnRate(now) - a.leasedOut(now) + a.leasedTo(now, ask.Borrower)
	rate := max(min(a.fairShare(now, ask.Rate), free), 0)
	if rate > 0 {
		a.leases[ask.Borrower] = append(a.leases[ask.Borrower], lease{rate: rate, expiresAt: now.Add(LeaseTime + driftMargin)})
	}
	a.updateBucket(now)
	return Grant{Team: ask.Team, Lender: a.self, Borrower: ask.Borrower, Number: ask.Number, Rate: rate, Duration: LeaseTime}
}

// desiredRate returns the rate that the instance needs: its demand with headroom, and at least idleRate.
func (a *account) desiredRate(now time.Time) float64 {
	return max(a.demand.rate(now)*demandHeadroomFactor, a.idleRate)
}

// fairShare returns the max-min fair share of a demand, among all known demands, of the rate that the instance owns.
func (a *account) fairShare(now time.Time, want float64) float64 {
	wants := []float64{a.desiredRate(now)}
	for borrower, w := range a.requested {
		if !now.Before(w.expiresAt) {
			delete(a.requested, borrower)
			continue
		}
		wants = append(wants, w.rate)
	}
	slices.Sort(wants)
	remaining := a.usableOwnRate(now)
	for i, w := range wants {
		share := remaining / float64(len(wants)-i)
		if w >= share {
			return min(want, share)
		}
		remaining -= w
	}
	return want
}

// acceptGrant starts to use a grant if it answers the last ask to its lender.
func (a *account) acceptGrant(now time.Time, g Grant) {
	p, ok := a.pendingAsks[g.Lender]
	if !ok || p.number != g.Number || g.Borrower != a.self {
		return
	}
	if g.Handover {
		a.acceptHandover(now, p, g)
		return
	}
	a.updateBucket(now)
	a.borrowedLeases[g.Lender] = borrowedLease{rate: g.Rate, expiresAt: p.sentAt.Add(min(g.Duration, LeaseTime))}
	a.updateBucket(now)
}

// demand averages the tokens that were requested of an account, allowed or not.
type demand struct {
	tokens    float64
	updatedAt time.Time
}

func (d *demand) decay(now time.Time) {
	elapsed := max(now.Sub(d.updatedAt), 0)
	d.tokens *= float64(demandWindow) / float64(demandWindow+elapsed)
	d.updatedAt = now
}

func (d *demand) add(now time.Time, tokens float64) {
	d.decay(now)
	d.tokens += tokens
}

// rate returns the demand in tokens per second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.tokens / demandWindow.Seconds()
}
