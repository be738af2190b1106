package consensus

import "time"

// bootstrap asks every founder for the identity of its disk. Bootstrap is an
// election in which all founders must vote for the first one, and a founder
// votes only while its log is empty. Founders whose disks were wiped therefore
// cannot bootstrap a second quorum while another founder still has the log of
// the first one.
func (n *Node) bootstrap() {
	if len(n.cfg.Founders) == 0 || n.cfg.Founders[0].Name != n.cfg.Self.Name {
		return
	}
	if n.hardState.Vote != n.cfg.Self {
		n.hardState = HardState{Term: n.hardState.Term + 1, Vote: n.cfg.Self}
		n.bootstrapVotes = nil
	}
	if n.bootstrapVotes == nil {
		n.bootstrapVotes = map[string]ID{n.cfg.Self.Name: n.cfg.Self}
	}
	for _, f := range n.cfg.Founders {
		if n.bootstrapVotes[f.Name] == (ID{}) {
			n.send(ID{Name: f.Name}, f.Address, Message{Kind: FoundRequest})
		}
	}
	n.finishBootstrap(n.electionAt)
}

func (n *Node) onBootstrapRequest(m Message) {
	if m.To.Name != n.cfg.Self.Name || m.From.Name == n.cfg.Self.Name {
		return
	}
	empty := n.log.last() == 0 && len(n.cfg.Founders) > 0
	if empty && m.Term > n.hardState.Term {
		n.hardState = HardState{Term: m.Term, Vote: m.From}
	}
	granted := empty && n.hardState == HardState{Term: m.Term, Vote: m.From}
	n.reply(m, Message{Kind: FoundReply, Granted: granted})
}

func (n *Node) onBootstrapReply(now time.Time, m Message) {
	if n.bootstrapVotes == nil || n.log.last() > 0 {
		return
	}
	if !m.Granted && m.Term > n.hardState.Term {
		n.hardState = HardState{Term: m.Term}
		return
	}
	if !m.Granted || m.Term != n.hardState.Term {
		return
	}
	n.bootstrapVotes[m.From.Name] = m.From
	n.finishBootstrap(now)
}

// finishBootstrap makes this node the leader once all founders have voted for it.
func (n *Node) finishBootstrap(now time.Time) {
	var members Members
	for _, f := range n.cfg.Founders {
		id := n.bootstrapVotes[f.Name]
		if id == (ID{}) {
			return
		}
		members = members.With(Member{ID: id, Address: f.Address, Voter: true})
	}
	n.bootstrapVotes = nil
	n.becomeLeader(now, Entry{Kind: MembersEntry, Members: members})
}
