package consensus

import (
	"maps"
	"slices"
	"time"
)

// contact is the last known time at which a member was running.
type contact struct {
	at       time.Time
	stopping bool
	// heardAt is the last such time known from a message of the member itself, or zero if there was none.
	heardAt time.Time
}

// offsetGrowth bounds the growth of the offset of a leaderClock to 1/offsetGrowth of the elapsed time. The offset must be
// able to grow, as clock rates differ and a suspended host's clock stops.
const offsetGrowth = 100

// leaderClock estimates when the messages of a leader were sent, by the shortest delay of one of them.
type leaderClock struct {
	leader ID
	term   int64
	// offset is what must be added to a time on the leader's clock to get the time on this node's clock at which a message
	// sent then arrives with the shortest delay. Both clocks count from the starts of their nodes.
	offset time.Duration
	// updatedAt is the time of the last estimate of offset.
	updatedAt time.Time
}

// update returns the estimate that includes a message of the leader received at now.
func (c leaderClock) update(now, started time.Time, m Message) leaderClock {
	next := leaderClock{leader: m.From, term: m.Term, offset: now.Sub(started) - m.SentAt, updatedAt: now}
	if c.leader == m.From && c.term == m.Term {
		next.offset = min(next.offset, c.offset+now.Sub(c.updatedAt)/offsetGrowth)
	}
	return next
}

// recordContacts updates the last contact with the sender of a message and with the members that the message reports on.
// A leader reports only members that it has had no contact with for an election timeout, so that any other member was
// running within that time.
func (n *Node) recordContacts(now time.Time, m Message) {
	sent, ok := n.sentTime(now, m)
	if !ok {
		return
	}
	n.recordHeard(m.From, sent, m.Stopping)
	for _, c := range m.Contacts {
		if c.Known {
			n.mergeContact(c.Member, contact{at: sent.Add(-c.Age), stopping: c.Stopping})
		}
	}
	if m.Kind == AppendRequest || m.Kind == InstallRequest {
		n.recordHeardByLeader(sent, m)
	}
}

// sentTime estimates when a message was sent; ok is false if the message does not show that its sender was running. The
// time of receipt is used only if no other estimate exists, since a message may arrive long after its sender has ended.
func (n *Node) sentTime(now time.Time, m Message) (at time.Time, ok bool) {
	switch m.Kind {
	case AppendReply:
		return n.started.Add(m.SentAt), n.role == leader && m.Round > 0 && m.Term == n.hardState.Term
	case AppendRequest, InstallRequest:
		if m.Term < n.hardState.Term {
			return time.Time{}, false
		}
		n.leaderClock = n.leaderClock.update(now, n.started, m)
		return n.started.Add(m.SentAt + n.leaderClock.offset), true
	case PreVoteRequest, VoteRequest, TimeoutNow:
		return now, true
	default:
		return time.Time{}, false
	}
}

// recordHeard updates the last contact with a member from one of its own messages, which was sent at the given time.
func (n *Node) recordHeard(id ID, at time.Time, stopping bool) {
	known := n.contacts[id]
	if at.Before(known.heardAt) || at.Before(known.at.Add(-n.cfg.ElectionTimeout)) {
		return
	}
	n.contacts[id] = contact{at: latest(known.at, at), stopping: stopping, heardAt: at}
}

func (n *Node) recordHeardByLeader(sent time.Time, m Message) {
	silent := make(map[ID]bool, len(m.Contacts))
	for _, c := range m.Contacts {
		silent[c.Member] = true
	}
	for _, member := range n.log.currentMembers().members {
		if !silent[member.ID] {
			n.mergeContact(member.ID, contact{at: sent.Add(-n.cfg.ElectionTimeout)})
		}
	}
	n.trimContacts()
}

// trimContacts drops the contacts of former members.
func (n *Node) trimContacts() {
	members := n.uncommittedMembers()
	maps.DeleteFunc(n.contacts, func(id ID, _ contact) bool { return !slices.Contains(members, id) })
}

// uncommittedMembers returns the members of the committed set and of all later ones. A member whose removal is not committed may
// remain one, so that its contacts are kept and reported.
func (n *Node) uncommittedMembers() []ID {
	var all []ID
	for i, s := range n.log.memberSets {
		if i+1 < len(n.log.memberSets) && n.log.memberSets[i+1].index <= n.commit {
			continue
		}
		for _, member := range s.members {
			if !slices.Contains(all, member.ID) {
				all = append(all, member.ID)
			}
		}
	}
	return all
}

// mergeContact updates the last contact with a member from the report of another one. An announced stop is kept if the
// reported time is slightly older than the known one, as reports are subject to transmission delays.
func (n *Node) mergeContact(id ID, told contact) {
	known, ok := n.contacts[id]
	switch {
	case id == n.cfg.Self:
	case !ok:
		n.contacts[id] = told
	case told.stopping && known.at.Sub(told.at) < n.cfg.ElectionTimeout:
		n.contacts[id] = contact{at: latest(known.at, told.at), stopping: true, heardAt: known.heardAt}
	case told.at.After(known.at):
		n.contacts[id] = contact{at: told.at, stopping: told.stopping, heardAt: known.heardAt}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// silentMembers returns the other members without contact for at least an election timeout.
func (n *Node) silentMembers(now time.Time) []Contact {
	var silent []Contact
	for _, id := range n.uncommittedMembers() {
		if id == n.cfg.Self {
			continue
		}
		c, known := n.contacts[id]
		if age := now.Sub(c.at); !known {
			silent = append(silent, Contact{Member: id})
		} else if age >= n.cfg.ElectionTimeout {
			silent = append(silent, Contact{Member: id, Age: age, Known: true, Stopping: c.stopping})
		}
	}
	return silent
}

// newerContacts returns the contacts that are newer than those reported by the leader. If the leader reported a time, only
// messages received from the member itself are considered: each report adds a transmission delay to the time, so that two
// voters exchanging reports would advance it forever.
func (n *Node) newerContacts(now time.Time, told []Contact) []Contact {
	var newer []Contact
	for _, t := range told {
		c, known := n.contacts[t.Member]
		at := c.at
		if t.Known {
			at, known = c.heardAt, !c.heardAt.IsZero() && now.Sub(c.heardAt) < t.Age
		}
		if known {
			newer = append(newer, Contact{Member: t.Member, Age: now.Sub(at), Known: true, Stopping: c.stopping})
		}
	}
	return newer
}

// unheardSince returns the other members without contact since a time.
func (n *Node) unheardSince(since time.Time) []ID {
	var unheard []ID
	for _, member := range n.log.currentMembers().members {
		if member.ID != n.cfg.Self && !n.contacts[member.ID].at.After(since) {
			unheard = append(unheard, member.ID)
		}
	}
	return unheard
}

// Silences returns, on a leader, for each other member the time since its last contact or, if none is known,
// since this node has replicated to it; on any other node it returns nil.
func (n *Node) Silences(now time.Time) []Contact {
	if n.role != leader {
		return nil
	}
	var all []Contact
	for _, member := range n.log.currentMembers().members {
		if member.ID == n.cfg.Self {
			continue
		}
		c, known := n.contacts[member.ID]
		if !known {
			c.at = n.progress[member.ID].since
		}
		all = append(all, Contact{Member: member.ID, Age: now.Sub(c.at), Known: known, Stopping: c.stopping})
	}
	return all
}

// AnnounceStop sets Stopping in all later messages of this node.
func (n *Node) AnnounceStop() { n.stopping = true }
