package consensus

import (
	"math/rand/v2"
	"time"
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Node is one member; it is not safe for concurrent use.
type Node struct {
	cfg     Config
	rnd     *rand.Rand
	started time.Time

	role     role
	hard     HardState
	saved    HardState
	log      log
	snapshot *Snapshot
	commit   int64
	applied  int64

	leader ID
	// heard is the time of the last message of a leader, or of the start.
	heard       time.Time
	electionAt  time.Time
	heartbeatAt time.Time
	votes       map[ID]bool
	founding    map[string]ID

	progress  map[ID]*progress
	ledSince  time.Time
	termStart int64
	round     int64
	reads     []read

	out Actions
}

// New returns a node that starts at now with what was persisted.
func New(cfg Config, r Restored, now time.Time, rnd *rand.Rand) *Node {
	n := &Node{cfg: cfg, rnd: rnd, started: now, hard: r.HardState, saved: r.HardState, log: newLog(r), snapshot: r.Snapshot}
	if r.Snapshot != nil {
		n.commit, n.applied = r.Snapshot.Index, r.Snapshot.Index
	}
	n.commit = max(n.commit, min(r.Commit, n.log.last()))
	// A restarted voter may have promised a leader not to vote for another one.
	n.heard = now
	n.resetElection(now)
	return n
}

// Actions returns what has to be done since the last call.
func (n *Node) Actions() Actions {
	out := n.out
	n.out = Actions{}
	if n.hard != n.saved {
		hard := n.hard
		out.HardState = &hard
		n.saved = n.hard
	}
	out.Entries = n.log.slice(n.log.unsaved, n.log.last())
	n.log.unsaved = n.log.last() + 1
	out.Committed = n.log.slice(n.applied+1, n.commit)
	n.applied = n.commit
	return out
}

// Tick tells the time; it should be called a few times in each heartbeat.
func (n *Node) Tick(now time.Time) {
	if n.role == leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionAt) {
		return
	}
	n.resetElection(now)
	switch {
	case len(n.log.sets) == 0:
		n.found()
	case n.log.set().members.Voter(n.cfg.Self):
		n.preCampaign(now)
	}
}

// Receive takes a message; one for another disk of this instance is dropped.
func (n *Node) Receive(now time.Time, m Message) {
	if m.Kind == FoundRequest {
		n.onFoundRequest(m)
		return
	}
	if m.To != n.cfg.Self {
		return
	}
	switch m.Kind {
	case FoundReply:
		n.onFoundReply(now, m)
		return
	case PreVoteRequest:
		n.onPreVoteRequest(now, m)
		return
	case VoteRequest:
		if !m.Transfer && n.promised(now) {
			return
		}
	default:
	}
	if m.Term > n.hard.Term && (m.Kind != PreVoteReply || !m.Granted) {
		n.follow(now, m.Term)
	}
	if m.Term < n.hard.Term {
		n.refuseOld(m)
		return
	}
	n.dispatch(now, m)
}

// dispatch handles a message of the present term.
func (n *Node) dispatch(now time.Time, m Message) {
	switch m.Kind {
	case PreVoteReply:
		n.onPreVoteReply(now, m)
	case VoteRequest:
		n.onVoteRequest(now, m)
	case VoteReply:
		n.onVoteReply(now, m)
	case AppendRequest:
		n.hear(now, m)
		n.onAppend(m)
	case InstallRequest:
		n.hear(now, m)
		n.onInstall(m)
	case AppendReply:
		n.onAppendReply(now, m)
	case TimeoutNow:
		if n.log.set().members.Voter(n.cfg.Self) {
			n.campaign(now, true)
		}
	default:
	}
}

// refuseOld tells the sender of an old term the present one, without an echo that could pass for an acknowledgement.
func (n *Node) refuseOld(m Message) {
	switch m.Kind {
	case AppendRequest, InstallRequest:
		n.reply(m, Message{Kind: AppendReply})
	case VoteRequest:
		n.reply(m, Message{Kind: VoteReply})
	default:
	}
}

func (n *Node) reply(to Message, m Message) {
	n.send(to.From, to.FromAddress, m)
}

func (n *Node) send(to ID, address string, m Message) {
	m.From, m.FromAddress = n.cfg.Self, n.cfg.Address
	m.To, m.ToAddress = to, address
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.out.Messages = append(n.out.Messages, m)
}

// sendMembers sends m to every other member, or to every other voter.
func (n *Node) sendMembers(m Message, votersOnly bool) {
	for _, member := range n.log.set().members {
		if member.ID == n.cfg.Self || votersOnly && !member.Voter {
			continue
		}
		n.send(member.ID, member.Address, m)
	}
}

// HardState returns what is persisted besides the log.
func (n *Node) HardState() HardState { return n.hard }

// Status is what a node knows of itself and the quorum.
type Status struct {
	Self    ID
	Leader  ID
	Term    int64
	Commit  int64
	Members Members
	Leads   bool
	// Heard is the time of the last message of a leader; a leader has heard of itself now.
	Heard time.Time
}

// Status returns the present status.
func (n *Node) Status(now time.Time) Status {
	s := Status{Self: n.cfg.Self, Leader: n.leader, Term: n.hard.Term, Commit: n.commit, Heard: n.heard, Members: n.log.set().members}
	if n.role == leader {
		s.Leads = true
		s.Heard = now
	}
	return s
}

// Silences returns, at a leader, the time since each other member answered last or, if it has not, since the term began.
func (n *Node) Silences(now time.Time) map[ID]time.Duration {
	silences := make(map[ID]time.Duration, len(n.progress))
	for id, p := range n.progress {
		silences[id] = min(now.Sub(p.ackedAt), now.Sub(n.ledSince))
	}
	return silences
}

// majority returns the number of voters that is a majority of count.
func majority(count int) int { return count/2 + 1 }
