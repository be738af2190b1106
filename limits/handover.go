package limits

import "time"

// Leave gives up all parts that the instance owns, for good; their next owners may ask for a handover.
func (t *Teams) Leave(now time.Time) {
	t.leaving = true
	for _, a := range t.accounts {
		a.left = a.left || a.own > 0
		a.setOwn(now, 0)
	}
}

// setOwner notes the owner of the own region's part.
func (a *account) setOwner(owner string) {
	if owner == a.owner {
		return
	}
	a.former = ""
	if owner == a.self {
		a.former = a.owner
	}
	a.owner = owner
}

// awaits returns the former owner if the instance owns its part but waits for it to be free.
func (a *account) awaits(now time.Time) (former string, ok bool) {
	return a.former, a.former != "" && a.own > 0 && now.Before(a.ownFrom)
}

// askHandover returns an ask to the former owner.
func (a *account) askHandover(now time.Time, former string) Ask {
	ask := a.ask(now, former, 0)
	ask.Handover = true
	return ask
}

// handOver tells the first instance that asks when nothing of the part that was left is in use: when all loans have
// ended, and when the instance itself could have begun to use it.
func (a *account) handOver(now time.Time, ask Ask) (Grant, bool) {
	if !a.left || a.heir != "" && a.heir != ask.Borrower {
		return Grant{}, false
	}
	a.heir = ask.Borrower
	g := Grant{Team: ask.Team, Lender: a.self, Borrower: ask.Borrower, Number: ask.Number, Duration: max(a.ownFrom.Sub(now), 0), Handover: true}
	for _, loans := range a.loans {
		for _, l := range loans {
			g.Duration = max(g.Duration, l.ends.Sub(now))
		}
	}
	return g, true
}

// takeOver shortens the wait for the part to what the former owner has told. An answer that took longer than a loan lasts
// has no effect, as the former owner may have returned.
func (a *account) takeOver(now time.Time, p pending, g Grant) {
	if g.Lender != a.former || now.Sub(p.sentAt) > LeaseTime {
		return
	}
	a.former = ""
	if free := now.Add(g.Duration + driftMargin); free.Before(a.ownFrom) {
		a.ownFrom = free
	}
	a.update(now)
}
