package limits

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is a team's limit, in tokens a second.
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

// Teams holds the accounts of one instance.
type Teams struct {
	self     Member
	accounts map[string]*account
	limits   map[string]Limit
	// owners are the owners of each team's parts that are known, by region.
	owners map[string]map[string]string
	// leaving tells that the instance owns nothing any more.
	leaving bool
}

// New returns the accounts of an instance that knows no team.
func New(self Member) *Teams {
	return &Teams{self: self, accounts: map[string]*account{}, limits: map[string]Limit{}}
}

// Owner returns the instance that owns the region's part of a team's limit, by the highest of the hashes of team and
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

// Part returns a region's part of a limit: the parts of all regions sum to the limit.
func Part(l Limit, region string, regions []string) float64 {
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

// Observe takes the limits, all regions, and the live instances, this one included, that are known now.
func (t *Teams) Observe(now time.Time, limits []Limit, regions []string, members []Member) {
	t.limits = map[string]Limit{}
	t.owners = map[string]map[string]string{}
	for _, l := range limits {
		if l.TokensPerSecond <= 0 {
			continue
		}
		t.limits[l.Team] = l
		t.observeOne(now, l, regions, members)
	}
	for team := range t.accounts {
		if _, ok := t.limits[team]; !ok {
			delete(t.accounts, team)
		}
	}
}

func (t *Teams) observeOne(now time.Time, l Limit, regions []string, members []Member) {
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
	own := 0.0
	a.setOwner(owners[t.self.Region])
	if owners[t.self.Region] == t.self.Instance && !t.leaving {
		own = Part(l, t.self.Region, regions)
	}
	a.idle = l.TokensPerSecond * idleShare / float64(max(len(members), 1))
	a.setOwn(now, own)
}

// Asks returns what to ask of the owners now: of that of the own region what there is demand for, and of the others
// what the own region has not given.
func (t *Teams) Asks(now time.Time) []Ask {
	var asks []Ask
	for _, team := range slices.Sorted(maps.Keys(t.accounts)) {
		a := t.accounts[team]
		want := a.want(now)
		owner := t.owners[team][t.self.Region]
		if owner != "" && owner != t.self.Instance {
			asks = append(asks, a.ask(now, owner, want))
		}
		if former, ok := a.awaits(now); ok {
			asks = append(asks, a.askHandover(now, former))
		}
		lacking := max(a.demand.rate(now)*demandSpare-a.local(now, owner), 0)
		for _, region := range slices.Sorted(maps.Keys(t.owners[team])) {
			other := t.owners[team][region]
			if region != t.self.Region && (lacking > 0 || a.debts[other].rate > 0) {
				asks = append(asks, a.ask(now, other, lacking))
			}
		}
	}
	return asks
}

// local returns the rate that the own region gives the instance.
func (a *account) local(now time.Time, owner string) float64 {
	if owner == a.self {
		return max(a.owned(now)-a.lent(now), 0)
	}
	if d, ok := a.debts[owner]; ok && now.Before(d.ends) {
		return d.rate
	}
	return 0
}

// Lend answers an ask; ok is false if the team has no limit here.
func (t *Teams) Lend(now time.Time, ask Ask) (g Grant, ok bool) {
	a := t.accounts[ask.Team]
	if a == nil || ask.Lender != t.self.Instance {
		return Grant{}, false
	}
	if ask.Handover {
		return a.handOver(now, ask)
	}
	return a.lend(now, ask), true
}

// Take begins to use a grant; one that is late or not for this instance has no effect.
func (t *Teams) Take(now time.Time, g Grant) {
	if a := t.accounts[g.Team]; a != nil {
		a.take(now, g)
	}
}

// Spend takes tokens of the team's limit; if ok is false, the caller may come back after the time.
func (t *Teams) Spend(now time.Time, team string, tokens int) (retryAfter time.Duration, ok bool) {
	a := t.accounts[team]
	if a == nil {
		return 0, true
	}
	a.demand.add(now, float64(tokens))
	a.update(now)
	return a.bucket.spend(float64(tokens))
}

// Settle corrects what a request has spent to what it has used.
func (t *Teams) Settle(now time.Time, team string, spent, used int) {
	a := t.accounts[team]
	if a == nil {
		return
	}
	a.update(now)
	a.bucket.level = min(a.bucket.level+float64(spent-used), a.bucket.rate*burstTime.Seconds())
}

// Rate returns the rate that the instance may use of the team's limit now.
func (t *Teams) Rate(now time.Time, team string) float64 {
	if a := t.accounts[team]; a != nil {
		return a.available(now)
	}
	return 0
}
