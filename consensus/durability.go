package consensus

import "time"

// durableState is what a node finds after a restart.
type durableState struct {
	hardState HardState
	// last and lastTerm are those of the last entry. Until a snapshot that replaced the log is durable, they are those of the log
	// before, which the node may have acknowledged.
	last, lastTerm int64
}

// beginWrite adds what must be persisted to the actions, unless a write is in progress.
func (n *Node) beginWrite(out *Actions) {
	if n.writing != nil || !n.rewrite && n.hardState == n.durable.hardState && n.log.firstUnwritten > n.log.last() && n.commit == n.writtenCommit {
		return
	}
	out.Commit, n.writtenCommit = n.commit, n.commit
	if n.rewrite || n.hardState != n.durable.hardState {
		hard := n.hardState
		out.HardState = &hard
	}
	first := n.log.firstUnwritten
	if n.rewrite {
		out.Snapshot, first = n.snapshot, n.snapshot.Index+1
	}
	out.Entries = n.log.slice(first, n.log.last())
	n.log.firstUnwritten = n.log.last() + 1
	n.rewrite = false
	n.writing = &durableState{hardState: n.hardState, last: n.log.last(), lastTerm: n.log.lastTerm()}
}

// Persisted reports that the state returned by the last Actions that persisted any is durable.
func (n *Node) Persisted(now time.Time) {
	if n.writing == nil {
		return
	}
	acknowledged := n.acknowledged()
	n.durable, n.writing = *n.writing, nil
	n.finishBootstrap(now)
	n.finishElection(now)
	switch {
	case n.role == leader:
		n.advanceCommit(now)
	case n.leader != ID{} && n.acknowledged() > acknowledged:
		n.send(n.leader, n.leaderAddress, Message{Kind: AppendReply, Granted: true, Index: n.matched, Match: n.acknowledged()})
	}
}

// acknowledged returns the last index that this node may acknowledge to the leader of the current term. The term must be
// durable too, as the node could otherwise restart in an earlier one and let that term's leader replace the entries.
func (n *Node) acknowledged() int64 {
	if n.matchedTerm != n.hardState.Term || n.durable.hardState.Term != n.hardState.Term {
		return 0
	}
	return min(n.matched, n.durable.last)
}

// truncate drops the entries from index on, which the leader's log lacks, so that they are not committed. They are no longer durable
// even if a write of them is in progress.
func (n *Node) truncate(index int64) {
	n.log.truncate(index)
	for _, s := range []*durableState{&n.durable, n.writing} {
		if s != nil && s.last >= index {
			s.last, s.lastTerm = n.log.last(), n.log.lastTerm()
		}
	}
}

// mustHold reports whether a message promises a vote that could be forgotten in a restart. All other messages are sent at
// once: a heartbeat, its reply and a pre-vote promise nothing that a restarted node would break, as it withholds its vote for one
// election timeout, and acknowledged entries are durable. A vote request is not a promise, see campaign.
func (n *Node) mustHold(m Message) bool {
	switch m.Kind {
	case VoteReply, BootstrapReply:
		return m.Granted && n.hardState != n.durable.hardState
	case BootstrapRequest:
		return n.hardState != n.durable.hardState
	default:
		return false
	}
}

// hold keeps a message until the hard state is durable. It replaces an earlier one of its kind for the same receiver.
func (n *Node) hold(m Message) {
	for i, other := range n.held {
		if other.Kind == m.Kind && other.To == m.To {
			n.held[i] = m
			return
		}
	}
	n.held = append(n.held, m)
}

// releaseHeld sends the messages that were held until the hard state is durable, and drops those of earlier terms.
func (n *Node) releaseHeld() {
	if n.hardState != n.durable.hardState {
		return
	}
	for _, m := range n.held {
		if m.Term == n.hardState.Term {
			n.out.Messages = append(n.out.Messages, m)
		}
	}
	n.held = nil
}
