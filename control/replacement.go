package control

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"arbutusreel/consensus"
)

const (
	// defaultCatchUpTime is the CatchUpTime of a configuration without one.
	defaultCatchUpTime = 8 * time.Second
	// replacementWindow is how long after its join a daemon may replace a member that fails later.
	replacementWindow = 20 * time.Second
	// longSilence is longer than any pause or partition in which a member is expected to return.
	longSilence = 15 * time.Second
	// minVoters is the number of voters at or below which no failed voter is removed.
	minVoters = 3
)

// replacementTimes holds the times after which a failed member is removed once another one has joined.
type replacementTimes struct {
	// suspect applies to members without contact since the start of the daemon that joined, and counts from that start.
	suspect time.Duration
	// stopped applies to members that had announced their stop, and counts from the last contact.
	stopped time.Duration
	// silent applies to all other members, and counts from the last contact.
	silent time.Duration
	// swapFrom and swapUntil are the times since the start of a daemon that joined between which it is not promoted, but waits to
	// take the place of a suspect in one step.
	swapFrom, swapUntil time.Duration
	// heard is the time since the last contact below which a member is considered responsive.
	heard time.Duration
	// tolerance is the maximum error of contact times, due to transmission delays.
	tolerance time.Duration
}

func (c Config) replacementTimes() replacementTimes {
	catchUp := cmp.Or(c.CatchUpTime, defaultCatchUpTime)
	return replacementTimes{suspect: catchUp * 3 / 4, swapFrom: catchUp / 2, swapUntil: catchUp, stopped: catchUp * 3 / 8, silent: max(longSilence, 2*catchUp), heard: 2 * c.ElectionTimeout, tolerance: c.ElectionTimeout / 2}
}

// joinTimes holds when a voter learned of the members that may still replace failed ones.
type joinTimes map[consensus.ID]time.Time

// update adds the members that joined and drops those that no longer replace any.
func (j joinTimes) update(now time.Time, members consensus.Members) {
	for id := range j {
		if m, ok := members.Find(id.Name); !ok || m.ID != id || m.Replacement == nil {
			delete(j, id)
		}
	}
	for _, m := range members {
		if _, ok := j[m.ID]; m.Replacement != nil && !ok {
			j[m.ID] = now
		}
	}
}

func (j joinTimes) ages(now time.Time) map[consensus.ID]time.Duration {
	ages := make(map[consensus.ID]time.Duration, len(j))
	for id, at := range j {
		ages[id] = now.Sub(at)
	}
	return ages
}

// replacementStep is a change of the members that follows from a join.
type replacementStep struct {
	joined consensus.ID
	// failed is the member that is removed. If it is empty, the member that joined is promoted or its replacement changes.
	failed      consensus.ID
	promoted    bool
	replacement *consensus.Replacement
}

// propose appends the change on the leader.
func (s replacementStep) propose(now time.Time, n *consensus.Node) (index, term int64, err error) {
	switch {
	case s.promoted:
		return n.Promote(now, s.joined)
	case s.failed == consensus.ID{}:
		return n.SetReplacement(now, s.joined, s.replacement)
	default:
		return n.Replace(now, s.failed, s.joined)
	}
}

// suspects returns the names of the suspects that are left if no member is removed.
func (s replacementStep) suspects() []string {
	if s.replacement == nil {
		return nil
	}
	var names []string
	for _, id := range s.replacement.Suspects {
		names = append(names, id.Name)
	}
	return names
}

// replacements decides which failed members are removed. Each daemon that joined under a new name replaces at most one.
type replacements struct {
	now       time.Time
	joined    []consensus.Member
	voters    int
	silences  []consensus.Contact
	ages      map[consensus.ID]time.Duration
	times     replacementTimes
	minVoters int
	group     group
	// reasons explains why members that may be replaced are not removed yet.
	reasons *[]string
}

// group is the leader's view of the members; it is implemented by *consensus.Node.
type group interface {
	// CaughtUp reports whether a learner can be promoted.
	CaughtUp(now time.Time, id consensus.ID) bool
	// CanSwap reports whether a learner can take the place of a voter in one step.
	CanSwap(now time.Time, failed, joined consensus.ID) bool
}

var _ group = (*consensus.Node)(nil)

// nextReplacementStep returns the next change of the members that follows from a join. If there is none, ok is false, and the reasons
// say what failed members wait for. The silences are those of the other members, and ages the times since the members that may still
// replace failed ones joined.
//
// A learner with suspects is promoted as soon as it can be, which leaves the quorum as many voters to lose as before. If that is
// late, because elections or writes take long, it takes the place of the suspect in one step instead.
//
// A member without contact since the start of a daemon that joined is removed if it is the only such member, or if as many
// daemons joined as there are such members. In all other cases a failure cannot be distinguished from a partition or a
// pause, so that a member is removed only after longSilence, or earlier if it had announced its stop.
func nextReplacementStep(now time.Time, g group, members consensus.Members, silences []consensus.Contact, ages map[consensus.ID]time.Duration, times replacementTimes, toleratedDisks int) (step replacementStep, reasons []string, ok bool) {
	r := replacements{
		now: now, voters: len(members.Voters()), silences: slices.Clone(silences), ages: ages, times: times,
		minVoters: max(2*toleratedDisks+1, minVoters), group: g, reasons: &reasons,
	}
	for _, m := range members {
		if m.Replacement != nil {
			r.joined = append(r.joined, m)
		}
	}
	// The longest silence comes first.
	slices.SortStableFunc(r.silences, func(a, b consensus.Contact) int { return cmp.Compare(b.Age, a.Age) })
	for _, find := range []func() (replacementStep, bool){
		r.settled,
		func() (replacementStep, bool) { return r.removal(members, r.suspected) },
		func() (replacementStep, bool) { return r.removal(members, r.stopped) },
		func() (replacementStep, bool) { return r.removal(members, r.silent) },
		r.promotion,
		r.expired,
	} {
		if step, ok := find(); ok {
			return step, nil, true
		}
	}
	return replacementStep{}, reasons, false
}

// wait adds a reason for which a member is not removed yet.
func (r replacements) wait(format string, args ...any) {
	*r.reasons = append(*r.reasons, fmt.Sprintf(format, args...))
}

// uptime returns the time since the start of a daemon that joined.
func (r replacements) uptime(m consensus.Member) time.Duration {
	return m.Replacement.Uptime + r.ages[m.ID]
}

// settled removes suspects that have had contact since, or that are no longer members.
func (r replacements) settled() (replacementStep, bool) {
	for _, m := range r.joined {
		var cleared []consensus.ID
		for _, id := range m.Replacement.Suspects {
			i := slices.IndexFunc(r.silences, func(c consensus.Contact) bool { return c.Member == id })
			if i < 0 || r.heardSince(m, r.silences[i]) {
				cleared = append(cleared, id)
			}
		}
		if len(cleared) > 0 {
			return replacementStep{joined: m.ID, replacement: m.Replacement.Without(cleared...)}, true
		}
	}
	return replacementStep{}, false
}

// heardSince reports whether there was contact with a member after the start of the daemon that joined.
func (r replacements) heardSince(m consensus.Member, c consensus.Contact) bool {
	return c.Known && c.Age < r.uptime(m)-r.times.tolerance
}

// removal returns the removal of the first member that a daemon that joined may replace.
func (r replacements) removal(members consensus.Members, mayReplace func(m consensus.Member, failed consensus.Contact) bool) (replacementStep, bool) {
	for _, failed := range r.silences {
		for _, m := range r.joined {
			if m.ID != failed.Member && mayReplace(m, failed) && r.removable(members, m, failed.Member) {
				return replacementStep{joined: m.ID, failed: failed.Member}, true
			}
		}
	}
	return replacementStep{}, false
}

// removable reports whether a failed member can be removed now: a voter only if enough voters remain.
func (r replacements) removable(members consensus.Members, m consensus.Member, failed consensus.ID) bool {
	switch {
	case !members.Voter(failed), r.group.CanSwap(r.now, failed, m.ID):
		return true
	case !m.Voter && r.responsive(m.ID):
		r.wait("%s is removed once %s has caught up", failed.Name, m.ID.Name)
		return false
	case r.voters <= r.minVoters:
		r.wait("%s is one of %d voters, of which %d must remain", failed.Name, r.voters, r.minVoters)
		return false
	default:
		return true
	}
}

// responsive reports whether the last contact with a member is more recent than times.heard.
func (r replacements) responsive(id consensus.ID) bool {
	return slices.ContainsFunc(r.silences, func(c consensus.Contact) bool { return c.Member == id && c.Age < r.times.heard })
}

// promotion returns the promotion of a learner that has suspects and does not wait to take the place of one.
func (r replacements) promotion() (replacementStep, bool) {
	for _, m := range r.joined {
		waits := r.uptime(m) >= r.times.swapFrom && r.uptime(m) < r.times.swapUntil
		if !m.Voter && len(m.Replacement.Suspects) > 0 && !waits && r.group.CaughtUp(r.now, m.ID) {
			return replacementStep{joined: m.ID, promoted: true}, true
		}
	}
	return replacementStep{}, false
}

// suspected reports whether a member has been silent since the start of the one that joined, which may replace it.
func (r replacements) suspected(m consensus.Member, failed consensus.Contact) bool {
	suspects := m.Replacement.Suspects
	switch {
	case !slices.Contains(suspects, failed.Member):
		return false
	case r.uptime(m) < r.times.suspect:
		r.wait("%s is removed %v after the start of %s", failed.Member.Name, r.times.suspect, m.ID.Name)
		return false
	case len(suspects) > 1 && !r.enoughForSuspects():
		r.wait("%s is one of %d members that have been silent since the start of %s", failed.Member.Name, len(suspects), m.ID.Name)
		return false
	default:
		return true
	}
}

// enoughForSuspects reports whether as many daemons joined as there are suspects.
func (r replacements) enoughForSuspects() bool {
	suspects, joined := map[consensus.ID]bool{}, 0
	for _, m := range r.joined {
		if len(m.Replacement.Suspects) > 0 {
			joined++
		}
		for _, id := range m.Replacement.Suspects {
			suspects[id] = true
		}
	}
	return len(suspects) <= joined
}

// stopped reports whether a member has stopped as announced. A daemon that joined replaces its own suspects first.
func (r replacements) stopped(m consensus.Member, failed consensus.Contact) bool {
	return failed.Stopping && failed.Age >= r.times.stopped && len(m.Replacement.Suspects) == 0
}

// silent reports whether a member has been silent for longer than any pause or partition lasts.
func (r replacements) silent(m consensus.Member, failed consensus.Contact) bool {
	suspects := m.Replacement.Suspects
	return failed.Age >= r.times.silent && (len(suspects) == 0 || slices.Contains(suspects, failed.Member))
}

// expired ends a replacement after its window, unless a member is silent that went silent within it.
func (r replacements) expired() (replacementStep, bool) {
	for _, m := range r.joined {
		age := r.ages[m.ID]
		awaited := slices.ContainsFunc(r.silences, func(c consensus.Contact) bool {
			return c.Age >= r.times.heard && age-c.Age <= replacementWindow
		})
		if age > replacementWindow && !awaited {
			return replacementStep{joined: m.ID}, true
		}
	}
	return replacementStep{}, false
}
