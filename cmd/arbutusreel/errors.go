package main

import (
	"fmt"

	"arbutusreel/decision"
)

// RevisionTextError reports an expected revision that is not a whole number.
type RevisionTextError struct {
	Text string
}

// Error returns a message with the invalid text.
func (e *RevisionTextError) Error() string {
	return fmt.Sprintf("flag %q: revision %q is not a whole number", "expected", e.Text)
}

// RevisionError reports a revision that is not a positive whole number.
type RevisionError struct {
	Text string
}

// Error returns a message with the invalid text.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %q is not a whole number above zero", e.Text)
}

// MembersActionError reports an invalid combination of arguments of the members command.
type MembersActionError struct {
	Action string
	Member string
}

// Error returns a message with the arguments and the valid forms.
func (e *MembersActionError) Error() string {
	return fmt.Sprintf("members %q %q: want list, add name=address, or remove name", e.Action, e.Member)
}

// EmptyPatchError reports a patch that neither puts nor removes anything.
type EmptyPatchError struct{}

// Error returns a message that says what a patch requires.
func (e *EmptyPatchError) Error() string {
	return fmt.Sprintf("patch: a file with items, or the flag %q, is needed", "remove")
}

// RepairActionError reports an invalid combination of arguments of the repair command.
type RepairActionError struct {
	Action string
}

// Error returns a message with the action and the valid forms.
func (e *RepairActionError) Error() string {
	return fmt.Sprintf("repair %q: want list, or settle with --team, --key, --finding and --operator", e.Action)
}

// NoDecisionError reports that no instance that answered holds a decision about the subject. Unreachable holds the
// addresses of the instances that did not answer.
type NoDecisionError struct {
	Subject     decision.Subject
	Unreachable []string
}

// Error returns a message with the subject and the instances that did not answer.
func (e *NoDecisionError) Error() string {
	return fmt.Sprintf("no decision is kept for %s %q; no answer from %q", e.Subject.Kind, e.Subject.Name, e.Unreachable)
}

// NoLinesError reports a request that no log line is about.
type NoLinesError struct {
	Request string
	Files   string
}

// Error returns a message with the request and the files.
func (e *NoLinesError) Error() string {
	return fmt.Sprintf("no line about request %q in %s", e.Request, e.Files)
}

// StatusError reports an answer with an HTTP status that has no explanation.
type StatusError struct {
	Status int
}

// Error returns a message with the status.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }
