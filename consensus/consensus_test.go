package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var equalRates = []float64{1}

// driftingRates are clock rates that differ by less than the drift margin.
var driftingRates = []float64{0.955, 1.045, 1, 1.045, 0.955}

// TestFaults runs a cluster under random faults and checks the invariants at every step.
func TestFaults(t *testing.T) {
	for _, count := range []int{3, 4, 5} {
		t.Run(fmt.Sprint(count, " voters"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { runFaults(t, count) })
		})
	}
}

// runFaults draws the faults of one run, and checks at the end that no accepted change was lost.
func runFaults(t *rapid.T, count int) {
	c := newCluster(t, count, rapid.Uint64().Draw(t, "seed"), driftingRates)
	c.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
	for _, s := range c.servers {
		c.slowDisk(s, rapid.SampledFrom([]string{"", "", "slow", "slower", "uneven", "stalled"}).Draw(t, "disk"))
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		s := c.servers[rapid.IntRange(0, count-1).Draw(t, "server")]
		c.injectFault(s, rapid.IntRange(0, 9).Draw(t, "fault"))
		c.run(time.Duration(rapid.SampledFrom([]int{0, 0, 20, 90, 250}).Draw(t, "quiet")) * time.Millisecond)
		for range rapid.IntRange(0, 20).Draw(t, "calls") {
			c.callAsClient()
			c.run(time.Duration(c.rnd.IntN(12)) * time.Millisecond)
		}
		c.repairMembers()
	}
	c.healAndCheck()
}

// syncTimes returns the time of each write of one server, in milliseconds; an election timeout is 100.
var syncTimes = map[string]func(rnd *rand.Rand) int{
	"slow":    func(*rand.Rand) int { return 40 },
	"slower":  func(*rand.Rand) int { return 400 },
	"uneven":  func(rnd *rand.Rand) int { return rnd.IntN(300) },
	"stalled": func(rnd *rand.Rand) int { return 5 + rnd.IntN(20)/19*1500 },
}

// slowDisk has the writes of a server take the named times from now on.
func (c *cluster) slowDisk(s *server, name string) {
	s.syncTime = nil
	if f := syncTimes[name]; f != nil {
		s.syncTime = func() time.Duration { return time.Duration(f(c.rnd)) * time.Millisecond }
	}
}

// injectFault starts or ends one fault.
func (c *cluster) injectFault(s *server, kind int) {
	switch kind {
	case 0:
		c.crash(s)
	case 1:
		c.start(s)
	case 2:
		s.paused = s.node != nil
	case 3:
		c.resume(s)
	case 4:
		s.isolated = true
	case 5:
		s.isolated = false
	case 6:
		s.crashOnPersist = true
	case 7:
		if c.allDisksVote() {
			c.wiped++
			c.wipe(s)
			c.start(s)
		}
	case 8:
		if other := c.servers[c.rnd.IntN(len(c.servers))]; other != s {
			c.cutLink(s, other)
		}
	default:
		clear(c.cutLinks)
		for _, one := range c.servers {
			one.isolated = false
			c.resume(one)
			c.start(one)
		}
	}
}

// waitForLeader runs the cluster until a leader holds a lease, and returns it.
func (c *cluster) waitForLeader() *server {
	for range 5000 {
		c.run(time.Millisecond)
		for _, s := range c.servers {
			if s.node == nil || s.paused || s.isolated {
				continue
			}
			if _, _, ok := s.node.Lease(c.clock(s)); ok {
				return s
			}
		}
	}
	c.t.Fatalf("no leader was elected")
	return nil
}

// others returns all servers except one.
func (c *cluster) others(except *server) []*server {
	var others []*server
	for _, s := range c.servers {
		if s != except {
			others = append(others, s)
		}
	}
	return others
}

// acceptsChange sends a change to the leader and reports whether it was accepted within 200 ms.
func (c *cluster) acceptsChange(s *server) bool {
	o := &op{ID: len(c.ops) + 1, Expected: s.state.Revision, invoked: c.now}
	c.ops = append(c.ops, o)
	c.callServer(s, o)
	c.run(200 * time.Millisecond)
	return o.answered && o.answer.Accepted
}

func TestReturnedVoterKeepsLeader(t *testing.T) {
	c := newCluster(t, 3, 1, equalRates)
	leader := c.waitForLeader()
	term := leader.node.Status(c.clock(leader)).Term
	away := c.others(leader)[0]
	away.isolated = true
	c.run(2 * time.Second)
	away.isolated = false
	c.run(time.Second)
	if status := leader.node.Status(c.clock(leader)); !status.IsLeader || status.Term != term {
		t.Errorf("the returned voter deposed the leader: %+v", status)
	}
}

func TestPausedLeaderServesNothing(t *testing.T) {
	c := newCluster(t, 3, 2, equalRates)
	old := c.waitForLeader()
	old.paused = true
	c.run(time.Second)
	next := c.waitForLeader()
	if !c.acceptsChange(next) {
		t.Fatal("the next leader did not accept a change")
	}
	old.paused = false
	if term, _, ok := old.node.Lease(c.clock(old)); ok {
		t.Errorf("the resumed leader holds a lease of term %d", term)
	}
	o := &op{ID: 99, Expected: old.state.Revision}
	c.callServer(old, o)
	c.run(time.Second)
	if o.answered {
		t.Errorf("the resumed leader answered %+v", o.answer)
	}
}

// TestLeaseIsExclusive provokes an election while the old leader, first cut off
// from one voter and then isolated, may still hold its lease. checkLeaders
// fails the test at any step in which two servers hold a lease.
func TestLeaseIsExclusive(t *testing.T) {
	for seed := range uint64(300) {
		c := newCluster(t, 3, seed, []float64{0.955, 1.045, 1.045})
		c.loss, c.electionTimeout = 0, 4*testElectionTimeout
		for _, s := range c.servers {
			c.wipe(s)
			c.start(s)
		}
		leader := c.waitForLeader()
		helper, rival := c.others(leader)[0], c.others(leader)[1]
		c.run(200 * time.Millisecond)
		c.cutLink(leader, rival)
		c.run(time.Second + time.Duration(seed)*3*time.Millisecond)
		if !leader.node.Status(c.clock(leader)).IsLeader {
			t.Fatalf("seed %d: a voter that does not receive the leader's messages was elected", seed)
		}
		if seed%4 == 0 {
			c.crash(helper)
			c.start(helper)
		}
		leader.isolated = true
		c.run(2 * time.Second)
	}
}

func TestOldTermIsNotEchoed(t *testing.T) {
	n := New(Config{Self: ID{Name: "a"}, ElectionTimeout: testElectionTimeout}, Restored{HardState: HardState{Term: 5}}, time.Unix(0, 0), rand.New(rand.NewPCG(1, 1)))
	n.Receive(time.Unix(0, 0), Message{Kind: AppendRequest, To: ID{Name: "a"}, Term: 3, Round: 1000, SentAt: time.Hour})
	for _, m := range n.Actions().Messages {
		if m.Term != 5 || m.Round != 0 || m.SentAt != 0 {
			t.Errorf("a request of term 3 was answered in term %d with round %d", m.Term, m.Round)
		}
	}
}

// TestLateInstallKeepsEntries sends a follower a delayed snapshot that is older
// than entries which it has acknowledged. The entries must be kept, since the
// leader may have committed them.
func TestLateInstallKeepsEntries(t *testing.T) {
	self := ID{Name: "a"}
	n := New(Config{Self: self, ElectionTimeout: testElectionTimeout}, Restored{HardState: HardState{Term: 1}}, time.Unix(0, 0), rand.New(rand.NewPCG(1, 1)))
	var entries []Entry
	for i := range int64(5) {
		entries = append(entries, Entry{Index: i + 1, Term: 1})
	}
	n.Receive(time.Unix(0, 0), Message{Kind: AppendRequest, To: self, Term: 1, Entries: entries, Commit: 2})
	n.Actions()
	n.Receive(time.Unix(0, 0), Message{Kind: InstallRequest, To: self, Term: 1, Snapshot: &Snapshot{Index: 3, Term: 1}})
	a := n.Actions()
	if a.Install != nil || n.log.last() != 5 || n.commit != 3 || len(a.Committed) != 1 {
		t.Errorf("install %v, last index %d, commit %d, committed %v", a.Install, n.log.last(), n.commit, a.Committed)
	}
}

// TestEntryOfOldTermIsNotCommitted has a leader replicate an entry of an
// earlier term to a majority. The entry must be committed only together with an
// entry of the leader's own term.
func TestEntryOfOldTermIsNotCommitted(t *testing.T) {
	ids := []ID{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	var members Members
	for _, id := range ids {
		members = members.With(Member{ID: id, Voter: true})
	}
	now := time.Unix(0, 0)
	n := New(Config{Self: ids[0], Heartbeat: testHeartbeat, ElectionTimeout: testElectionTimeout}, Restored{
		HardState: HardState{Term: 2},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: MembersEntry, Members: members}, {Index: 2, Term: 2}},
	}, now, rand.New(rand.NewPCG(1, 1)))
	now = now.Add(2 * testElectionTimeout)
	n.Tick(now)
	n.Receive(now, Message{Kind: PreVoteReply, From: ids[1], To: ids[0], Term: 3, Granted: true})
	n.persist(now)
	n.Receive(now, Message{Kind: VoteReply, From: ids[1], To: ids[0], Term: 3, Granted: true})
	n.persist(now)
	n.Receive(now, Message{Kind: AppendReply, From: ids[1], To: ids[0], Term: 3, Granted: true, Match: 2, Round: 1})
	if status := n.Status(now); !status.IsLeader || status.Commit != 0 {
		t.Fatalf("with an entry of term 2 on a majority: %+v", status)
	}
	if _, _, err := n.Remove(now, "c"); !errors.As(err, new(*NotReadyError)) {
		t.Errorf("a change before an entry of the term: %v", err)
	}
	n.Receive(now, Message{Kind: AppendReply, From: ids[1], To: ids[0], Term: 3, Granted: true, Match: 3, Round: 1, SentAt: 2 * testElectionTimeout})
	if status := n.Status(now); status.Commit != 3 {
		t.Errorf("with an entry of term 3 on a majority: %+v", status)
	}
	for _, name := range []string{"d", "e"} {
		if _, _, err := n.Add(now, ID{Name: name}, name); err != nil {
			t.Errorf("an addition of a learner: %v", err)
		}
	}
	if _, _, err := n.Remove(now, "c"); err != nil {
		t.Errorf("a first change of the voters: %v", err)
	}
	if _, _, err := n.Remove(now, "b"); !errors.As(err, new(*ChangePendingError)) {
		t.Errorf("a second change of the voters: %v", err)
	}
}

func TestEmptyDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, 3, equalRates)
	leader := c.waitForLeader()
	away, lost := c.others(leader)[0], c.others(leader)[1]
	away.isolated = true
	if !c.acceptsChange(leader) {
		t.Fatal("the leader did not accept a change")
	}
	c.crash(leader)
	c.wipe(lost)
	c.start(lost)
	away.isolated = false
	c.run(3 * time.Second)
	if away.node.Status(c.clock(away)).IsLeader {
		t.Error("a voter that lacks an accepted change was elected with the vote of a wiped disk")
	}
	c.start(leader)
	c.healAndCheck()
}

func TestEmptyDisksDoNotBootstrapAgain(t *testing.T) {
	c := newCluster(t, 3, 4, equalRates)
	if !c.acceptsChange(c.waitForLeader()) {
		t.Fatal("the leader did not accept a change")
	}
	survivor := c.servers[2]
	survivor.isolated = true
	for _, s := range c.servers[:2] {
		c.wipe(s)
		c.start(s)
	}
	c.run(3 * time.Second)
	survivor.isolated = false
	c.run(3 * time.Second)
	for _, s := range c.servers {
		if s.node.Status(c.clock(s)).IsLeader {
			t.Errorf("%s leads without a majority of the voters' disks", s.id)
		}
	}
}

func TestSecondLossAfterRepair(t *testing.T) {
	for _, entries := range []int{1, 10, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			c := newCluster(t, 3, 5, equalRates)
			leader := c.waitForLeader()
			for range entries {
				if !c.acceptsChange(leader) {
					t.Fatal("a change was not accepted")
				}
			}
			first, second := c.others(leader)[0], leader
			for _, s := range []*server{first, second} {
				c.wipe(s)
				c.start(s)
				for tries := 0; !c.allDisksVote() && tries < 500; tries++ {
					c.run(10 * time.Millisecond)
					c.repairMembers()
				}
			}
			if !c.allDisksVote() {
				t.Fatal("the members were not repaired")
			}
			if !c.acceptsChange(c.waitForLeader()) {
				t.Error("no change is accepted after the second loss")
			}
			c.healAndCheck()
		})
	}
}

func TestLearnerDoesNotCount(t *testing.T) {
	c := newCluster(t, 3, 6, equalRates)
	leader := c.waitForLeader()
	c.crash(c.others(leader)[0])
	if _, _, err := leader.node.Add(c.clock(leader), ID{Name: "a2", Disk: "disk1"}, c.others(leader)[0].name); err != nil {
		t.Fatal(err)
	}
	c.run(time.Second)
	if !c.acceptsChange(leader) {
		t.Error("a learner that never answered blocks the majority")
	}
}

func TestMemberErrors(t *testing.T) {
	c := newCluster(t, 3, 7, equalRates)
	leader := c.waitForLeader()
	other := c.others(leader)[0]
	now := c.clock(leader)
	_, _, err := leader.node.Add(now, ID{Name: other.name, Disk: "disk9"}, "x")
	if !errors.As(err, new(*MemberExistsError)) {
		t.Errorf("adding a name again: %v", err)
	}
	_, _, err = leader.node.Remove(now, "z")
	if !errors.As(err, new(*UnknownMemberError)) {
		t.Errorf("removing an unknown member: %v", err)
	}
	_, _, err = other.node.Remove(c.clock(other), leader.name)
	if !errors.As(err, new(*NotLeaderError)) {
		t.Errorf("removing at a follower: %v", err)
	}
	c.crash(other)
	c.run(250 * time.Millisecond)
	_, _, err = leader.node.Remove(c.clock(leader), c.others(leader)[1].name)
	if !errors.As(err, new(*QuorumAtRiskError)) {
		t.Errorf("removing the last other live voter: %v", err)
	}
}

func TestTransfer(t *testing.T) {
	c := newCluster(t, 3, 8, equalRates)
	old := c.waitForLeader()
	c.run(100 * time.Millisecond)
	if !old.node.Transfer(c.clock(old)) {
		t.Fatal("no voter could take over leadership")
	}
	c.processActions(old)
	c.run(testElectionTimeout / 2)
	if next := c.waitForLeader(); next == old {
		t.Error("the old leader was elected again")
	}
	if !c.acceptsChange(c.waitForLeader()) {
		t.Error("the new leader did not accept a change")
	}
}

func TestRestartAfterManyChanges(t *testing.T) {
	c := newCluster(t, 3, 9, equalRates)
	c.loss = 0
	leader := c.waitForLeader()
	away := c.others(leader)[0]
	c.crash(away)
	for range 400 {
		if !c.acceptsChange(leader) {
			t.Fatal("a change was not accepted")
		}
	}
	for _, s := range c.servers {
		c.crash(s)
		c.start(s)
	}
	c.healAndCheck()
	if away.state.Revision != 400 {
		t.Errorf("the restarted voter has revision %d", away.state.Revision)
	}
	if n := len(away.stored.Entries); n > snapshotEvery+5 {
		t.Errorf("the restarted voter keeps %d entries", n)
	}
}
