package consensus

import "time"

// resetElection sets the time of the next election at random in [1, 2) election timeouts.
func (n *Node) resetElection(now time.Time) {
	timeout := n.cfg.ElectionTimeout
	n.electionAt = now.Add(timeout + time.Duration(n.rnd.Int64N(int64(timeout))))
}

// promised reports whether the node must not vote, since a leader may rely on its silence.
func (n *Node) promised(now time.Time) bool {
	return now.Sub(n.heard) < n.cfg.ElectionTimeout
}

// follow makes the node a follower in a term that is the present one or higher.
func (n *Node) follow(now time.Time, term int64) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
	}
	if n.role == leader {
		n.failReads()
		n.resetElection(now)
	}
	n.role = follower
	n.leader = ID{}
	n.progress = nil
}

// hear notes a message of the term's leader.
func (n *Node) hear(now time.Time, m Message) {
	if n.role != follower {
		n.follow(now, m.Term)
	}
	n.leader = m.From
	n.heard = now
	n.founding = nil
	n.resetElection(now)
}

// preCampaign asks whether an election could be won, without a new term.
func (n *Node) preCampaign(now time.Time) {
	n.role = preCandidate
	n.leader = ID{}
	n.votes = map[ID]bool{n.cfg.Self: true}
	// A refused pre-vote harms nobody, so that it is repeated sooner than an election: after a restart of all voters the
	// promises of the last ones to start end a little later.
	n.electionAt = now.Add(n.cfg.ElectionTimeout/2 + time.Duration(n.rnd.Int64N(int64(n.cfg.ElectionTimeout/2))))
	if n.wonVotes() {
		n.campaign(now, false)
		return
	}
	n.sendMembers(Message{Kind: PreVoteRequest, Term: n.hard.Term + 1, Index: n.log.last(), LogTerm: n.log.lastTerm()}, true)
}

func (n *Node) onPreVoteRequest(now time.Time, m Message) {
	granted := n.role != leader && !n.promised(now) && m.Term > n.hard.Term && n.upToDate(m)
	term := n.hard.Term
	if granted {
		term = m.Term
	}
	n.reply(m, Message{Kind: PreVoteReply, Term: term, Granted: granted})
}

func (n *Node) onPreVoteReply(now time.Time, m Message) {
	if n.role != preCandidate || !m.Granted || m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = true
	if n.wonVotes() {
		n.campaign(now, false)
	}
}

// campaign stands for election in a new term.
func (n *Node) campaign(now time.Time, transfer bool) {
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.cfg.Self}
	n.role = candidate
	n.leader = ID{}
	n.votes = map[ID]bool{n.cfg.Self: true}
	n.resetElection(now)
	if n.wonVotes() {
		n.lead(now, Entry{Kind: TermEntry})
		return
	}
	n.sendMembers(Message{Kind: VoteRequest, Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer}, true)
}

func (n *Node) onVoteRequest(now time.Time, m Message) {
	granted := (n.hard.Vote == ID{} || n.hard.Vote == m.From) && n.upToDate(m)
	if granted {
		n.hard.Vote = m.From
		n.resetElection(now)
	}
	n.reply(m, Message{Kind: VoteReply, Granted: granted})
}

func (n *Node) onVoteReply(now time.Time, m Message) {
	if n.role != candidate || !m.Granted {
		return
	}
	n.votes[m.From] = true
	if n.wonVotes() {
		n.lead(now, Entry{Kind: TermEntry})
	}
}

// upToDate reports whether the candidate's log is at least as new as this one.
func (n *Node) upToDate(m Message) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.Index >= n.log.last()
}

// wonVotes reports whether a majority of the voters has voted for this node; a vote counts only with the member's disk.
func (n *Node) wonVotes() bool {
	voters := n.log.set().members.Voters()
	count := 0
	for _, id := range voters {
		if n.votes[id] {
			count++
		}
	}
	return count >= majority(len(voters))
}

// lead makes the node the leader of its term, which begins with an entry.
func (n *Node) lead(now time.Time, first Entry) {
	n.role = leader
	n.leader = n.cfg.Self
	n.progress = map[ID]*progress{}
	n.reads = nil
	n.ledSince = now
	n.termStart = n.log.last() + 1
	n.append(now, first)
	n.heartbeatAt = now
	n.tickLeader(now)
}

// Transfer steps down in favour of the voter with the newest log; it reports
// whether there was one. The lease ends before the other voter stands.
func (n *Node) Transfer(now time.Time) bool {
	if n.role != leader {
		return false
	}
	for _, member := range n.log.set().members {
		p := n.progress[member.ID]
		if p == nil || !member.Voter || p.match < n.log.last() || now.Sub(p.ackedAt) > n.cfg.ElectionTimeout {
			continue
		}
		n.follow(now, n.hard.Term)
		n.send(member.ID, member.Address, Message{Kind: TimeoutNow})
		return true
	}
	return false
}
