package consensus

import (
	"cmp"
	"time"
)

// Limits of one AppendRequest.
const (
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
)

// progress is a leader's view of the replication to another member.
type progress struct {
	// since is the time from which this node has replicated to the member.
	since time.Time
	match int64
	next  int64
	// received is the last index that the member has received, and receivedRound the round in which this was learned.
	received, receivedRound int64
	// supportsSwap reports that the member's version waits for two majorities while a swap of voters is not committed.
	supportsSwap bool
	// inflightSince is the time at which the unacknowledged entries or snapshot were sent, or zero if there are none.
	inflightSince time.Time
	// inflightRound is the heartbeat round in which they were sent; after a reply to a later round, they are considered
	// lost.
	inflightRound int64
	// ackedAt and ackedRound are the send time and the round of the newest acknowledged request.
	ackedAt    time.Time
	ackedRound int64
}

// Propose appends a command and returns its index and term. The command is committed if the entry committed at this
// index has this term, and is lost otherwise. A node that is not the leader returns *NotLeaderError.
func (n *Node) Propose(now time.Time, data []byte) (index, term int64, err error) {
	if n.role != leader {
		return 0, 0, &NotLeaderError{Self: n.cfg.Self, Leader: n.leader}
	}
	index = n.append(now, Entry{Kind: CommandEntry, Data: data})
	return index, n.hardState.Term, nil
}

// append adds an entry of the current term to the leader's log, sends it, and returns its index.
func (n *Node) append(now time.Time, e Entry) int64 {
	e.Index = n.log.last() + 1
	e.Term = n.hardState.Term
	n.log.append(e)
	n.trackMembers(now)
	n.sendEntries(now)
	n.advanceCommit(now)
	return e.Index
}

// trackMembers updates progress to hold exactly the other members.
func (n *Node) trackMembers(now time.Time) {
	kept := map[ID]*progress{}
	for _, member := range n.log.currentMembers().members {
		if member.ID == n.cfg.Self {
			continue
		}
		kept[member.ID] = n.progress[member.ID]
		if kept[member.ID] == nil {
			kept[member.ID] = &progress{since: now, next: n.log.last()}
		}
	}
	n.progress = kept
	n.trimContacts()
}

// tickLeader sends heartbeats and promotes a learner, or steps down if no majority has acknowledged a request within
// two election timeouts.
func (n *Node) tickLeader(now time.Time) {
	if now.Before(n.heartbeatAt) {
		return
	}
	n.heartbeatAt = now.Add(n.cfg.Heartbeat)
	sinceQuorum := min(now.Sub(n.quorumAckTime(now)), now.Sub(n.leaderSince))
	if sinceQuorum > 2*n.cfg.ElectionTimeout {
		n.becomeFollower(now, n.hardState.Term)
		return
	}
	n.promote(now)
	n.heartbeat(now)
	n.sendEntries(now)
}

// heartbeat starts a new round and sends every other member an empty request at the last index known to match.
func (n *Node) heartbeat(now time.Time) {
	n.round++
	for _, member := range n.log.currentMembers().members {
		p := n.progress[member.ID]
		if p == nil {
			continue
		}
		term, ok := n.log.term(p.match)
		index := p.match
		if !ok {
			index, term = 0, 0
		}
		n.sendAppend(now, member, index, term, nil)
	}
}

func (n *Node) sendAppend(now time.Time, to Member, index, term int64, entries []Entry) {
	n.send(to.ID, to.Address, Message{
		Kind: AppendRequest, Index: index, LogTerm: term, Entries: entries,
		Commit: n.commit, Round: n.round, SentAt: now.Sub(n.started), Contacts: n.silentMembers(now),
	})
}

// sendEntries sends each member the entries that it lacks, or the snapshot if they have been compacted. Each member has
// at most one such request in flight; after one election timeout without an acknowledgement, it is sent again.
func (n *Node) sendEntries(now time.Time) {
	for _, member := range n.log.currentMembers().members {
		p := n.progress[member.ID]
		if p == nil || p.next > n.log.last() {
			continue
		}
		if !p.inflightSince.IsZero() && now.Sub(p.inflightSince) < n.cfg.ElectionTimeout {
			continue
		}
		p.inflightSince, p.inflightRound = now, n.round
		term, ok := n.log.term(p.next - 1)
		if !ok {
			n.send(member.ID, member.Address, Message{
				Kind: InstallRequest, Snapshot: n.snapshot, Commit: n.commit, Round: n.round, SentAt: now.Sub(n.started), Contacts: n.silentMembers(now),
			})
			continue
		}
		n.sendAppend(now, member, p.next-1, term, n.batch(p.next))
	}
}

// batch returns the entries from index first on that fit into one request, but at least one.
func (n *Node) batch(first int64) []Entry {
	entries := n.log.slice(first, n.log.last())
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && (i >= maxAppendEntries || size > maxAppendBytes) {
			return entries[:i:i]
		}
	}
	return entries
}

func (n *Node) onAppend(now time.Time, m Message) {
	answer := Message{Kind: AppendReply, Round: m.Round, SentAt: m.SentAt, Contacts: n.newerContacts(now, m.Contacts)}
	if m.Index < n.commit {
		n.matched = max(n.matched, n.commit)
		n.replyMatched(m, answer)
		return
	}
	if term, ok := n.log.term(m.Index); !ok || term != m.LogTerm {
		answer.Match = n.conflictHint(m.Index)
		n.reply(m, answer)
		return
	}
	for _, e := range m.Entries {
		n.appendReceived(e)
	}
	n.matched = max(n.matched, m.Index+int64(len(m.Entries)))
	n.commit = max(n.commit, min(m.Commit, n.matched))
	n.replyMatched(m, answer)
}

// replyMatched accepts a leader's request. The reply does not wait until the entries are durable; it acknowledges those that
// are, and Persisted the rest.
func (n *Node) replyMatched(request, answer Message) {
	answer.Granted, answer.Index, answer.Match = true, n.matched, n.acknowledged()
	n.reply(request, answer)
}

// appendReceived appends an entry from the leader. If the log has an entry of another term at its index, that entry and
// all after it are dropped first.
func (n *Node) appendReceived(e Entry) {
	if term, ok := n.log.term(e.Index); ok && term == e.Term {
		return
	}
	if e.Index <= n.log.last() {
		n.truncate(e.Index)
	}
	n.log.append(e)
}

// conflictHint returns the index at which the leader should compare the logs after a mismatch at index. It skips the
// last entry before index and all entries of that entry's term, but none up to the commit index.
func (n *Node) conflictHint(index int64) int64 {
	index = min(index-1, n.log.last())
	term, _ := n.log.term(index)
	for index > n.commit {
		if t, _ := n.log.term(index); t != term {
			break
		}
		index--
	}
	return max(index, n.commit)
}

func (n *Node) onInstall(now time.Time, m Message) {
	s := m.Snapshot
	answer := Message{Kind: AppendReply, Round: m.Round, SentAt: m.SentAt, Contacts: n.newerContacts(now, m.Contacts)}
	term, ok := n.log.term(s.Index)
	switch {
	case s.Index <= n.commit:
	case ok && term == s.Term:
		// The log already has these entries; later ones must be kept, since they may count towards a majority.
		n.commit = s.Index
	default:
		n.log.replace(s)
		n.snapshot, n.rewrite = s, true
		n.commit, n.applied = s.Index, s.Index
		n.out.Install = s
	}
	n.matched = max(n.matched, n.commit)
	n.replyMatched(m, answer)
}

func (n *Node) onAppendReply(now time.Time, m Message) {
	p := n.progress[m.From]
	if n.role != leader || p == nil {
		return
	}
	p.ackedRound = max(p.ackedRound, m.Round)
	if at := n.started.Add(m.SentAt); m.Round > 0 && at.After(p.ackedAt) {
		p.ackedAt = at
	}
	if !m.Granted {
		p.next = max(p.match, min(m.Match, p.next-1)) + 1
		p.inflightSince = time.Time{}
	}
	if m.Granted {
		p.record(m, n.round)
	}
	if m.Round > p.inflightRound {
		p.inflightSince = time.Time{}
	}
	p.next = max(p.next, p.match+1)
	n.advanceCommit(now)
	if n.role == leader {
		n.sendEntries(now)
	}
}

// record updates the indices that a member has received and persisted from a granted reply, in the given round of the leader. A
// member that restarted may have lost entries that it had received but not persisted.
func (p *progress) record(m Message, round int64) {
	// Versions that know of swaps name the last index that they have received.
	p.supportsSwap = m.Index > 0
	p.match = max(p.match, m.Match)
	received := max(p.match, m.Index)
	switch {
	case received > p.received:
		p.received, p.receivedRound = received, round
		p.next, p.inflightSince = max(p.next, received+1), time.Time{}
	case received < p.received && m.Round > p.receivedRound:
		p.received = received
		p.next, p.inflightSince = received+1, time.Time{}
	}
}

// advanceCommit commits up to the last index that a majority of the voters has persisted, if its entry is of the current term,
// and answers the reads that a majority has confirmed. The leader steps down once a set of members that does not
// include it as a voter is committed.
func (n *Node) advanceCommit(now time.Time) {
	index := agreed(n, cmp.Compare, func(id ID) int64 {
		if id == n.cfg.Self {
			return n.durable.last
		}
		return n.replica(id).match
	})
	if term, _ := n.log.term(index); index > n.commit && term == n.hardState.Term {
		n.commit = index
	}
	n.confirmReads()
	if set := n.log.currentMembers(); set.index <= n.commit && !set.members.Voter(n.cfg.Self) {
		n.heartbeat(now)
		n.becomeFollower(now, n.hardState.Term)
	}
}

// Compact makes data, the replicated state after the entry at index, the snapshot. The next Actions that persist anything replace
// everything stored before by the snapshot, the hard state and the entries after index.
func (n *Node) Compact(index int64, data []byte) {
	term, _ := n.log.term(index)
	n.snapshot = &Snapshot{Index: index, Term: term, Members: n.log.membersAt(index), Data: data}
	n.rewrite = true
	n.log.compact(max(n.log.base, index-int64(n.cfg.RetainedEntries)))
}
