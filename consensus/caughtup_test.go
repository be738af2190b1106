package consensus

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBehindLeaderCountsAsCaughtUp guards against a node that counts as up to date because its leader sends heartbeats, while it lacks
// entries that the leader has committed.
func TestBehindLeaderCountsAsCaughtUp(t *testing.T) {
	self, leader := ID{Name: "a", Disk: "1"}, ID{Name: "b", Disk: "2"}
	at := func(millis int) time.Time { return time.UnixMilli(int64(millis)) }
	members := Members{{ID: self, Voter: true}, {ID: leader, Voter: true}}
	entries := []Entry{{Index: 1, Term: 1, Kind: MembersEntry, Members: members}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	n := New(Config{Self: self, Heartbeat: 100 * time.Millisecond, ElectionTimeout: time.Second}, Restored{}, at(0), rand.New(rand.NewPCG(1, 1)))
	for _, step := range []struct {
		millis     int
		message    Message
		caughtUpAt time.Time
	}{
		{10, Message{Entries: entries[:2], Commit: 3}, time.Time{}},
		{110, Message{Index: 2, LogTerm: 1, Commit: 3}, time.Time{}},
		{120, Message{Index: 2, LogTerm: 1, Entries: entries[2:], Commit: 3}, at(120)},
		{210, Message{Index: 3, LogTerm: 1, Commit: 3}, at(210)},
		{310, Message{Index: 3, LogTerm: 1, Commit: 4}, at(210)},
	} {
		m := step.message
		m.Kind, m.From, m.To, m.Term = AppendRequest, leader, self, 1
		n.Receive(at(step.millis), m)
		n.Actions()
		s := n.Status(at(step.millis))
		if !s.CaughtUpAt.Equal(step.caughtUpAt) || !s.LastLeaderContact.Equal(at(step.millis)) {
			t.Errorf("after %d ms caught up at %v, leader's contact at %v; want %v and now", step.millis, s.CaughtUpAt, s.LastLeaderContact, step.caughtUpAt)
		}
	}
}

// TestFollowerOfNewLeaderCountsAsCaughtUp guards against a node that counts as caught up with a leader which does not know yet what was
// committed before its term.
func TestFollowerOfNewLeaderCountsAsCaughtUp(t *testing.T) {
	self, leader := ID{Name: "a", Disk: "1"}, ID{Name: "b", Disk: "2"}
	at := func(millis int) time.Time { return time.UnixMilli(int64(millis)) }
	members := Members{{ID: self, Voter: true}, {ID: leader, Voter: true}, {ID: ID{Name: "c", Disk: "3"}, Voter: true}}
	entries := []Entry{{Index: 1, Term: 1, Kind: MembersEntry, Members: members}, {Index: 2, Term: 1}, {Index: 3, Term: 1}, {Index: 4, Term: 2}}
	n := New(Config{Self: self, Heartbeat: 100 * time.Millisecond, ElectionTimeout: time.Second},
		Restored{HardState: HardState{Term: 1}, Entries: entries[:2], Commit: 2}, at(0), rand.New(rand.NewPCG(1, 1)))
	for _, step := range []struct {
		millis     int
		message    Message
		caughtUpAt time.Time
	}{
		{10, Message{Index: 2, LogTerm: 1, Commit: 2}, time.Time{}},
		{110, Message{Index: 2, LogTerm: 1, Entries: entries[2:], Commit: 2}, time.Time{}},
		{210, Message{Index: 4, LogTerm: 2, Commit: 4}, at(210)},
	} {
		m := step.message
		m.Kind, m.From, m.To, m.Term = AppendRequest, leader, self, 2
		n.Receive(at(step.millis), m)
		n.Actions()
		if s := n.Status(at(step.millis)); !s.CaughtUpAt.Equal(step.caughtUpAt) {
			t.Errorf("after %d ms caught up at %v with entry %d committed, want %v", step.millis, s.CaughtUpAt, s.Commit, step.caughtUpAt)
		}
	}
}
