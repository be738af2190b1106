package limits

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is a team's limit, in tokens per second.
type Limit struct {
	Team            string
	HomeRegion      string
	TokensPerSecond float64
}

// Member is a live instance.
type Member struct {
	Instance string
	Region   string
}

// Teams holds the accounts of all teams at one instance.
type Teams struct {
	self     Member
	accounts map[string]*account
	limits   map[string]Limit
	// owners holds the known owners of each team's shares, by team and region.
	owners map[string]map[string]string
	// leaving is set once the instance has given up its shares; it owns none from then on.
	leaving bool
}

// New returns the accounts of an instance without known teams.
func New(self Member) *Teams {
	return &Teams{self: self, accounts: map[string]*account{}, limits: map[string]Limit{}}
}

// Owner returns the instance that owns the region's share of a team's limit: the one with the highest hash of team and
// instance.
func Owner(team, region string, members []Member) (owner string, ok bool) {
	var highest uint64
	for _, m := range members {
		if m.Region != region {
			continue
		}
		h := xxhash.Sum64String(team + "\x00" + m.Instance)
		if !ok || h > highest || h == highest && m.Instance < owner {
			owner, highest, ok = m.Instance, h, true
		}
	}
	return owner, ok
}

// RegionShare returns a region's share of a limit, in tokens per second; the shares of all regions sum to the limit.
func RegionShare(l Limit, region string, regions []string) float64 {
	if !slices.Contains(regions, region) {
		return 0
	}
	n := float64(len(regions))
	if n == 1 {
		return l.TokensPerSecond
	}
	if !slices.Contains(regions, l.HomeRegion) {
		return l.TokensPerSecond / n
	}
	if region == l.HomeRegion {
		return l.TokensPerSecond * homeShare
	}
	return l.TokensPerSecond * (1 - homeShare) / (n - 1)
}

// Observe updates the limits, all regions, and the known live instances, including this one.
func (t *Teams) Observe(now time.Time, limits []Limit, regions []string, members []Member) {
	t.limits = map[string]Limit{}
	t.owners = map[string]map[string]string{}
	for _, l := range limits {
		if l.TokensPerSecond <= 0 {
			continue
		}
		t.limits[l.Team] = l
		t.observeTeam(now, l, regions, members)
	}
	for team := range t.accounts {
		if _, ok := t.limits[team]; !ok {
			delete(t.accounts, team)
		}
	}
}

func (t *Teams) observeTeam(now time.Time, l Limit, regions []string, members []Member) {
	a := t.accounts[l.Team]
	if a == nil {
		a = newAccount(t.self.Instance, l.Team)
		t.accounts[l.Team] = a
	}
	owners := map[string]string{}
	for _, region := range regions {
		if owner, ok := Owner(l.Team, region, members); ok {
			owners[region] = owner
		}
	}
	t.owners[l.Team] = owners
	ownRate := 0.0
	a.setOwner(owners[t.self.Region])
	if owners[t.self.Region] == t.self.Instance && !t.leaving {
		ownRate = RegionShare(l, t.self.Region, regions)
	}
	a.idleRate = l.TokensPerSecond * idleShare / float64(max(len(members), 1))
	a.setOwnRate(now, ownRate)
}

// Asks returns the asks to the owners: to the local region's owner for the desired rate, to the other regions' owners
// for what the local region has not granted, and to a previous owner for a handover.
func (t *Teams) Asks(now time.Time) []Ask {
	var asks []Ask
	for _, team := range slices.Sorted(maps.Keys(t.accounts)) {
		a := t.accounts[team]
		desired := a.desiredRate(now)
		owner := t.owners[team][t.self.Region]
		if owner != "" && owner != t.self.Instance {
			asks = append(asks, a.newAsk(now, owner, desired))
		}
		if previousOwner, ok := a.awaitsHandover(now); ok {
			asks = append(asks, a.newHandoverAsk(now, previousOwner))
		}
		shortfall := max(a.demand.rate(now)*demandHeadroomFactor-a.localRate(now, owner), 0)
		for _, region := range slices.Sorted(maps.Keys(t.owners[team])) {
			other := t.owners[team][region]
			if region != t.self.Region && (shortfall > 0 || a.borrowedLeases[other].rate > 0) {
				asks = append(asks, a.newAsk(now, other, shortfall))
			}
		}
	}
	return asks
}

// localRate returns the rate that the instance has from the local region's share.
func (a *account) localRate(now time.Time, owner string) float64 {
	if owner == a.self {
		return max(a.usableOwnRate(now)-a.leasedOut(now), 0)
	}
	if d, ok := a.borrowedLeases[owner]; ok && now.Before(d.expiresAt) {
		return d.rate
	}
	return 0
}

// Lend answers an ask; ok is false if the team has no limit here, the ask is for another lender, or a handover cannot
// be granted.
func (t *Teams) Lend(now time.Time, ask Ask) (g Grant, ok bool) {
	a := t.accounts[ask.Team]
	if a == nil || ask.Lender != t.self.Instance {
		return Grant{}, false
	}
	if ask.Handover {
		return a.grantHandover(now, ask)
	}
	return a.lend(now, ask), true
}

// AcceptGrant starts to use a grant; one that is late or not for this instance has no effect.
func (t *Teams) AcceptGrant(now time.Time, g Grant) {
	if a := t.accounts[g.Team]; a != nil {
		a.acceptGrant(now, g)
	}
}

// Spend takes tokens of the team's limit; if ok is false, the caller may retry after retryAfter.
func (t *Teams) Spend(now time.Time, team string, tokens int) (retryAfter time.Duration, ok bool) {
	a := t.accounts[team]
	if a == nil {
		return 0, true
	}
	a.demand.add(now, float64(tokens))
	a.updateBucket(now)
	return a.bucket.spend(float64(tokens))
}

// Settle corrects the tokens that a request has spent to those that it has used.
func (t *Teams) Settle(now time.Time, team string, spent, used int) {
	a := t.accounts[team]
	if a == nil {
		return
	}
	a.updateBucket(now)
	a.bucket.level = min(a.bucket.level+float64(spent-used), a.bucket.rate*burstTime.Seconds())
}

// Rate returns the rate that the instance may use of the team's limit now, in tokens per second.
func (t *Teams) Rate(now time.Time, team string) float64 {
	if a := t.accounts[team]; a != nil {
		return a.availableRate(now)
	}
	return 0
}
