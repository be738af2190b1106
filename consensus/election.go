package consensus

import "time"

// resetElection sets the next election to a random time between one (inclusive) and two election timeouts from now.
func (n *Node) resetElection(now time.Time) {
	timeout := n.cfg.ElectionTimeout
	n.electionAt = now.Add(timeout + time.Duration(n.rnd.Int64N(int64(timeout))))
}

// withholdsVote reports whether the node must not vote, because the lease of a leader that it acknowledged may still
// run.
func (n *Node) withholdsVote(now time.Time) bool {
	return now.Sub(n.lastLeaderContact) < n.cfg.ElectionTimeout
}

// becomeFollower makes the node a follower in term, which is the current term or higher.
func (n *Node) becomeFollower(now time.Time, term int64) {
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
	}
	if n.role == leader {
		n.failReads()
		n.resetElection(now)
	}
	n.role = follower
	n.leader = ID{}
	n.preVotes = nil
	n.progress = nil
}

// observeLeader records a message from the leader of the current term.
func (n *Node) observeLeader(now time.Time, m Message) {
	if n.role != follower {
		n.becomeFollower(now, m.Term)
	}
	if n.matchedTerm != m.Term {
		n.matched, n.matchedTerm = 0, m.Term
	}
	n.leader, n.leaderAddress = m.From, m.FromAddress
	n.preVotes = nil
	n.lastLeaderContact = now
	n.bootstrapVotes = nil
	n.resetElection(now)
}

// preCampaign asks the voters whether this node could win an election, without starting a new term. A candidate remains one
// meanwhile, since the votes for it may be delayed by slow disks.
func (n *Node) preCampaign(now time.Time) {
	n.leader = ID{}
	n.preVotes = map[ID]bool{n.cfg.Self: true}
	// A refused pre-vote disturbs no leader, so it is repeated sooner than an election. After a restart of all voters,
	// the first pre-votes may be refused, because those voters that started last withhold their votes the longest.
	n.electionAt = now.Add(n.cfg.ElectionTimeout/2 + time.Duration(n.rnd.Int64N(int64(n.cfg.ElectionTimeout/2))))
	if n.hasMajority(n.preVotes) {
		n.campaign(now, false)
		return
	}
	n.sendToMembers(Message{Kind: PreVoteRequest, Term: n.hardState.Term + 1, Index: n.durable.last, LogTerm: n.durable.lastTerm}, true)
}

// onPreVoteRequest refuses a pre-vote while this node's vote is not durable: the election that it voted in may still be won,
// however long the disks take.
func (n *Node) onPreVoteRequest(now time.Time, m Message) {
	granted := n.role != leader && !n.withholdsVote(now) && m.Term > n.hardState.Term && n.hardState == n.durable.hardState && n.upToDate(m)
	term := n.hardState.Term
	if granted {
		term = m.Term
	}
	n.reply(m, Message{Kind: PreVoteReply, Term: term, Granted: granted})
}

func (n *Node) onPreVoteReply(now time.Time, m Message) {
	if n.preVotes == nil || !m.Granted || m.Term != n.hardState.Term+1 {
		return
	}
	n.preVotes[m.From] = true
	if n.hasMajority(n.preVotes) {
		n.campaign(now, false)
	}
}

// campaign starts an election in a new term; transfer marks that the leader has stepped down in this node's favour. The votes
// are requested while this node's own vote is being persisted, so that the voters do so at the same time and start no elections
// of their own. It counts its own vote, and can be elected, only once that is durable.
//
// The request names the last durable entry. If the node restarts and requests votes in the same term again, its log is
// therefore still as up to date as its first request stated, to which late replies may arrive.
func (n *Node) campaign(now time.Time, transfer bool) {
	n.hardState = HardState{Term: n.hardState.Term + 1, Vote: n.cfg.Self}
	n.role = candidate
	n.leader = ID{}
	n.votes, n.preVotes = map[ID]bool{}, nil
	n.resetElection(now)
	n.sendToMembers(Message{Kind: VoteRequest, Index: n.durable.last, LogTerm: n.durable.lastTerm, Transfer: transfer}, true)
}

func (n *Node) onVoteRequest(now time.Time, m Message) {
	granted := (n.hardState.Vote == ID{} || n.hardState.Vote == m.From) && n.upToDate(m)
	if granted {
		n.hardState.Vote = m.From
		n.preVotes = nil
		n.resetElection(now)
	}
	n.reply(m, Message{Kind: VoteReply, Granted: granted})
}

func (n *Node) onVoteReply(now time.Time, m Message) {
	if n.role != candidate || !m.Granted {
		return
	}
	n.votes[m.From] = true
	n.finishElection(now)
}

// finishElection makes a candidate the leader once its own vote is durable and a majority has voted for it.
func (n *Node) finishElection(now time.Time) {
	if n.role != candidate || n.hardState != n.durable.hardState {
		return
	}
	n.votes[n.cfg.Self] = true
	if n.hasMajority(n.votes) {
		n.becomeLeader(now, Entry{Kind: TermEntry})
	}
}

// upToDate reports whether the candidate's log is at least as up to date as the durable part of this node's log, which holds
// all entries that it has acknowledged.
func (n *Node) upToDate(m Message) bool {
	if m.LogTerm != n.durable.lastTerm {
		return m.LogTerm > n.durable.lastTerm
	}
	return m.Index >= n.durable.last
}

// becomeLeader makes the node the leader of its term and appends the term's first entry.
func (n *Node) becomeLeader(now time.Time, first Entry) {
	n.role = leader
	n.leader = n.cfg.Self
	n.preVotes = nil
	n.progress = map[ID]*progress{}
	n.pendingReads = nil
	n.leaderSince = now
	n.termStartIndex = n.log.last() + 1
	n.append(now, first)
	n.heartbeatAt = now
	n.tickLeader(now)
}

// Transfer steps down in favour of a responsive voter whose log is complete,
// and reports whether there was one. The lease ends before that voter starts
// its election.
func (n *Node) Transfer(now time.Time) bool {
	if n.role != leader {
		return false
	}
	for _, member := range n.log.currentMembers().members {
		p := n.progress[member.ID]
		if p == nil || !member.Voter || p.match < n.log.last() || now.Sub(p.ackedAt) > n.cfg.ElectionTimeout {
			continue
		}
		n.becomeFollower(now, n.hardState.Term)
		n.send(member.ID, member.Address, Message{Kind: TimeoutNow})
		return true
	}
	return false
}
