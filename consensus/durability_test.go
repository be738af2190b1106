package consensus

import (
	"fmt"

	"slices"
	"testing"
	"time"
)

// persist has the node persist its state at once.
func (n *Node) persist(now time.Time) {
	n.Actions()
	n.Persisted(now)
}

// TestLeaderKeptBesideSlowDisks guards against elections that end or fail because a sync takes longer than the election
// timeout.
func TestLeaderKeptBesideSlowDisks(t *testing.T) {
	for name := range syncTimes {
		for _, slow := range []int{1, 3, 5} {
			t.Run(fmt.Sprint(name, " at ", slow), func(t *testing.T) {
				for seed := range uint64(10) {
					c := newCluster(t, 5, seed, equalRates)
					c.loss = 0
					for _, s := range c.servers[:slow] {
						c.slowDisk(s, name)
					}
					c.waitForLeader()
					c.run(time.Second)
					leader := c.waitForLeader()
					term := leader.node.Status(c.clock(leader)).Term
					for range 30 {
						c.callServer(leader, &op{ID: len(c.ops) + 1, Expected: -1, invoked: c.now})
						c.run(100 * time.Millisecond)
					}
					if s := leader.node.Status(c.clock(leader)); !s.IsLeader || s.Term != term {
						t.Errorf("seed %d: the leader of term %d lost its leadership in term %d", seed, term, s.Term)
					}
					c.crash(leader)
					c.electedWithin(t, seed, 10*testElectionTimeout+2*time.Duration(slowest[name])*time.Millisecond)
				}
			})
		}
	}
}

// slowest is the longest of the syncTimes, in milliseconds.
var slowest = map[string]int{"slow": 40, "slower": 400, "uneven": 300, "stalled": 1505}

// electedWithin fails the test if no leader is elected in time.
func (c *cluster) electedWithin(t *testing.T, seed uint64, limit time.Duration) {
	t.Helper()
	for end := c.now + limit; c.now < end; c.run(time.Millisecond) {
		for _, s := range c.servers {
			if s.node != nil && s.node.Status(c.clock(s)).IsLeader {
				return
			}
		}
	}
	t.Errorf("seed %d: no leader %v after the last one ended", seed, limit)
}

// TestUnwrittenStateNotPromised checks what a node sends while its disk is slow: it grants no vote and acknowledges no entry that
// a restart could lose, but answers heartbeats.
func TestUnwrittenStateNotPromised(t *testing.T) {
	n, now := newFollower(t)
	entry := Entry{Index: 2, Term: 1, Data: []byte("2")}
	steps := []struct {
		name    string
		receive Message
		// persisted reports that the write in progress ends instead.
		persisted bool
		want      []Message
	}{
		{name: "entry", receive: Message{Kind: AppendRequest, Index: 1, LogTerm: 1, Entries: []Entry{entry}, Round: 1},
			want: []Message{{Kind: AppendReply, Granted: true, Index: 2, Match: 1, Round: 1}}},
		{name: "heartbeat", receive: Message{Kind: AppendRequest, Index: 1, LogTerm: 1, Round: 2},
			want: []Message{{Kind: AppendReply, Granted: true, Index: 2, Match: 1, Round: 2}}},
		{name: "entry written", persisted: true, want: []Message{{Kind: AppendReply, Granted: true, Index: 2, Match: 2}}},
		{name: "vote", receive: Message{Kind: VoteRequest, Term: 2, Index: 2, LogTerm: 1, Transfer: true}},
		{name: "pre-vote before the vote is written", receive: Message{Kind: PreVoteRequest, Term: 3, Index: 2, LogTerm: 1},
			want: []Message{{Kind: PreVoteReply, Term: 2}}},
		{name: "vote written", persisted: true, want: []Message{{Kind: VoteReply, Term: 2, Granted: true}}},
		{name: "new term", receive: Message{Kind: AppendRequest, Term: 3, Index: 2, LogTerm: 1, Round: 3},
			want: []Message{{Kind: AppendReply, Term: 3, Granted: true, Index: 2, Round: 3}}},
		{name: "new term written", persisted: true, want: []Message{{Kind: AppendReply, Term: 3, Granted: true, Index: 2, Match: 2}}},
	}
	for _, step := range steps {
		if step.persisted {
			n.Persisted(now)
		} else {
			m := step.receive
			m.From, m.FromAddress, m.To = testID("a"), "a", testID("b")
			m.Term = max(m.Term, 1)
			n.Receive(now, m)
		}
		got := n.Actions().Messages
		for i := range got {
			got[i].From, got[i].FromAddress, got[i].To, got[i].ToAddress, got[i].Contacts = ID{}, "", ID{}, "", nil
		}
		for i := range step.want {
			step.want[i].Term = max(step.want[i].Term, 1)
		}
		if !slices.EqualFunc(got, step.want, func(a, b Message) bool { return fmt.Sprint(a) == fmt.Sprint(b) }) {
			t.Errorf("%s: sent %+v, want %+v", step.name, got, step.want)
		}
	}
}

// TestCandidateWaitsForItsVote guards against a candidate that leads before its own vote is durable: after a restart it could lead
// the same term again, with other entries at the same indices.
func TestCandidateWaitsForItsVote(t *testing.T) {
	n, now := newFollower(t)
	now = now.Add(3 * testElectionTimeout)
	n.Tick(now)
	for _, name := range []string{"a", "c"} {
		n.Receive(now, Message{Kind: PreVoteReply, From: testID(name), To: testID("b"), Term: 2, Granted: true})
	}
	n.Actions()
	for _, name := range []string{"a", "c", "d"} {
		n.Receive(now, Message{Kind: VoteReply, From: testID(name), To: testID("b"), Term: 2, Granted: true})
	}
	if s := n.Status(now); s.IsLeader || s.Term != 2 {
		t.Errorf("before the vote was written: %+v", s)
	}
	n.Persisted(now)
	if s := n.Status(now); !s.IsLeader || s.Term != 2 {
		t.Errorf("after the vote was written: %+v", s)
	}
	n.Receive(now, Message{Kind: AppendReply, From: testID("a"), To: testID("b"), Term: 2, Granted: true, Match: 2, Round: 1})
	n.Receive(now, Message{Kind: AppendReply, From: testID("c"), To: testID("b"), Term: 2, Granted: true, Match: 2, Round: 1})
	if s := n.Status(now); s.Commit != 1 {
		t.Errorf("with an entry that two of four voters have written, the commit index is %d", s.Commit)
	}
	n.persist(now)
	if s := n.Status(now); s.Commit != 2 {
		t.Errorf("with an entry that three of four voters have written, the commit index is %d", s.Commit)
	}
}

// TestUnwrittenEntriesSentAgain has a follower restart without entries that it had received but not written. The leader must
// send them again.
func TestUnwrittenEntriesSentAgain(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 3, seed, equalRates)
		c.loss = 0
		leader := c.waitForLeader()
		lost := c.others(leader)[0]
		lost.syncTime = func() time.Duration { return time.Hour }
		for range 2 {
			if !c.acceptsChange(leader) {
				t.Fatal("a change was not accepted beside a disk that hangs")
			}
		}
		lost.syncTime = nil
		c.crash(lost)
		c.start(lost)
		c.run(time.Second)
		if lost.state.Revision != leader.state.Revision {
			t.Errorf("seed %d: the follower has revision %d, the leader %d", seed, lost.state.Revision, leader.state.Revision)
		}
		c.healAndCheck()
	}
}

// TestVoteBesideUnwrittenSnapshot guards against a vote for a candidate that lacks an entry which the voter has acknowledged, while a
// snapshot that covers the entry is not durable yet.
func TestVoteBesideUnwrittenSnapshot(t *testing.T) {
	for index, want := range map[int64]bool{2: false, 3: true} {
		n, now := newFollower(t)
		receive := func(m Message) {
			m.From, m.FromAddress, m.To = testID("a"), "a", testID("b")
			n.Receive(now, m)
			n.Actions()
		}
		receive(Message{Kind: AppendRequest, Term: 1, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}}, Round: 1})
		n.Persisted(now)
		n.Actions()
		snapshot := &Snapshot{Index: 5, Term: 2, Members: n.Status(now).Members}
		receive(Message{Kind: InstallRequest, Term: 2, Snapshot: snapshot, Round: 1})
		receive(Message{Kind: VoteRequest, Term: 3, Index: index, LogTerm: 1, Transfer: true})
		var replies []Message
		for range 3 {
			n.Persisted(now)
			replies = append(replies, n.Actions().Messages...)
		}
		granted := slices.ContainsFunc(replies, func(m Message) bool { return m.Kind == VoteReply && m.Granted })
		if granted != want {
			t.Errorf("a candidate whose last entry is %d of term 1: granted %v, want %v", index, granted, want)
		}
	}
}
