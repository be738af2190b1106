package consensus

import (
	"slices"
	"strings"
	"time"
)

// ID names a voter: an instance and the identity of its disk.
type ID struct {
	Name string
	Disk string
}

// Member is an instance that receives the log; only a voter counts towards a majority.
type Member struct {
	ID      ID
	Address string
	Voter   bool
}

// Members is a set of members in the order of their names; it is immutable.
type Members []Member

// Find returns the member with the name.
func (m Members) Find(name string) (Member, bool) {
	i := slices.IndexFunc(m, func(one Member) bool { return one.ID.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// Voter reports whether id is a voter.
func (m Members) Voter(id ID) bool {
	one, ok := m.Find(id.Name)
	return ok && one.ID == id && one.Voter
}

// Voters returns the voters.
func (m Members) Voters() []ID {
	var voters []ID
	for _, one := range m {
		if one.Voter {
			voters = append(voters, one.ID)
		}
	}
	return voters
}

// With returns the members with one added or replaced.
func (m Members) With(one Member) Members {
	with := append(m.Without(one.ID.Name), one)
	slices.SortFunc(with, func(a, b Member) int { return strings.Compare(a.ID.Name, b.ID.Name) })
	return with
}

// Without returns the members without the one of the name.
func (m Members) Without(name string) Members {
	var without Members
	for _, one := range m {
		if one.ID.Name != name {
			without = append(without, one)
		}
	}
	return without
}

// EntryKind tells what an entry holds.
type EntryKind int

// Kinds of entries.
const (
	// CommandEntry holds a command of the replicated state.
	CommandEntry EntryKind = iota
	// TermEntry is empty and begins a leader's term.
	TermEntry
	// MembersEntry holds a new set of members, which is in force from its append on.
	MembersEntry
)

// Entry is one entry of the log; indices begin at 1.
type Entry struct {
	Index   int64
	Term    int64
	Kind    EntryKind
	Data    []byte
	Members Members
}

// HardState is what a voter must remember over a restart besides its log.
type HardState struct {
	Term int64
	Vote ID
}

// Snapshot is the replicated state after the entry at Index.
type Snapshot struct {
	Index   int64
	Term    int64
	Members Members
	Data    []byte
}

// Restored is what was persisted before a restart; a new voter has the zero value.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
	// Commit is the highest index that was known to be committed, or lower; what it covers is in force at once.
	Commit int64
}

// Founder is a voter of the founding quorum, whose disk is not known yet.
type Founder struct {
	Name    string
	Address string
}

// Config is what a node needs to know at its start.
type Config struct {
	Self    ID
	Address string
	// Founders are the voters that found the quorum together; empty waits to be added.
	Founders        []Founder
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	// RetainedEntries is the number of entries before a snapshot that are kept for slow followers.
	RetainedEntries int
}

// MessageKind tells what a message asks or answers.
type MessageKind int

// Kinds of messages.
const (
	FoundRequest MessageKind = iota
	FoundReply
	PreVoteRequest
	PreVoteReply
	VoteRequest
	VoteReply
	AppendRequest
	AppendReply
	InstallRequest
	// TimeoutNow asks a voter to stand for election at once, as the leader has stepped down in its favour.
	TimeoutNow
)

// Message goes from one node to another; fields that a kind does not use are zero.
type Message struct {
	Kind        MessageKind
	From        ID
	FromAddress string
	To          ID
	ToAddress   string
	Term        int64
	// Index and LogTerm are those of the entry before Entries, or of the candidate's last entry.
	Index   int64
	LogTerm int64
	Commit  int64
	Entries []Entry
	// Snapshot is that of an InstallRequest.
	Snapshot *Snapshot
	// Granted says that a vote was given or that entries were taken.
	Granted bool
	// Match is the last index known to agree, or the one to try next if Granted is false.
	Match int64
	// Transfer says that the leader of the term before has stepped down in the candidate's favour.
	Transfer bool
	// Round and SentAt of an AppendRequest are echoed; SentAt is the time since the sender's start.
	Round  int64
	SentAt time.Duration
}

// ReadResult answers a read: if OK, the state that has applied Index is current.
type ReadResult struct {
	Token int64
	Index int64
	OK    bool
}

// Actions is what the caller of a node must do, in the order of the fields.
type Actions struct {
	// HardState is persisted if it is not nil.
	HardState *HardState
	// Install replaces the log and the replicated state if it is not nil.
	Install *Snapshot
	// Entries replace those persisted from the first one's index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
}

// Persists reports whether something must be synced.
func (a Actions) Persists() bool {
	return a.HardState != nil || a.Install != nil || len(a.Entries) > 0
}
