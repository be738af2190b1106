package control

import (
	"cmp"
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
	// heard is the time since the last contact below which a member is considered responsive.
	heard time.Duration
	// tolerance is the maximum error of contact times, due to transmission delays.
	tolerance time.Duration
}

func (c Config) replacementTimes() replacementTimes {
	catchUp := cmp.Or(c.CatchUpTime, defaultCatchUpTime)
	return replacementTimes{suspect: catchUp * 3 / 4, stopped: catchUp * 3 / 8, silent: max(longSilence, 2*catchUp), heard: 2 * c.ElectionTimeout, tolerance: c.ElectionTimeout / 2}
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
	// failed is the member that is removed. If it is empty, the replacement of the member that joined changes only.
	failed      consensus.ID
	replacement *consensus.Replacement
}

// propose appends the change on the leader.
func (s replacementStep) propose(now time.Time, n *consensus.Node) (index, term int64, err error) {
	if s.failed == (consensus.ID{}) {
		return n.SetReplacement(now, s.joined, s.replacement)
	}
	return n.Replace(now, s.failed, s.joined)
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
	joined    []consensus.Member
	voters    int
	silences  []consensus.Contact
	ages      map[consensus.ID]time.Duration
	times     replacementTimes
	minVoters int
}

// nextReplacementStep returns the next change of the members that follows from a join, if there is one. The silences are
// those of the other members, and ages the times since the members that may still replace failed ones joined.
//
// A member without contact since the start of a daemon that joined is removed if it is the only such member, or if as many
// daemons joined as there are such members. In all other cases a failure cannot be distinguished from a partition or a
// pause, so that a member is removed only after longSilence, or earlier if it had announced its stop.
func nextReplacementStep(members consensus.Members, silences []consensus.Contact, ages map[consensus.ID]time.Duration, times replacementTimes, toleratedDisks int) (replacementStep, bool) {
	r := replacements{
		voters: len(members.Voters()), silences: slices.Clone(silences), ages: ages, times: times,
		minVoters: max(2*toleratedDisks+1, minVoters),
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
		r.expired,
	} {
		if step, ok := find(); ok {
			return step, true
		}
	}
	return replacementStep{}, false
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
	return c.Known && c.Age < m.Replacement.Uptime+r.ages[m.ID]-r.times.tolerance
}

// removal returns the removal of the first member that a daemon that joined may replace.
func (r replacements) removal(members consensus.Members, mayReplace func(m consensus.Member, failed consensus.Contact) bool) (replacementStep, bool) {
	for _, failed := range r.silences {
		if members.Voter(failed.Member) && r.voters <= r.minVoters {
			continue
		}
		for _, m := range r.joined {
			if m.ID != failed.Member && mayReplace(m, failed) {
				return replacementStep{joined: m.ID, failed: failed.Member}, true
			}
		}
	}
	return replacementStep{}, false
}

// suspected reports whether a member has been silent since the start of the one that joined, which may replace it.
func (r replacements) suspected(m consensus.Member, failed consensus.Contact) bool {
	suspects := m.Replacement.Suspects
	return slices.Contains(suspects, failed.Member) && m.Replacement.Uptime+r.ages[m.ID] >= r.times.suspect &&
		(len(suspects) == 1 || r.enoughForSuspects())
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
