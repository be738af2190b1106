package consensus

import "fmt"

// NotLeaderError says that this node does not lead; Leader is the zero value if none is known.
type NotLeaderError struct {
	Self   ID
	Leader ID
}

// Error names both.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("voter %q is not the leader; the leader is %q", e.Self.Name, e.Leader.Name)
}

// NotReadyError says that a new leader has not committed an entry of its term yet.
type NotReadyError struct {
	Term int64
}

// Error names the term.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("term %d has no committed entry yet", e.Term)
}

// ChangePendingError says that another change of the members is not committed yet.
type ChangePendingError struct {
	Index int64
}

// Error names the index of the pending change.
func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("the change of members at index %d is not committed yet", e.Index)
}

// MemberExistsError says that a member has the name already.
type MemberExistsError struct {
	Member Member
}

// Error names the member and its disk.
func (e *MemberExistsError) Error() string {
	return fmt.Sprintf("member %q exists with disk %q; remove it first", e.Member.ID.Name, e.Member.ID.Disk)
}

// UnknownMemberError says that no member has the name.
type UnknownMemberError struct {
	Name string
}

// Error names the member.
func (e *UnknownMemberError) Error() string { return fmt.Sprintf("no member has the name %q", e.Name) }

// QuorumAtRiskError says that the voters left by a removal that answer are no majority.
type QuorumAtRiskError struct {
	Name   string
	Live   int
	Voters int
}

// Error names the member and the counts.
func (e *QuorumAtRiskError) Error() string {
	return fmt.Sprintf("without %q, %d of %d voters answer, which is no majority", e.Name, e.Live, e.Voters)
}

// MalformedError says that what was stored or received cannot come from a voter.
type MalformedError struct {
	What string
}

// Error names the part that is wrong.
func (e *MalformedError) Error() string { return "the " + e.What + " is wrong" }
