package consensus

import (
	"slices"
	"time"
)

// Add appends a set of members with a new learner, which becomes a voter once it has caught up, and returns the index and term of
// the entry. It returns *MemberExistsError if a member has the same name, and *NotLeaderError if this node is not the leader.
func (n *Node) Add(now time.Time, id ID, address string) (index, term int64, err error) {
	if err := n.checkLeader(); err != nil {
		return 0, 0, err
	}
	members := n.log.currentMembers().members
	if member, ok := members.Find(id.Name); ok {
		return 0, 0, &MemberExistsError{Member: member}
	}
	index = n.appendMembers(now, members.With(Member{ID: id, Address: address}))
	return index, n.hardState.Term, nil
}

// Join is like Add for a member that requested its admission itself, uptime after its start. A member of the same name
// with another disk is replaced by it in the same entry, and leaves it its replacement; a member under a new name may
// replace a failed one later. If it had been a member before, it has no suspects, as it may have been removed while it was unreachable.
func (n *Node) Join(now time.Time, id ID, address string, uptime time.Duration, returning bool) (index, term int64, err error) {
	if err := n.checkLeader(); err != nil {
		return 0, 0, err
	}
	members := n.log.currentMembers().members
	member, known := members.Find(id.Name)
	joined := Member{ID: id, Address: address}
	switch {
	case known && member.ID == id:
		return 0, 0, &MemberExistsError{Member: member}
	case known:
		if err := n.checkRemoval(now, members.Without(id.Name), member); err != nil {
			return 0, 0, err
		}
		joined.Replacement = member.Replacement
	default:
		joined.Replacement = &Replacement{Uptime: uptime}
		if !returning {
			// The times of two voters differ by transmission delays.
			joined.Replacement.Suspects = n.unheardSince(now.Add(n.cfg.ElectionTimeout/2 - uptime))
		}
	}
	index = n.appendMembers(now, members.With(joined))
	return index, n.hardState.Term, nil
}

// Replace appends a set of members without a failed one, which a member that joined replaces. If CanSwap, it becomes a voter in the
// same entry, so that the majority never grows. It returns the same errors as Remove.
func (n *Node) Replace(now time.Time, failed, joined ID) (index, term int64, err error) {
	if err := n.checkLeader(); err != nil {
		return 0, 0, err
	}
	members := n.log.currentMembers().members
	for _, id := range []ID{joined, failed} {
		if member, ok := members.Find(id.Name); !ok || member.ID != id {
			return 0, 0, &UnknownMemberError{Name: id.Name}
		}
	}
	removed, _ := members.Find(failed.Name)
	var remaining Members
	swap := n.CanSwap(now, failed, joined)
	for _, member := range members.Without(failed.Name) {
		switch {
		case member.ID == joined:
			member.Replacement = nil
			member.Voter = member.Voter || swap
		case member.Replacement != nil:
			member.Replacement = member.Replacement.Without(failed)
		}
		remaining = append(remaining, member)
	}
	if err := n.checkRemoval(now, remaining, removed); err != nil {
		return 0, 0, err
	}
	index = n.appendMembers(now, remaining)
	return index, n.hardState.Term, nil
}

// SetReplacement appends a set of members in which a member that joined has the given replacement. It returns
// *UnknownMemberError if there is no such member, and otherwise the same errors as Add.
func (n *Node) SetReplacement(now time.Time, joined ID, r *Replacement) (index, term int64, err error) {
	if err := n.checkLeader(); err != nil {
		return 0, 0, err
	}
	members := n.log.currentMembers().members
	member, ok := members.Find(joined.Name)
	if !ok || member.ID != joined {
		return 0, 0, &UnknownMemberError{Name: joined.Name}
	}
	member.Replacement = r
	index = n.appendMembers(now, members.With(member))
	return index, n.hardState.Term, nil
}

// Remove appends a set of members without the named one, and returns the index and term of the entry. It returns
// *UnknownMemberError if no member has the name and *NotLeaderError if this node is not the leader. If the member is a voter, it
// returns *ChangePendingError if another change of the voters is not committed yet, *NotReadyError if no entry of the leader's term
// is, and *QuorumAtRiskError if the remaining voters that respond would not be a majority.
func (n *Node) Remove(now time.Time, name string) (index, term int64, err error) {
	if err := n.checkLeader(); err != nil {
		return 0, 0, err
	}
	members := n.log.currentMembers().members
	member, ok := members.Find(name)
	if !ok {
		return 0, 0, &UnknownMemberError{Name: name}
	}
	remaining := members.Without(name)
	if err := n.checkRemoval(now, remaining, member); err != nil {
		return 0, 0, err
	}
	index = n.appendMembers(now, remaining)
	return index, n.hardState.Term, nil
}

// checkRemoval returns an error if a voter may not be removed now: that of checkVoterChange, or *QuorumAtRiskError if the voters
// that respond would not be a majority of those that remain and, in a swap, of the present ones. A learner may always be removed.
func (n *Node) checkRemoval(now time.Time, remaining Members, removed Member) error {
	if !removed.Voter {
		return nil
	}
	if err := n.checkVoterChange(); err != nil {
		return err
	}
	after, before := remaining.Voters(), n.log.currentMembers().members.Voters()
	sets := [][]ID{after}
	if differing(before, after) > 1 {
		sets = append(sets, before)
	}
	for _, voters := range sets {
		live := 0
		for _, id := range voters {
			if n.responds(now, id) {
				live++
			}
		}
		if live < majority(len(voters)) {
			return &QuorumAtRiskError{Name: removed.ID.Name, Live: live, Voters: len(voters)}
		}
	}
	return nil
}

func (n *Node) checkLeader() error {
	if n.role != leader {
		return &NotLeaderError{Self: n.cfg.Self, Leader: n.leader}
	}
	return nil
}

// checkVoterChange returns an error if the first entry of the leader's term or the previous change of the voters is not committed
// yet, without which two sets of voters could have majorities that do not overlap. Changes of other members change no majority, and
// need not wait.
func (n *Node) checkVoterChange() error {
	if n.commit < n.termStartIndex {
		return &NotReadyError{Term: n.hardState.Term}
	}
	committed := n.log.membersAt(n.commit).Voters()
	for _, set := range n.log.memberSets {
		if set.index > n.commit && !slices.Equal(set.members.Voters(), committed) {
			return &ChangePendingError{Index: set.index}
		}
	}
	return nil
}

func (n *Node) appendMembers(now time.Time, members Members) int64 {
	return n.append(now, Entry{Kind: MembersEntry, Members: members})
}

// promote makes one learner a voter if it has caught up. A learner that has suspects waits for Replace or Promote.
func (n *Node) promote(now time.Time) {
	if n.checkVoterChange() != nil {
		return
	}
	members := n.log.currentMembers().members
	for _, member := range members {
		if member.Voter || !n.CaughtUp(now, member.ID) || member.Replacement != nil && len(member.Replacement.Suspects) > 0 {
			continue
		}
		member.Voter = true
		n.appendMembers(now, members.With(member))
		return
	}
}

// Promote appends a set of members in which a learner is a voter. It returns *UnknownMemberError if there is no such member that has
// caught up, and otherwise the same errors as Remove.
func (n *Node) Promote(now time.Time, id ID) (index, term int64, err error) {
	if err := n.checkLeader(); err != nil {
		return 0, 0, err
	}
	if err := n.checkVoterChange(); err != nil {
		return 0, 0, err
	}
	members := n.log.currentMembers().members
	member, ok := members.Find(id.Name)
	if !ok || member.ID != id || !n.CaughtUp(now, id) {
		return 0, 0, &UnknownMemberError{Name: id.Name}
	}
	member.Voter = true
	index = n.appendMembers(now, members.With(member))
	return index, n.hardState.Term, nil
}

// CaughtUp reports, on the leader, whether a member is responsive, has received all committed entries and has persisted those up to
// the set of members that added it. It need not have persisted later ones, of which a slow disk always lacks some while others are
// added.
func (n *Node) CaughtUp(now time.Time, id ID) bool {
	p := n.progress[id]
	return p != nil && p.match >= n.log.additionOf(id) && p.received >= n.commit && now.Sub(p.ackedAt) <= n.cfg.ElectionTimeout
}

// CanSwap reports whether a learner can take the place of a voter in one entry. All members that respond must know that it needs two
// majorities.
func (n *Node) CanSwap(now time.Time, failed, joined ID) bool {
	members := n.log.currentMembers().members
	if n.role != leader || !members.Voter(failed) || members.Voter(joined) || !n.CaughtUp(now, joined) {
		return false
	}
	for _, member := range members {
		if member.ID != failed && member.ID != n.cfg.Self && n.responds(now, member.ID) && !n.replica(member.ID).supportsSwap {
			return false
		}
	}
	return true
}
