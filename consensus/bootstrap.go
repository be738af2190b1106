package consensus

import "time"

// bootstrap asks the other initial voters for their votes and for the identities
// of their disks; it does nothing unless this node is the first in the list of
// initial voters. Bootstrap is an election in which all initial voters must vote
// for the first one, and a node votes only while its log is empty. Initial
// voters whose disks were wiped therefore cannot bootstrap a second quorum while
// another initial voter still has the log of the first quorum. A node in the
// place of another initial voter whose disk was wiped may vote, since only the
// first one can have bootstrapped a quorum.
func (n *Node) bootstrap() {
	if len(n.cfg.InitialVoters) == 0 || n.cfg.InitialVoters[0].Name != n.cfg.Self.Name {
		return
	}
	if n.hardState.Vote != n.cfg.Self {
		n.hardState = HardState{Term: n.hardState.Term + 1, Vote: n.cfg.Self}
		n.bootstrapVotes = nil
	}
	if n.bootstrapVotes == nil {
		n.bootstrapVotes = map[string]ID{n.cfg.Self.Name: n.cfg.Self}
	}
	for _, v := range n.cfg.InitialVoters {
		if n.bootstrapVotes[v.Name] == (ID{}) {
			n.send(ID{Name: v.Name}, v.Address, Message{Kind: BootstrapRequest})
		}
	}
	n.finishBootstrap(n.electionAt)
}

func (n *Node) onBootstrapRequest(m Message) {
	if m.To.Name != n.cfg.Self.Name || m.From.Name == n.cfg.Self.Name {
		return
	}
	empty := n.log.last() == 0
	if empty && m.Term > n.hardState.Term {
		n.hardState = HardState{Term: m.Term, Vote: m.From}
	}
	granted := empty && n.hardState == HardState{Term: m.Term, Vote: m.From}
	n.reply(m, Message{Kind: BootstrapReply, Granted: granted})
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

// finishBootstrap makes this node the leader once all initial voters have voted for it, and its own vote is durable.
func (n *Node) finishBootstrap(now time.Time) {
	if n.bootstrapVotes == nil || n.hardState != n.durable.hardState {
		return
	}
	var members Members
	for _, v := range n.cfg.InitialVoters {
		id := n.bootstrapVotes[v.Name]
		if id == (ID{}) {
			return
		}
		members = members.With(Member{ID: id, Address: v.Address, Voter: true})
	}
	n.bootstrapVotes = nil
	n.becomeLeader(now, Entry{Kind: MembersEntry, Members: members})
}
