package limits

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Durations of drawn amounts.
const (
	// balanceTTL is how long a drawn amount may be used; a longer time would let amounts of two windows be used in one.
	balanceTTL = time.Second
	// maxAnswerAge is the age of an answer to a draw above which it is discarded.
	maxAnswerAge = 500 * time.Millisecond
	// newOwnerTime is how long a new owner fills its buckets at half of the rate, unless the previous owner has confirmed
	// that it no longer owns the share.
	newOwnerTime = 6 * time.Second
	// currentViewTime is the age of its view above which an owner may have been replaced unnoticed.
	currentViewTime = 4 * time.Second
	// maxPause is the time without a call of Touch above which an owner was suspended, and may have been replaced meanwhile.
	maxPause = 1500 * time.Millisecond
	// borrowTime is the demand, as a time, for which an owner draws from other regions' owners ahead of need.
	borrowTime = 400 * time.Millisecond
	// prefetchTime is the demand of a gateway for which a bucket that is less than half full still grants a prefetch.
	prefetchTime = 250 * time.Millisecond
	// keptTime is the demand of its region, as a time, that a lender keeps.
	keptTime = 100 * time.Millisecond
	// reserveTime is the time whose reserve may be used at once.
	reserveTime = 2 * time.Second
	// minDepthTime is the time at the rate that a bucket holds at least, for teams with a smaller burst.
	minDepthTime = 250 * time.Millisecond
)

// Fractions of an allotment and of the slack.
const (
	// reserveFraction is the part of an allotment that the gateways keep as local reserves.
	reserveFraction = 0.02
	// maxPrefetchFraction bounds a prefetch by the burst of a region.
	maxPrefetchFraction = 0.1
	// The parts of the slack by which single requests larger than a bucket may exceed the allotment: at all owners together, at the owner
	// that may grant them on credit, and at all reserves together.
	depthSlackFraction, creditSlackFraction, reserveSlackFraction = 0.4, 0.3, 0.2
)

// Allotted is a team's allotment as the owners share it.
type Allotted struct {
	Team string
	// Rate and Burst are those over all gateways together, in units per second and in units.
	Rate  float64
	Burst float64
	// Regions own equal shares of the allotment.
	Regions []string
}

// shareRate returns the rate of one region's share.
func (a Allotted) shareRate() float64 {
	return a.Rate * (1 - reserveFraction) / float64(max(len(a.Regions), 1))
}

// shareBurst returns the burst of one region's share.
func (a Allotted) shareBurst() float64 {
	return max(a.Burst, a.Rate*minDepthTime.Seconds()) / float64(max(len(a.Regions), 1))
}

// equal reports whether two allotments do not differ.
func (a Allotted) equal(b Allotted) bool {
	return a.Team == b.Team && a.Rate == b.Rate && a.Burst == b.Burst && slices.Equal(a.Regions, b.Regions)
}

// creditRegion returns the region whose owner may grant a request that is larger than its bucket. It is one region only,
// so that such requests exceed the allotment once.
func (a Allotted) creditRegion() string {
	var best string
	var highest uint64
	for _, region := range a.Regions {
		if h := xxhash.Sum64String(a.Team + "\x00" + region); best == "" || h > highest {
			best, highest = region, h
		}
	}
	return best
}

// Rule bounds what all gateways together may use of an allotment in a window.
type Rule struct {
	// Window is the length of the window.
	Window time.Duration
	// Overage is the fraction, and Slack the number of units, by which the allotment of a window may be exceeded.
	Overage float64
	Slack   float64
}

// Bound returns the units of an allotment that may be used in a window.
func (r Rule) Bound(a Allotted) float64 {
	return (a.Rate*r.Window.Seconds()+a.Burst)*(1+r.Overage) + r.Slack
}

// Draw asks the owner of a region's share of an allotment for an amount.
type Draw struct {
	Team string
	// Gateway and Region are those of the asker.
	Gateway string
	Region  string
	// Needed is the amount that a waiting request needs, zero for a borrowing owner, and Wanted the amount wanted in all.
	Needed float64
	Wanted float64
	// Demand is the recent demand of the asker, in units per second.
	Demand float64
}

// Drawn is the answer to a draw. What is granted has been debited.
type Drawn struct {
	Team   string
	Amount float64
	// Wait is the time until the needed amount is expected to be available, if it was not granted.
	Wait time.Duration
	// NotOwner reports that the receiver does not own a share of the allotment.
	NotOwner bool
}

// Owners finds the owners of the shares in the last view of a current control daemon: among the ready gateways of a region or, while it has
// none, among those that are stopping and still accept requests.
type Owners struct {
	ready, stopping []Member
	// members holds by region the gateways that may own shares, and before those before the last change.
	members, before map[string][]Member
	cache           map[ownerKey]string
	// most is the largest number of gateways that were ready at once.
	most int
	// leaving is the gateway that is stopping although the last view may list it as ready; empty for none.
	leaving string
}

type ownerKey struct{ team, region string }

// NewOwners returns the owners of a fleet without gateways.
func NewOwners() *Owners { return &Owners{cache: map[ownerKey]string{}} }

// Update replaces the ready gateways and those that are stopping and accept requests, in the order of their names, and reports whether owners
// may have changed. It keeps the slices.
func (o *Owners) Update(ready, stopping []Member) (changed bool) {
	if slices.Equal(ready, o.ready) && slices.Equal(stopping, o.stopping) {
		return false
	}
	o.most = max(o.most, len(ready))
	o.ready, o.stopping = ready, stopping
	return o.setMembers()
}

// leave records that a gateway has begun to stop.
func (o *Owners) leave(gateway string) {
	o.leaving = gateway
	o.setMembers()
}

func (o *Owners) setMembers() (changed bool) {
	members := map[string][]Member{}
	for _, m := range o.ready {
		if m.Instance != o.leaving {
			members[m.Region] = append(members[m.Region], m)
		}
	}
	stopping := map[string][]Member{}
	for _, m := range o.ready {
		if m.Instance == o.leaving {
			stopping[m.Region] = append(stopping[m.Region], m)
		}
	}
	for _, m := range o.stopping {
		stopping[m.Region] = append(stopping[m.Region], m)
	}
	for region, all := range stopping {
		if len(members[region]) == 0 {
			members[region] = all
		}
	}
	if maps.EqualFunc(members, o.members, slices.Equal) {
		return false
	}
	o.members, o.before = members, o.members
	clear(o.cache)
	return true
}

// Of returns the owner of a region's share of a team's allotment; empty if no gateway of the region accepts requests.
func (o *Owners) Of(team, region string) string {
	key := ownerKey{team, region}
	owner, ok := o.cache[key]
	if !ok {
		owner, _ = Owner(team, region, o.members[region])
		o.cache[key] = owner
	}
	return owner
}

// previous returns the gateway that owned a share before self: by the last view, or, if there is none or self is in it as owner, the one that
// owns it while self is not ready.
func (o *Owners) previous(team string, self Member) string {
	if owner, ok := Owner(team, self.Region, o.before[self.Region]); ok && owner != self.Instance {
		return owner
	}
	others := func(members []Member) []Member {
		return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Instance == self.Instance })
	}
	owner, ok := Owner(team, self.Region, others(o.members[self.Region]))
	if !ok {
		owner, _ = Owner(team, self.Region, others(o.stopping))
	}
	return owner
}

// Gateways returns the largest number of gateways that were ready at once, at least one.
func (o *Owners) Gateways() int { return max(o.most, 1) }

// inRegion returns the number of gateways of a region that may own shares, at least one.
func (o *Owners) inRegion(region string) int { return max(len(o.members[region]), 1) }

// age returns the time between two readings by the monotonic or the wall clock, whichever is longer: the monotonic clock
// of a suspended machine may stand still, and the wall clock may be set back.
func age(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)), 0)
}
