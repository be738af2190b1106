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
	// Rate is the rate that the borrower has use for, in tokens a second.
	Rate float64
	// Handover asks a leaving owner when its part is free, in place of a rate.
	Handover bool
}

// Grant is a lender's answer to the ask of the same number; the borrower may use the rate for Duration after it asked.
type Grant struct {
	Team     string
	Lender   string
	Borrower string
	Number   uint64
	Rate     float64
	Duration time.Duration
	// Handover says that the lender has left its part, in which nothing is in use after Duration.
	Handover bool
}

// loan is a rate that was lent until a time of the lender's clock.
type loan struct {
	rate float64
	ends time.Time
}

// debt is a rate that was borrowed until a time of the borrower's clock.
type debt struct {
	rate float64
	ends time.Time
}

// pending is the last ask to a lender.
type pending struct {
	number uint64
	sentAt time.Time
}

// account is one team's limit as one instance knows it.
type account struct {
	self    string
	team    string
	own     float64
	ownFrom time.Time
	loans   map[string][]loan
	wants   map[string]loan
	debts   map[string]debt
	asked   map[string]pending
	number  uint64
	// owner is the owner of the own region's part, and former the one before the instance became the owner itself.
	owner  string
	former string
	// left tells that the instance owned a part when it left, and heir is the instance that it told so.
	left   bool
	heir   string
	bucket bucket
	demand demand
	// idle is the rate that the instance keeps without demand, so that a first request finds tokens.
	idle float64
}

func newAccount(self, team string) *account {
	return &account{
		self:  self,
		team:  team,
		loans: map[string][]loan{},
		wants: map[string]loan{},
		debts: map[string]debt{},
		asked: map[string]pending{},
	}
}

// setOwn gives the account a rate of its own from a time on, or takes it.
func (a *account) setOwn(now time.Time, rate float64) {
	if rate > 0 && a.own <= 0 {
		a.ownFrom = now.Add(takeoverTime)
	}
	a.own = rate
	a.update(now)
}

func (a *account) owned(now time.Time) float64 {
	if now.Before(a.ownFrom) {
		return 0
	}
	return a.own
}

// lentTo returns the rate that a borrower may be using: the highest of its loans that have not ended.
func (a *account) lentTo(now time.Time, borrower string) float64 {
	live := slices.DeleteFunc(a.loans[borrower], func(l loan) bool { return !now.Before(l.ends) })
	if len(live) == 0 {
		delete(a.loans, borrower)
		return 0
	}
	a.loans[borrower] = live
	var highest float64
	for _, l := range live {
		highest = max(highest, l.rate)
	}
	return highest
}

func (a *account) lent(now time.Time) float64 {
	var sum float64
	for borrower := range a.loans {
		sum += a.lentTo(now, borrower)
	}
	return sum
}

func (a *account) borrowed(now time.Time) float64 {
	var sum float64
	for lender, d := range a.debts {
		if !now.Before(d.ends) {
			delete(a.debts, lender)
			continue
		}
		sum += d.rate
	}
	return sum
}

// available returns the rate that the instance may use now.
func (a *account) available(now time.Time) float64 {
	return max(a.owned(now)-a.lent(now), 0) + a.borrowed(now)
}

func (a *account) update(now time.Time) { a.bucket.set(now, a.available(now)) }

// ask returns an ask for a rate to a lender.
func (a *account) ask(now time.Time, lender string, rate float64) Ask {
	a.number++
	a.asked[lender] = pending{number: a.number, sentAt: now}
	return Ask{Team: a.team, Lender: lender, Borrower: a.self, Number: a.number, Rate: rate}
}

// lend answers an ask with what is fair and free; the own demand has its fair part as well.
func (a *account) lend(now time.Time, ask Ask) Grant {
	a.wants[ask.Borrower] = loan{rate: ask.Rate, ends: now.Add(2 * LeaseTime)}
	free := a.owned(now) - a.lent(now) + a.lentTo(now, ask.Borrower)
	rate := max(min(a.fair(now, ask.Rate), free), 0)
	if rate > 0 {
		a.loans[ask.Borrower] = append(a.loans[ask.Borrower], loan{rate: rate, ends: now.Add(LeaseTime + driftMargin)})
	}
	a.update(now)
	return Grant{Team: ask.Team, Lender: a.self, Borrower: ask.Borrower, Number: ask.Number, Rate: rate, Duration: LeaseTime}
}

// want returns the rate that the instance has use for.
func (a *account) want(now time.Time) float64 {
	return max(a.demand.rate(now)*demandSpare, a.idle)
}

// fair returns the max-min fair part of the own rate for a demand among all demands that are known.
func (a *account) fair(now time.Time, want float64) float64 {
	wants := []float64{a.want(now)}
	for borrower, w := range a.wants {
		if !now.Before(w.ends) {
			delete(a.wants, borrower)
			continue
		}
		wants = append(wants, w.rate)
	}
	slices.Sort(wants)
	left := a.owned(now)
	for i, w := range wants {
		part := left / float64(len(wants)-i)
		if w >= part {
			return min(want, part)
		}
		left -= w
	}
	return want
}

// take begins to use a grant, if it answers the last ask to its lender.
func (a *account) take(now time.Time, g Grant) {
	p, ok := a.asked[g.Lender]
	if !ok || p.number != g.Number || g.Borrower != a.self {
		return
	}
	if g.Handover {
		a.takeOver(now, p, g)
		return
	}
	a.update(now)
	a.debts[g.Lender] = debt{rate: g.Rate, ends: p.sentAt.Add(min(g.Duration, LeaseTime))}
	a.update(now)
}

// demand averages the tokens that were asked of an account, allowed or not.
type demand struct {
	value float64
	at    time.Time
}

func (d *demand) decay(now time.Time) {
	elapsed := max(now.Sub(d.at), 0)
	d.value *= float64(demandTime) / float64(demandTime+elapsed)
	d.at = now
}

func (d *demand) add(now time.Time, tokens float64) {
	d.decay(now)
	d.value += tokens
}

// rate returns the demand in tokens a second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.value / demandTime.Seconds()
}
