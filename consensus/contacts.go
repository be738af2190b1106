package consensus

import (
	"maps"
	"time"
)

// contact is the last known sign of life of a member.
type contact struct {
	at       time.Time
	stopping bool
	// heardAt is the time of the last sign of life in a message from the member itself, or zero if there was none.
	heardAt time.Time
}

// offsetGrowth is the divisor of the time in which the offset of a leaderClock may grow: clocks run at different rates,
// and one of a suspended machine stands still.
const offsetGrowth = 100

// leaderClock estimates when the messages of a leader were sent, by the shortest delay of one of them.
type leaderClock struct {
	leader ID
	term   int64
	// offset is the time from the start of the leader's node to that of this one, including the shortest delay, and
	// updatedAt when it was estimated.
	offset    time.Duration
	updatedAt time.Time
}

// update returns the clock after a message of the leader that was received at now.
func (c leaderClock) update(now, started time.Time, m Message) leaderClock {
	next := leaderClock{leader: m.From, term: m.Term, offset: now.Sub(started) - m.SentAt, updatedAt: now}
	if c.leader == m.From && c.term == m.Term {
		next.offset = min(next.offset, c.offset+now.Sub(c.updatedAt)/offsetGrowth)
	}
	return next
}

// recordContacts records a sign of life of the sender of a message, and what the sender knows of other members. A member
// that a leader does not name has been heard by that leader within an election timeout.
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

// sentTime returns a time, not much before the message was sent, at which its sender was alive; ok is false if the message
// is no sign of life. A message may be delivered long after its sender has ended, so that the time of its receipt shows
// nothing where another time is known.
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

// recordHeard records that a member was alive at a time and whether it had announced its stop.
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
	members := n.log.currentMembers().members
	maps.DeleteFunc(n.contacts, func(id ID, _ contact) bool {
		member, ok := members.Find(id.Name)
		return !ok || member.ID != id
	})
}

// mergeContact records a sign of life that another member has told. An announced stop stands although the times of two
// voters differ by transmission delays.
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

// silentMembers returns the other members that have not been heard from for an election timeout, or never.
func (n *Node) silentMembers(now time.Time) []Contact {
	var silent []Contact
	for _, member := range n.log.currentMembers().members {
		if member.ID == n.cfg.Self {
			continue
		}
		c, known := n.contacts[member.ID]
		if age := now.Sub(c.at); !known {
			silent = append(silent, Contact{Member: member.ID})
		} else if age >= n.cfg.ElectionTimeout {
			silent = append(silent, Contact{Member: member.ID, Age: age, Known: true, Stopping: c.stopping})
		}
	}
	return silent
}

// newerContacts returns the signs of life of the given members that the leader does not know. Of a member with a known
// sign of life only messages from the member itself count: what two voters tell each other grows newer by the
// transmission delay each time.
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

// unheardSince returns the other members without a sign of life since a time.
func (n *Node) unheardSince(since time.Time) []ID {
	var unheard []ID
	for _, member := range n.log.currentMembers().members {
		if member.ID != n.cfg.Self && !n.contacts[member.ID].at.After(since) {
			unheard = append(unheard, member.ID)
		}
	}
	return unheard
}

// Silences returns, on a leader, for each other member the time since its last known sign of life or, if none is known,
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

// AnnounceStop has all later messages of this node tell that it is about to stop.
func (n *Node) AnnounceStop() { n.stopping = true }
