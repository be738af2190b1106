package consensus

import "time"

// Add appends a set of members with a new learner, which becomes a voter once
// it has caught up, and returns the index and term of the entry. It returns
// *MemberExistsError if a member has the same name, *ChangePendingError if
// another change is not committed yet, *NotLeaderError if this node is not the
// leader, and *NotReadyError if no entry of the leader's term is committed yet.
func (n *Node) Add(now time.Time, id ID, address string) (index, term int64, err error) {
	if err := n.checkChangeAllowed(); err != nil {
		return 0, 0, err
	}
	members := n.log.currentMembers().members
	if member, ok := members.Find(id.Name); ok {
		return 0, 0, &MemberExistsError{Member: member}
	}
	index = n.appendMembers(now, members.With(Member{ID: id, Address: address}))
	return index, n.hardState.Term, nil
}

// Remove appends a set of members without the named one, and returns the index
// and term of the entry. It returns *UnknownMemberError if no member has the
// name, *QuorumAtRiskError if the remaining voters that respond would not be a
// majority, and otherwise the same errors as Add.
func (n *Node) Remove(now time.Time, name string) (index, term int64, err error) {
	if err := n.checkChangeAllowed(); err != nil {
		return 0, 0, err
	}
	members := n.log.currentMembers().members
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
	index = n.appendMembers(now, members)
	return index, n.hardState.Term, nil
}

// checkChangeAllowed returns an error if the node is not the leader, or if the previous membership change or the first
// entry of the leader's term is not committed yet.
func (n *Node) checkChangeAllowed() error {
	if n.role != leader {
		return &NotLeaderError{Self: n.cfg.Self, Leader: n.leader}
	}
	if n.commit < n.termStartIndex {
		return &NotReadyError{Term: n.hardState.Term}
	}
	if set := n.log.currentMembers(); set.index > n.commit {
		return &ChangePendingError{Index: set.index}
	}
	return nil
}

func (n *Node) appendMembers(now time.Time, members Members) int64 {
	return n.append(now, Entry{Kind: MembersEntry, Members: members})
}

// promote makes one learner a voter if it is responsive and has all committed entries.
func (n *Node) promote(now time.Time) {
	if n.checkChangeAllowed() != nil {
		return
	}
	members := n.log.currentMembers().members
	for _, member := range members {
		p := n.progress[member.ID]
		if member.Voter || p == nil || p.match < n.commit || now.Sub(p.ackedAt) > n.cfg.ElectionTimeout {
			continue
		}
		member.Voter = true
		n.appendMembers(now, members.With(member))
		return
	}
}
