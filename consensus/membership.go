package consensus

import "time"

// Add appends a set of members with a new learner, which becomes a voter when
// it has caught up. It returns the index and term of the entry. A member of
// the same name returns *MemberExistsError, another change in progress
// *ChangePendingError.
func (n *Node) Add(now time.Time, id ID, address string) (index, term int64, err error) {
	if err := n.mayChange(); err != nil {
		return 0, 0, err
	}
	members := n.log.set().members
	if member, ok := members.Find(id.Name); ok {
		return 0, 0, &MemberExistsError{Member: member}
	}
	index = n.change(now, members.With(Member{ID: id, Address: address}))
	return index, n.hard.Term, nil
}

// Remove appends a set of members without one. A name that is no member's
// returns *UnknownMemberError; a removal that would leave no majority of
// voters that answer returns *QuorumAtRiskError.
func (n *Node) Remove(now time.Time, name string) (index, term int64, err error) {
	if err := n.mayChange(); err != nil {
		return 0, 0, err
	}
	members := n.log.set().members
	if _, ok := members.Find(name); !ok {
		return 0, 0, &UnknownMemberError{Name: name}
	}
	members = members.Without(name)
	voters := members.Voters()
	live := 0
	for _, id := range voters {
		if id == n.cfg.Self || now.Sub(n.progress[id].ackedAt) < 2*n.cfg.ElectionTimeout {
			live++
		}
	}
	if live < majority(len(voters)) {
		return 0, 0, &QuorumAtRiskError{Name: name, Live: live, Voters: len(voters)}
	}
	index = n.change(now, members)
	return index, n.hard.Term, nil
}

// mayChange refuses a change until the last one and an entry of this term are committed.
func (n *Node) mayChange() error {
	if n.role != leader {
		return &NotLeaderError{Self: n.cfg.Self, Leader: n.leader}
	}
	if n.commit < n.termStart {
		return &NotReadyError{Term: n.hard.Term}
	}
	if set := n.log.set(); set.index > n.commit {
		return &ChangePendingError{Index: set.index}
	}
	return nil
}

func (n *Node) change(now time.Time, members Members) int64 {
	return n.append(now, Entry{Kind: MembersEntry, Members: members})
}

// promote makes a learner that has all committed entries and answers a voter.
func (n *Node) promote(now time.Time) {
	if n.mayChange() != nil {
		return
	}
	members := n.log.set().members
	for _, member := range members {
		p := n.progress[member.ID]
		if member.Voter || p == nil || p.match < n.commit || now.Sub(p.ackedAt) > n.cfg.ElectionTimeout {
			continue
		}
		member.Voter = true
		n.change(now, members.With(member))
		return
	}
}
