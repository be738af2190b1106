package consensus

import "fmt"

// NotLeaderError reports that this node is not the leader; Leader is the zero value if none is known.
type NotLeaderError struct {
	Self   ID
	Leader ID
}

// Error names this node and the known leader.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("voter %q is not the leader; the leader is %q", e.Self.Name, e.Leader.Name)
}

// NotReadyError reports that a new leader has not committed an entry of its term yet.
type NotReadyError struct {
	Term int64
}

// Error names the term.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("term %d has no committed entry yet", e.Term)
}

// ChangePendingError reports that an earlier membership change is not committed yet.
type ChangePendingError struct {
	Index int64
}

// Error names the index of the pending change.
func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("the membership change at index %d is not committed yet", e.Index)
}

// MemberExistsError reports that a member of this name exists.
type MemberExistsError struct {
	Member Member
}

// Error names the member and its disk.
func (e *MemberExistsError) Error() string {
	return fmt.Sprintf("member %q exists with disk %q; remove it first", e.Member.ID.Name, e.Member.ID.Disk)
}

// UnknownMemberError reports that no member has this name.
type UnknownMemberError struct {
	Name string
}

// Error names the member.
func (e *UnknownMemberError) Error() string { return fmt.Sprintf("no member has the name %q", e.Name) }

// QuorumAtRiskError reports that a removal would leave fewer responsive voters than a majority.
type QuorumAtRiskError struct {
	Name   string
	Live   int
	Voters int
}

// Error names the member and the numbers of responsive and of remaining voters.
func (e *QuorumAtRiskError) Error() string {
	return fmt.Sprintf("without %q, only %d of %d voters respond, which is not a majority", e.Name, e.Live, e.Voters)
}

// MalformedError reports stored or received data that cannot come from a correct voter.
type MalformedError struct {
	Part string
}

// Error names the invalid part.
func (e *MalformedError) Error() string { return "the " + e.Part + " is invalid" }
