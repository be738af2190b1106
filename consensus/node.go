package consensus

import (
	"math/rand/v2"
	"time"
)

type role int

const (
	follower role = iota
	candidate
	leader
)

// Node is one member of the group; it is not safe for concurrent use.
type Node struct {
	cfg     Config
	rnd     *rand.Rand
	started time.Time

	role      role
	hardState HardState
	log       log
	snapshot  *Snapshot
	commit    int64
	applied   int64

	// durable is the state that survives a restart, and writing the one that will once the write in progress is done, or nil.
	durable durableState
	writing *durableState
	// writtenCommit is the commit index of the last write.
	writtenCommit int64
	// rewrite is set if the next write must replace everything stored before by the snapshot and the entries after it.
	rewrite bool
	// held are the messages that must not be sent before hardState is durable.
	held []Message

	// contacts holds the last contact with each other member.
	contacts map[ID]contact
	stopping bool
	// leaderClock is that of the last leader.
	leaderClock leaderClock

	leader        ID
	leaderAddress string
	// matched is the last index at which the log is known to match that of the leader of term matchedTerm.
	matched, matchedTerm int64
	// lastLeaderContact is the time of the last message from a leader, or the node's start time.
	lastLeaderContact time.Time
	// caughtUpAt is the time of the last message from a leader after which this node's commit index was the leader's and an entry of
	// the leader's term.
	caughtUpAt  time.Time
	electionAt  time.Time
	heartbeatAt time.Time
	votes       map[ID]bool
	// preVotes are the granted pre-votes for the next term, or nil if none are requested.
	preVotes       map[ID]bool
	bootstrapVotes map[string]ID

	progress       map[ID]*progress
	leaderSince    time.Time
	termStartIndex int64
	round          int64
	pendingReads   []pendingRead

	out Actions
}

// New returns a node that starts at now with the persisted state r.
func New(cfg Config, r Restored, now time.Time, rnd *rand.Rand) *Node {
	n := &Node{cfg: cfg, rnd: rnd, started: now, hardState: r.HardState, log: newLog(r), snapshot: r.Snapshot, contacts: map[ID]contact{}}
	n.durable = durableState{hardState: r.HardState, last: n.log.last(), lastTerm: n.log.lastTerm()}
	if r.Snapshot != nil {
		n.commit, n.applied = r.Snapshot.Index, r.Snapshot.Index
	}
	n.commit = max(n.commit, min(r.Commit, n.log.last()))
	n.writtenCommit = n.commit
	// Before the restart the voter may have acknowledged a leader's request, which commits it not to vote for another
	// candidate within one election timeout.
	n.lastLeaderContact = now
	n.resetElection(now)
	return n
}

// Actions returns the work that has accumulated since the last call. If it persists anything, Persisted must be called once
// that is durable; until then, the Actions persist nothing else.
func (n *Node) Actions() Actions {
	n.releaseHeld()
	out := n.out
	n.out = Actions{}
	n.beginWrite(&out)
	out.Committed = n.log.slice(n.applied+1, n.commit)
	n.applied = n.commit
	return out
}

// EntriesAfter returns the entries of the log after an index, of which the last ones may not be committed.
func (n *Node) EntriesAfter(index int64) []Entry {
	return n.log.slice(max(index, n.log.base)+1, n.log.last())
}

// Tick advances the node's timers to now; it should be called a few times per heartbeat interval.
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
	case len(n.log.memberSets) == 0:
		n.bootstrap()
	case n.hardState != n.durable.hardState:
		// Its vote in the current term is not decided yet.
	case n.log.currentMembers().members.Voter(n.cfg.Self):
		n.preCampaign(now)
	}
}

// Receive processes a message; a message addressed to a previous disk of this instance is dropped.
func (n *Node) Receive(now time.Time, m Message) {
	if m.Kind == BootstrapRequest {
		n.onBootstrapRequest(m)
		return
	}
	if m.To != n.cfg.Self {
		return
	}
	n.recordContacts(now, m)
	switch m.Kind {
	case BootstrapReply:
		n.onBootstrapReply(now, m)
		return
	case PreVoteRequest:
		n.onPreVoteRequest(now, m)
		return
	case VoteRequest:
		if !m.Transfer && n.withholdsVote(now) {
			return
		}
	default:
	}
	// A granted PreVoteReply carries the term of an election that has not started yet.
	if m.Term > n.hardState.Term && (m.Kind != PreVoteReply || !m.Granted) {
		n.becomeFollower(now, m.Term)
	}
	if m.Term < n.hardState.Term {
		n.rejectStaleTerm(m)
		return
	}
	n.handleCurrentTerm(now, m)
}

// handleCurrentTerm handles a message of the current term, or a granted PreVoteReply of a later term.
func (n *Node) handleCurrentTerm(now time.Time, m Message) {
	switch m.Kind {
	case PreVoteReply:
		n.onPreVoteReply(now, m)
	case VoteRequest:
		n.onVoteRequest(now, m)
	case VoteReply:
		n.onVoteReply(now, m)
	case AppendRequest:
		n.observeLeader(now, m)
		n.onAppend(now, m)
		// A new leader knows what was committed before its term once an entry of its term is.
		if term, ok := n.log.term(n.commit); ok && term == m.Term && n.commit >= m.Commit {
			n.caughtUpAt = now
		}
	case InstallRequest:
		n.observeLeader(now, m)
		n.onInstall(now, m)
	case AppendReply:
		n.onAppendReply(now, m)
	case TimeoutNow:
		if n.log.currentMembers().members.Voter(n.cfg.Self) {
			n.campaign(now, true)
		}
	default:
	}
}

// rejectStaleTerm replies to a request of an older term with the current term. The reply does not echo Round and
// SentAt, so that it cannot be taken for an acknowledgement.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Kind {
	case AppendRequest, InstallRequest:
		n.reply(m, Message{Kind: AppendReply})
	case VoteRequest:
		n.reply(m, Message{Kind: VoteReply})
	default:
	}
}

func (n *Node) reply(request Message, m Message) {
	n.send(request.From, request.FromAddress, m)
}

func (n *Node) send(to ID, address string, m Message) {
	m.From, m.FromAddress = n.cfg.Self, n.cfg.Address
	m.To, m.ToAddress, m.Stopping = to, address, n.stopping
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	if n.mustHold(m) {
		n.hold(m)
		return
	}
	n.out.Messages = append(n.out.Messages, m)
}

// sendToMembers sends m to every other member or, if votersOnly is set, to every other voter.
func (n *Node) sendToMembers(m Message, votersOnly bool) {
	for _, member := range n.log.currentMembers().members {
		if member.ID == n.cfg.Self || votersOnly && !member.Voter {
			continue
		}
		n.send(member.ID, member.Address, m)
	}
}

// HardState returns the node's current term and vote.
func (n *Node) HardState() HardState { return n.hardState }

// Status is a node's view of itself and of the quorum.
type Status struct {
	Self     ID
	Leader   ID
	Term     int64
	Commit   int64
	Members  Members
	IsLeader bool
	// LastLeaderContact is the time of the last message from a leader, or the time of the call on the leader itself.
	LastLeaderContact time.Time
	// CaughtUpAt is the last time at which the node knew of as many committed entries as its leader, or the time of the call on
	// the leader itself; zero if it never did since its start.
	CaughtUpAt time.Time
	// Admitted reports that the node knows of a committed set of members that it is in, which may have been replaced since.
	Admitted bool
	// Votes is the number of votes or, before an election, of pre-votes that the node has, and VotesNeeded the number of votes
	// that elect a leader. Votes is zero on a node that requests none.
	Votes, VotesNeeded int
	// Writing reports that the node's last state is not durable yet.
	Writing bool
}

// Status returns the node's status at now.
func (n *Node) Status(now time.Time) Status {
	s := Status{Self: n.cfg.Self, Leader: n.leader, Term: n.hardState.Term, Commit: n.commit, LastLeaderContact: n.lastLeaderContact, CaughtUpAt: n.caughtUpAt, Members: n.log.currentMembers().members, Writing: n.writing != nil}
	member, ok := n.log.membersAt(n.commit).Find(n.cfg.Self.Name)
	s.Admitted = ok && member.ID == n.cfg.Self
	voters := s.Members.Voters()
	s.VotesNeeded = majority(len(voters))
	switch {
	case n.preVotes != nil:
		s.Votes = countVotes(voters, n.preVotes)
	case n.role == candidate:
		s.Votes = countVotes(voters, n.votes)
	}
	if n.role == leader {
		s.IsLeader = true
		s.LastLeaderContact, s.CaughtUpAt = now, now
	}
	return s
}

// majority returns the smallest number of voters that is a majority of count.
func majority(count int) int { return count/2 + 1 }
