package consensus

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newFollower returns a follower of the leader "a" that has the members a, b, c and d, and the time of its start.
func newFollower(t *testing.T) (*Node, time.Time) {
	t.Helper()
	var members Members
	for _, name := range []string{"a", "b", "c", "d"} {
		members = members.With(Member{ID: testID(name), Address: name, Voter: true})
	}
	now := time.Unix(1000, 0)
	cfg := Config{Self: testID("b"), Address: "b", Heartbeat: testHeartbeat, ElectionTimeout: testElectionTimeout}
	r := Restored{HardState: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 1, Kind: MembersEntry, Members: members}}, Commit: 1}
	return New(cfg, r, now, rand.New(rand.NewPCG(1, 1))), now
}

func testID(name string) ID { return ID{Name: name, Disk: "disk"} }

// request returns an AppendRequest of the leader "a", whose node started at the same time as the follower.
func request(sentAt time.Duration, contacts ...Contact) Message {
	return Message{Kind: AppendRequest, From: testID("a"), FromAddress: "a", To: testID("b"), Term: 1, Index: 1, LogTerm: 1, Commit: 1, Round: 1, SentAt: sentAt, Contacts: contacts}
}

// age returns the time since the last contact with a member.
func (n *Node) age(now time.Time, name string) time.Duration {
	for id, c := range n.contacts {
		if id.Name == name {
			return now.Sub(c.at)
		}
	}
	return -1
}

// TestDelayedRequestOfEndedLeader guards against counting a request as contact with its sender when it arrives long after
// the sender has ended.
func TestDelayedRequestOfEndedLeader(t *testing.T) {
	const delay = 10 * time.Millisecond
	n, began := newFollower(t)
	last := time.Duration(0)
	for ; last < time.Second; last += testHeartbeat {
		n.Receive(began.Add(last+delay), request(last))
	}
	now := began.Add(last + 3*time.Second)
	n.Receive(now, request(last-testHeartbeat))
	if age := n.age(now, "a"); age < 3*time.Second-testElectionTimeout {
		t.Errorf("the leader ended %v ago, and its last contact is %v old", 3*time.Second, age)
	}
}

// TestLeaderClockRate guards against outdated contacts with a running leader whose clock is slow or was suspended.
func TestLeaderClockRate(t *testing.T) {
	for name, sent := range map[string]func(now time.Duration) time.Duration{
		"slow":      func(now time.Duration) time.Duration { return now - now/500 },
		"suspended": func(now time.Duration) time.Duration { return now - min(now/2, 80*time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			n, began := newFollower(t)
			for now := time.Duration(0); now < time.Minute; now += testHeartbeat {
				n.Receive(began.Add(now), request(sent(now)))
			}
			now := began.Add(time.Minute)
			if age := n.age(now, "a"); age > testElectionTimeout {
				t.Errorf("the leader's last contact is %v old", age)
			}
		})
	}
}

// TestContactsOfLeader checks what a follower learns from the members that a leader names, and what it replies.
func TestContactsOfLeader(t *testing.T) {
	n, began := newFollower(t)
	now := began.Add(time.Second)
	n.Receive(now, request(time.Second, Contact{Member: testID("c"), Age: 3 * time.Second, Known: true, Stopping: true}, Contact{Member: testID("d")}))
	if age := n.age(now, "c"); age != 3*time.Second || !n.contacts[testID("c")].stopping {
		t.Errorf("the last contact with c is %v old, stopping %v", age, n.contacts[testID("c")].stopping)
	}
	if _, ok := n.contacts[testID("d")]; ok {
		t.Error("there is a contact with a member that the leader reports no time for")
	}
	n.Receive(now, Message{Kind: PreVoteRequest, From: testID("c"), FromAddress: "c", To: testID("b"), Term: 1})
	n.Actions()
	n.Receive(now.Add(testHeartbeat), request(time.Second+testHeartbeat, Contact{Member: testID("c"), Age: 3 * time.Second, Known: true}, Contact{Member: testID("d"), Age: time.Second, Known: true}))
	for _, m := range n.Actions().Messages {
		if m.Kind == AppendReply && (len(m.Contacts) != 1 || m.Contacts[0].Member != testID("c") || m.Contacts[0].Age != testHeartbeat || m.Contacts[0].Stopping) {
			t.Errorf("the reply names %+v", m.Contacts)
		}
	}
}

// TestToldContactsStayOld guards against contact times that advance by a transmission delay each time two voters report
// them to each other.
func TestToldContactsStayOld(t *testing.T) {
	c := newCluster(t, 5, 3, equalRates)
	leader := c.waitForLeader()
	c.run(time.Second)
	lost := c.others(leader)[0]
	lost.isolated = true
	lostAt := c.now
	c.run(5 * time.Second)
	for _, s := range c.servers {
		if s.node.Status(c.clock(s)).IsLeader && s != lost {
			for _, silence := range s.node.Silences(c.clock(s)) {
				if silence.Member == lost.id && silence.Age < c.now-lostAt-testElectionTimeout/2 {
					t.Errorf("%s was lost %v ago, and its last contact is %v old", lost.name, c.now-lostAt, silence.Age)
				}
			}
		}
	}
}

// TestSilenceOfNewMember guards against a member that joins and looks silent for as long as the leader has led.
func TestSilenceOfNewMember(t *testing.T) {
	c := newCluster(t, 3, 4, equalRates)
	c.loss = 0
	leader := c.waitForLeader()
	c.run(2 * time.Second)
	if _, _, err := leader.node.Join(c.clock(leader), testID("z"), "nowhere", time.Second, false); err != nil {
		t.Fatal(err)
	}
	for _, silence := range leader.node.Silences(c.clock(leader)) {
		if silence.Member == testID("z") && (silence.Known || silence.Age > 0) {
			t.Errorf("the new member is silent for %v, known %v", silence.Age, silence.Known)
		}
	}
}

// TestReplacementOfLostDisk checks that a member whose disk was lost keeps its replacement, and takes its old place in one entry.
func TestReplacementOfLostDisk(t *testing.T) {
	c := newCluster(t, 3, 5, equalRates)
	c.loss = 0
	leader := c.waitForLeader()
	lost := c.others(leader)[0]
	lost.isolated = true
	c.run(time.Second)
	join := func(id ID) {
		t.Helper()
		// Nobody answers at the address of the lost member.
		if _, _, err := leader.node.Join(c.clock(leader), id, lost.name, 500*time.Millisecond, false); err != nil {
			t.Fatal(err)
		}
		c.processActions(leader)
		c.run(200 * time.Millisecond)
	}
	join(testID("z"))
	again := ID{Name: "z", Disk: "disk 2"}
	join(again)
	members := leader.node.Status(c.clock(leader)).Members
	member, _ := members.Find("z")
	if len(members) != 4 || member.ID != again || member.Replacement == nil || len(member.Replacement.Suspects) != 1 || member.Replacement.Suspects[0] != lost.id {
		t.Errorf("the members are %+v", members)
	}
	if _, _, err := leader.node.Replace(c.clock(leader), lost.id, again); err != nil {
		t.Fatal(err)
	}
	members = leader.node.Status(c.clock(leader)).Members
	if member, _ = members.Find("z"); len(members) != 3 || member.Replacement != nil {
		t.Errorf("after the removal the members are %+v", members)
	}
}

// TestContactOfRemovedMember guards against followers that record a contact with a removed member because the leader no longer reports
// it as silent. If the leader fails before the removal is committed, the next leader would not remove that member.
func TestContactOfRemovedMember(t *testing.T) {
	c := newCluster(t, 5, 6, equalRates)
	c.loss = 0
	leader := c.waitForLeader()
	c.run(5 * testElectionTimeout)
	lost := c.others(leader)[0]
	lost.isolated = true
	lostAt := c.now
	c.run(10 * testElectionTimeout)
	// The removal reaches one follower, and is not committed.
	for _, s := range c.others(leader)[1:] {
		s.syncTime = func() time.Duration { return time.Hour }
	}
	if _, _, err := leader.node.Remove(c.clock(leader), lost.name); err != nil {
		t.Fatal(err)
	}
	c.processActions(leader)
	c.run(5 * testElectionTimeout)
	for _, s := range c.others(leader)[1:] {
		if age := s.node.age(c.clock(s), lost.name); age < c.now-lostAt-2*testElectionTimeout {
			t.Errorf("%s: the last contact with a member lost %v ago is %v old", s.name, c.now-lostAt, age)
		}
	}
}
