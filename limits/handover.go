package limits

import "time"

// Leave gives up all shares that the instance owns, permanently; their next owners may ask for a handover.
func (t *Teams) Leave(now time.Time) {
	t.leaving = true
	for _, a := range t.accounts {
		a.departed = a.departed || a.ownRate > 0
		a.setOwnRate(now, 0)
	}
}

// setOwner records the owner of the local region's share.
func (a *account) setOwner(owner string) {
	if owner == a.owner {
		return
	}
	a.previousOwner = ""
	if owner == a.self {
		a.previousOwner = a.owner
	}
	a.owner = owner
}

// awaitsHandover returns the previous owner if the instance owns its region's share but still waits for it to be free.
func (a *account) awaitsHandover(now time.Time) (previousOwner string, ok bool) {
	return a.previousOwner, a.previousOwner != "" && a.ownRate > 0 && now.Before(a.ownUsableFrom)
}

// newHandoverAsk returns an ask for a handover to the previous owner.
func (a *account) newHandoverAsk(now time.Time, previousOwner string) Ask {
	ask := a.newAsk(now, previousOwner, 0)
	ask.Handover = true
	return ask
}

// grantHandover grants a handover to the first instance that asks, and refuses all others. Its duration is the time
// after which nothing of the share is in use: all leases have expired, and so has the wait of this instance for its own
// predecessor, if it left during that wait.
func (a *account) grantHandover(now time.Time, ask Ask) (Grant, bool) {
	if !a.departed || a.successor != "" && a.successor != ask.Borrower {
		return Grant{}, false
	}
	a.successor = ask.Borrower
	g := Grant{Team: ask.Team, Lender: a.self, Borrower: ask.Borrower, Number: ask.Number, Duration: max(a.ownUsableFrom.Sub(now), 0), Handover: true}
	for _, leases := range a.leases {
		for _, l := range leases {
			g.Duration = max(g.Duration, l.expiresAt.Sub(now))
		}
	}
	return g, true
}

// acceptHandover shortens the wait for the share to the time that the previous owner has reported. An answer that took
// longer than a lease lasts has no effect, as the previous owner may have returned.
func (a *account) acceptHandover(now time.Time, p pendingAsk, g Grant) {
	if g.Lender != a.previousOwner || now.Sub(p.sentAt) > LeaseTime {
		return
	}
	a.previousOwner = ""
	if free := now.Add(g.Duration + driftMargin); free.Before(a.ownUsableFrom) {
		a.ownUsableFrom = free
	}
	a.updateBucket(now)
}
