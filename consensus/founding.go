package consensus

import "time"

// found asks every founder for its disk. The founding is an election in which
// every founder must vote for the first one, and each only while it is empty;
// an instance whose disk was lost can therefore not found a second quorum
// while another founder remembers the first one.
func (n *Node) found() {
	if len(n.cfg.Founders) == 0 || n.cfg.Founders[0].Name != n.cfg.Self.Name {
		return
	}
	if n.hard.Vote != n.cfg.Self {
		n.hard = HardState{Term: n.hard.Term + 1, Vote: n.cfg.Self}
		n.founding = nil
	}
	if n.founding == nil {
		n.founding = map[string]ID{n.cfg.Self.Name: n.cfg.Self}
	}
	for _, f := range n.cfg.Founders {
		if n.founding[f.Name] == (ID{}) {
			n.send(ID{Name: f.Name}, f.Address, Message{Kind: FoundRequest})
		}
	}
	n.finishFounding(n.electionAt)
}

func (n *Node) onFoundRequest(m Message) {
	if m.To.Name != n.cfg.Self.Name || m.From.Name == n.cfg.Self.Name {
		return
	}
	empty := n.log.last() == 0 && len(n.cfg.Founders) > 0
	if empty && m.Term > n.hard.Term {
		n.hard = HardState{Term: m.Term, Vote: m.From}
	}
	granted := empty && n.hard == HardState{Term: m.Term, Vote: m.From}
	n.reply(m, Message{Kind: FoundReply, Granted: granted})
}

func (n *Node) onFoundReply(now time.Time, m Message) {
	if n.founding == nil || n.log.last() > 0 {
		return
	}
	if !m.Granted && m.Term > n.hard.Term {
		n.hard = HardState{Term: m.Term}
		return
	}
	if !m.Granted || m.Term != n.hard.Term {
		return
	}
	n.founding[m.From.Name] = m.From
	n.finishFounding(now)
}

// finishFounding makes the founder the leader once every founder has voted for it.
func (n *Node) finishFounding(now time.Time) {
	var members Members
	for _, f := range n.cfg.Founders {
		id := n.founding[f.Name]
		if id == (ID{}) {
			return
		}
		members = members.With(Member{ID: id, Address: f.Address, Voter: true})
	}
	n.founding = nil
	n.lead(now, Entry{Kind: MembersEntry, Members: members})
}
