package consensus

import (
	"slices"
	"time"
)

// Bounds of one AppendRequest.
const (
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
)

// progress is what a leader knows of another member.
type progress struct {
	match int64
	next  int64
	// waitingSince is the time at which entries were sent that were not acknowledged yet, or zero.
	waitingSince time.Time
	// sentRound is the round in which they were sent; the answer to a later one says that they were lost.
	sentRound int64
	// ackedAt and ackedRound are those of the newest acknowledged request.
	ackedAt    time.Time
	ackedRound int64
}

// Propose appends a command and returns its index and term; it is decided when an entry with this index is committed.
func (n *Node) Propose(now time.Time, data []byte) (index, term int64, err error) {
	if n.role != leader {
		return 0, 0, &NotLeaderError{Self: n.cfg.Self, Leader: n.leader}
	}
	index = n.append(now, Entry{Kind: CommandEntry, Data: data})
	return index, n.hard.Term, nil
}

// append adds an entry of this term to the leader's log and sends it.
func (n *Node) append(now time.Time, e Entry) int64 {
	e.Index = n.log.last() + 1
	e.Term = n.hard.Term
	n.log.append(e)
	n.trackMembers()
	n.sendEntries(now)
	n.advance(now)
	return e.Index
}

// trackMembers keeps the progress of exactly the other members.
func (n *Node) trackMembers() {
	kept := map[ID]*progress{}
	for _, member := range n.log.set().members {
		if member.ID == n.cfg.Self {
			continue
		}
		kept[member.ID] = n.progress[member.ID]
		if kept[member.ID] == nil {
			kept[member.ID] = &progress{next: n.log.last()}
		}
	}
	n.progress = kept
}

// tickLeader sends heartbeats, steps down without a majority, and promotes learners.
func (n *Node) tickLeader(now time.Time) {
	if now.Before(n.heartbeatAt) {
		return
	}
	n.heartbeatAt = now.Add(n.cfg.Heartbeat)
	silence := min(now.Sub(n.quorumTime(now)), now.Sub(n.ledSince))
	if silence > 2*n.cfg.ElectionTimeout {
		n.follow(now, n.hard.Term)
		return
	}
	n.promote(now)
	n.heartbeat(now)
	n.sendEntries(now)
}

// heartbeat sends every member an empty request at the index known to agree.
func (n *Node) heartbeat(now time.Time) {
	n.round++
	for _, member := range n.log.set().members {
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
		Commit: n.commit, Round: n.round, SentAt: now.Sub(n.started),
	})
}

// sendEntries sends each member the entries that it lacks, one request at a time.
func (n *Node) sendEntries(now time.Time) {
	for _, member := range n.log.set().members {
		p := n.progress[member.ID]
		if p == nil || p.next > n.log.last() {
			continue
		}
		if !p.waitingSince.IsZero() && now.Sub(p.waitingSince) < n.cfg.ElectionTimeout {
			continue
		}
		p.waitingSince, p.sentRound = now, n.round
		term, ok := n.log.term(p.next - 1)
		if !ok {
			n.send(member.ID, member.Address, Message{
				Kind: InstallRequest, Snapshot: n.snapshot, Commit: n.commit, Round: n.round, SentAt: now.Sub(n.started),
			})
			continue
		}
		n.sendAppend(now, member, p.next-1, term, n.batch(p.next))
	}
}

// batch returns entries from an index on within the bounds of one request, but at least one.
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

func (n *Node) onAppend(m Message) {
	answer := Message{Kind: AppendReply, Round: m.Round, SentAt: m.SentAt}
	if m.Index < n.commit {
		answer.Granted, answer.Match = true, n.commit
		n.reply(m, answer)
		return
	}
	if term, ok := n.log.term(m.Index); !ok || term != m.LogTerm {
		answer.Match = n.hint(m.Index)
		n.reply(m, answer)
		return
	}
	for _, e := range m.Entries {
		n.take(e)
	}
	answer.Granted, answer.Match = true, m.Index+int64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, answer.Match))
	n.reply(m, answer)
}

// take appends a leader's entry; one of another term at its index is replaced with all that follow it.
func (n *Node) take(e Entry) {
	if term, ok := n.log.term(e.Index); ok && term == e.Term {
		return
	}
	if e.Index <= n.log.last() {
		n.log.truncate(e.Index)
	}
	n.log.append(e)
}

// hint returns an index below the one that did not agree: before all entries of its term.
func (n *Node) hint(index int64) int64 {
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

func (n *Node) onInstall(m Message) {
	s := m.Snapshot
	answer := Message{Kind: AppendReply, Granted: true, Round: m.Round, SentAt: m.SentAt}
	term, ok := n.log.term(s.Index)
	switch {
	case s.Index <= n.commit:
	case ok && term == s.Term:
		// The entries are here, and those after them may count towards a majority.
		n.commit = s.Index
	default:
		n.log.replace(s)
		n.snapshot = s
		n.commit, n.applied = s.Index, s.Index
		n.out.Install = s
	}
	answer.Match = n.commit
	n.reply(m, answer)
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
		p.waitingSince = time.Time{}
	}
	if m.Granted && m.Match > p.match {
		p.match = m.Match
		p.waitingSince = time.Time{}
	}
	if m.Round > p.sentRound {
		p.waitingSince = time.Time{}
	}
	p.next = max(p.next, p.match+1)
	n.advance(now)
	if n.role == leader {
		n.sendEntries(now)
	}
}

// advance commits what a majority of the voters has, if it is of this term.
func (n *Node) advance(now time.Time) {
	var matches []int64
	for _, id := range n.log.set().members.Voters() {
		if id == n.cfg.Self {
			matches = append(matches, n.log.last())
			continue
		}
		matches = append(matches, n.progress[id].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-majority(len(matches))]
	if term, _ := n.log.term(index); index > n.commit && term == n.hard.Term {
		n.commit = index
	}
	n.confirmReads()
	if set := n.log.set(); set.index <= n.commit && !set.members.Voter(n.cfg.Self) {
		n.heartbeat(now)
		n.follow(now, n.hard.Term)
	}
}

// Compact makes data, the replicated state after the entry at index, the
// snapshot, and returns it with the entries after it, which the caller
// persists in place of all else.
func (n *Node) Compact(index int64, data []byte) Restored {
	term, _ := n.log.term(index)
	n.snapshot = &Snapshot{Index: index, Term: term, Members: n.log.setAt(index), Data: data}
	n.log.compact(max(n.log.base, index-int64(n.cfg.RetainedEntries)))
	return Restored{HardState: n.hard, Snapshot: n.snapshot, Entries: n.log.slice(index+1, n.log.last())}
}
