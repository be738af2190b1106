package consensus

import (
	"slices"
	"strings"
	"time"
)

// ID identifies a voter by the name of its instance and the identity of its disk.
type ID struct {
	Name string
	Disk string
}

// Member is an instance that receives the log: a voter, which counts towards a majority, or a learner, which does not.
type Member struct {
	ID      ID
	Address string
	Voter   bool
	// Replacement is not nil while the member may still replace a failed one. It is part of the log, so that it
	// survives a change of the leader.
	Replacement *Replacement
}

// Replacement allows the removal of one failed member because another one has joined; it is immutable.
type Replacement struct {
	// Suspects are the members without contact since the start of the one that joined.
	Suspects []ID
	// Uptime is how long the new member had been running when it joined.
	Uptime time.Duration
}

// Without returns a copy without the given suspects.
func (r Replacement) Without(ids ...ID) *Replacement {
	r.Suspects = slices.DeleteFunc(slices.Clone(r.Suspects), func(id ID) bool { return slices.Contains(ids, id) })
	return &r
}

// Contact is a voter's last contact with a member, direct or reported by another voter.
type Contact struct {
	Member ID
	// Age is the time since the contact; it is valid only if Known is set.
	Age   time.Duration
	Known bool
	// Stopping reports that the member has announced its stop.
	Stopping bool
}

// Members is an immutable set of members, sorted by name.
type Members []Member

// Find returns the member with the given name.
func (m Members) Find(name string) (Member, bool) {
	i := slices.IndexFunc(m, func(member Member) bool { return member.ID.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// Voter reports whether id, including its disk, is a voter.
func (m Members) Voter(id ID) bool {
	member, ok := m.Find(id.Name)
	return ok && member.ID == id && member.Voter
}

// Voters returns the IDs of the voters, sorted by name.
func (m Members) Voters() []ID {
	var voters []ID
	for _, member := range m {
		if member.Voter {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// With returns a copy in which member is added, or replaces the member of the same name.
func (m Members) With(member Member) Members {
	with := append(m.Without(member.ID.Name), member)
	slices.SortFunc(with, func(a, b Member) int { return strings.Compare(a.ID.Name, b.ID.Name) })
	return with
}

// Without returns a copy without the member of the given name.
func (m Members) Without(name string) Members {
	var without Members
	for _, member := range m {
		if member.ID.Name != name {
			without = append(without, member)
		}
	}
	return without
}

// EntryKind is the type of a log entry.
type EntryKind int

// The kinds of log entries.
const (
	// CommandEntry holds a command for the replicated state machine.
	CommandEntry EntryKind = iota
	// TermEntry is the empty entry that a leader appends at the start of its term.
	TermEntry
	// MembersEntry holds a new set of members, which takes effect when it is appended, before it is committed.
	MembersEntry
)

// Entry is one entry of the log; the first index is 1.
type Entry struct {
	Index   int64
	Term    int64
	Kind    EntryKind
	Data    []byte
	Members Members
}

// HardState is the state besides the log that a voter must persist across restarts.
type HardState struct {
	Term int64
	Vote ID
}

// Snapshot is the replicated state after applying the entry at Index.
type Snapshot struct {
	Index   int64
	Term    int64
	Members Members
	Data    []byte
}

// Restored is the state persisted before a restart; it is the zero value for a new voter.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
	// Commit is an index known to be committed, not necessarily the highest; the node treats entries up to it as
	// committed from the start.
	Commit int64
}

// InitialVoter is a voter of the initial quorum, whose disk identity is not known until bootstrap.
type InitialVoter struct {
	Name    string
	Address string
}

// Config holds the settings of a node.
type Config struct {
	Self    ID
	Address string
	// InitialVoters are the initial voters, which bootstrap the quorum together; if empty, the node waits to be added.
	InitialVoters   []InitialVoter
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	// RetainedEntries is the number of entries before a snapshot that are kept in memory for slow followers.
	RetainedEntries int
}

// MessageKind is the type of a message.
type MessageKind int

// The kinds of messages.
const (
	BootstrapRequest MessageKind = iota
	BootstrapReply
	PreVoteRequest
	PreVoteReply
	VoteRequest
	VoteReply
	AppendRequest
	AppendReply
	InstallRequest
	// TimeoutNow asks a voter to start an election at once, because the leader has stepped down in its favour.
	TimeoutNow
)

// Message is sent from one node to another; fields that its kind does not use are zero.
type Message struct {
	Kind        MessageKind
	From        ID
	FromAddress string
	To          ID
	ToAddress   string
	Term        int64
	// Index and LogTerm are those of the entry that precedes Entries, or of the candidate's last durable entry. In a granted
	// AppendReply, Index is the last index that the sender has received, which need not be durable yet.
	Index   int64
	LogTerm int64
	Commit  int64
	Entries []Entry
	// Snapshot is set in an InstallRequest only.
	Snapshot *Snapshot
	// Granted reports that the vote was granted, or that the entries or the snapshot were accepted.
	Granted bool
	// Match is the last durable index known to match the leader's log or, if Granted is false, the index at which the leader
	// should compare the logs next.
	Match int64
	// Transfer marks a vote request of a leadership transfer: the leader of the previous term has stepped down in
	// the candidate's favour.
	Transfer bool
	// Round is the leader's heartbeat round, and SentAt the send time as the duration since the leader's node started.
	// The reply to an AppendRequest or InstallRequest of the current term echoes both.
	Round  int64
	SentAt time.Duration
	// Stopping reports that the sender is about to stop.
	Stopping bool
	// Contacts holds, in a leader's request, the members without contact for an election timeout and, in the reply, the
	// sender's newer contacts with these members.
	Contacts []Contact
}

// ReadResult is the answer to a read: if OK, a state that has applied the entry at Index is current.
type ReadResult struct {
	Token int64
	Index int64
	OK    bool
}

// Actions is the work that the caller of a node must perform. HardState, Snapshot, Entries and Commit must be persisted together, after
// which Node.Persisted is called; the rest does not wait for them.
type Actions struct {
	// HardState must be persisted if it is not nil.
	HardState *HardState
	// Snapshot, if not nil, replaces everything persisted before, and comes with HardState.
	Snapshot *Snapshot
	// Entries replace the persisted entries from the index of the first one on.
	Entries []Entry
	// Commit, if not zero, is the commit index, which is persisted along. If it comes alone, it need not be synced: a node that
	// loses it in a restart learns it from the next leader.
	Commit int64

	// Install, if not nil, replaces the replicated state before Committed is applied.
	Install   *Snapshot
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
}

// Persists reports whether a contains anything that must be persisted.
func (a Actions) Persists() bool {
	return a.HardState != nil || a.Snapshot != nil || len(a.Entries) > 0 || a.Commit > 0
}
