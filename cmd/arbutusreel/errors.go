package main

import (
	"fmt"

	"arbutusreel/decision"
)

// RevisionTextError says that the text of an expected revision is no number.
type RevisionTextError struct {
	Text string
}

// Error names the text.
func (e *RevisionTextError) Error() string {
	return fmt.Sprintf("flag %q: revision %q is not a whole number", "expected", e.Text)
}

// RevisionError says that the text of a revision is no whole number above zero.
type RevisionError struct {
	Text string
}

// Error names the text.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %q is not a whole number above zero", e.Text)
}

// MembersActionError says that the arguments of the members command do not fit together.
type MembersActionError struct {
	Action string
	Member string
}

// Error names the arguments.
func (e *MembersActionError) Error() string {
	return fmt.Sprintf("members %q %q: want list, add name=address, or remove name", e.Action, e.Member)
}

// EmptyPatchError says that a patch neither puts nor removes anything.
type EmptyPatchError struct{}

// Error says what a patch needs.
func (e *EmptyPatchError) Error() string {
	return fmt.Sprintf("patch: a file with items, or the flag %q, is needed", "remove")
}

// RepairActionError says that the arguments of the repair command do not fit together.
type RepairActionError struct {
	Action string
}

// Error names the action.
func (e *RepairActionError) Error() string {
	return fmt.Sprintf("repair %q: want list, or settle with --team, --key, --finding and --operator", e.Action)
}

// NoDecisionError says that no instance that answered keeps a decision of the subject.
type NoDecisionError struct {
	Subject decision.Subject
	Silent  []string
}

// Error names the subject and the instances that gave no answer.
func (e *NoDecisionError) Error() string {
	return fmt.Sprintf("no decision is kept for %s %q; no answer from %q", e.Subject.Kind, e.Subject.Name, e.Silent)
}
