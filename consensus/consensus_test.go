package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var steady = []float64{1}

// drifting are clock rates that differ by less than the drift margin.
var drifting = []float64{0.955, 1.045, 1, 1.045, 0.955}

// TestFaults drives a cluster through faults drawn at random and checks every invariant all the time.
func TestFaults(t *testing.T) {
	for _, count := range []int{3, 4, 5} {
		t.Run(fmt.Sprint(count, " voters"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { driveFaults(t, count) })
		})
	}
}

// driveFaults draws the faults of one run, and checks at its end that nothing accepted was lost.
func driveFaults(t *rapid.T, count int) {
	c := newCluster(t, count, rapid.Uint64().Draw(t, "seed"), drifting)
	c.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		s := c.servers[rapid.IntRange(0, count-1).Draw(t, "server")]
		c.fault(s, rapid.IntRange(0, 9).Draw(t, "fault"))
		c.run(time.Duration(rapid.SampledFrom([]int{0, 0, 20, 90, 250}).Draw(t, "quiet")) * time.Millisecond)
		for range rapid.IntRange(0, 20).Draw(t, "calls") {
			c.client()
			c.run(time.Duration(c.rnd.IntN(12)) * time.Millisecond)
		}
		c.repair()
	}
	c.settle()
}

// fault brings about one fault or its end.
func (c *cluster) fault(s *server, kind int) {
	switch kind {
	case 0:
		c.crash(s)
	case 1:
		c.start(s)
	case 2:
		s.frozen = s.node != nil
	case 3:
		c.thaw(s)
	case 4:
		s.isolated = true
	case 5:
		s.isolated = false
	case 6:
		s.crashing = true
	case 7:
		if c.whole() {
			c.wiped++
			c.wipe(s)
			c.start(s)
		}
	case 8:
		if other := c.servers[c.rnd.IntN(len(c.servers))]; other != s {
			c.cut(s, other)
		}
	default:
		clear(c.cuts)
		for _, one := range c.servers {
			one.isolated = false
			c.thaw(one)
			c.start(one)
		}
	}
}

// led runs until a leader holds a lease, and returns it.
func (c *cluster) led() *server {
	for range 5000 {
		c.run(time.Millisecond)
		for _, s := range c.servers {
			if s.node == nil || s.frozen || s.isolated {
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

// others returns the servers but one.
func (c *cluster) others(but *server) []*server {
	var others []*server
	for _, s := range c.servers {
		if s != but {
			others = append(others, s)
		}
	}
	return others
}

// accept has a leader accept a change.
func (c *cluster) accept(s *server) bool {
	o := &op{ID: len(c.ops) + 1, Expected: s.state.Revision, invoked: c.now}
	c.ops = append(c.ops, o)
	c.call(s, o)
	c.run(200 * time.Millisecond)
	return o.answered && o.answer.Accepted
}

func TestReturnedVoterKeepsLeader(t *testing.T) {
	c := newCluster(t, 3, 1, steady)
	leader := c.led()
	term := leader.node.Status(c.clock(leader)).Term
	away := c.others(leader)[0]
	away.isolated = true
	c.run(2 * time.Second)
	away.isolated = false
	c.run(time.Second)
	if status := leader.node.Status(c.clock(leader)); !status.Leads || status.Term != term {
		t.Errorf("the returned voter deposed the leader: %+v", status)
	}
}

func TestFrozenLeaderServesNothing(t *testing.T) {
	c := newCluster(t, 3, 2, steady)
	old := c.led()
	old.frozen = true
	c.run(time.Second)
	next := c.led()
	if !c.accept(next) {
		t.Fatal("the next leader accepted nothing")
	}
	old.frozen = false
	if term, _, ok := old.node.Lease(c.clock(old)); ok {
		t.Errorf("the woken leader holds a lease of term %d", term)
	}
	o := &op{ID: 99, Expected: old.state.Revision}
	c.call(old, o)
	c.run(time.Second)
	if o.answered {
		t.Errorf("the woken leader answered %+v", o.answer)
	}
}

// TestLeaseIsExclusive brings an election about while a leader, cut off from
// one voter, still holds its lease; checkLeaders looks at every step.
func TestLeaseIsExclusive(t *testing.T) {
	for seed := range uint64(300) {
		c := newCluster(t, 3, seed, []float64{0.955, 1.045, 1.045})
		c.loss, c.election = 0, 4*testElection
		for _, s := range c.servers {
			c.wipe(s)
			c.start(s)
		}
		leader := c.led()
		helper, rival := c.others(leader)[0], c.others(leader)[1]
		c.run(200 * time.Millisecond)
		c.cut(leader, rival)
		c.run(time.Second + time.Duration(seed)*3*time.Millisecond)
		if !leader.node.Status(c.clock(leader)).Leads {
			t.Fatalf("seed %d: a voter that cannot hear the leader was elected", seed)
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
	n := New(Config{Self: ID{Name: "a"}, ElectionTimeout: testElection}, Restored{HardState: HardState{Term: 5}}, time.Unix(0, 0), rand.New(rand.NewPCG(1, 1)))
	n.Receive(time.Unix(0, 0), Message{Kind: AppendRequest, To: ID{Name: "a"}, Term: 3, Round: 1000, SentAt: time.Hour})
	for _, m := range n.Actions().Messages {
		if m.Term != 5 || m.Round != 0 || m.SentAt != 0 {
			t.Errorf("a request of term 3 was answered in term %d with round %d", m.Term, m.Round)
		}
	}
}

// TestLateInstallKeepsEntries sends a follower a snapshot that is older than
// entries which it has acknowledged, and which therefore may be committed.
func TestLateInstallKeepsEntries(t *testing.T) {
	self := ID{Name: "a"}
	n := New(Config{Self: self, ElectionTimeout: testElection}, Restored{HardState: HardState{Term: 1}}, time.Unix(0, 0), rand.New(rand.NewPCG(1, 1)))
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
// earlier term to a majority; it counts only with an entry of the leader's own.
func TestEntryOfOldTermIsNotCommitted(t *testing.T) {
	ids := []ID{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	var members Members
	for _, id := range ids {
		members = members.With(Member{ID: id, Voter: true})
	}
	now := time.Unix(0, 0)
	n := New(Config{Self: ids[0], Heartbeat: testHeartbeat, ElectionTimeout: testElection}, Restored{
		HardState: HardState{Term: 2},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: MembersEntry, Members: members}, {Index: 2, Term: 2}},
	}, now, rand.New(rand.NewPCG(1, 1)))
	now = now.Add(2 * testElection)
	n.Tick(now)
	n.Receive(now, Message{Kind: PreVoteReply, From: ids[1], To: ids[0], Term: 3, Granted: true})
	n.Receive(now, Message{Kind: VoteReply, From: ids[1], To: ids[0], Term: 3, Granted: true})
	n.Receive(now, Message{Kind: AppendReply, From: ids[1], To: ids[0], Term: 3, Granted: true, Match: 2, Round: 1})
	if status := n.Status(now); !status.Leads || status.Commit != 0 {
		t.Fatalf("with an entry of term 2 on a majority: %+v", status)
	}
	if _, _, err := n.Remove(now, "c"); !errors.As(err, new(*NotReadyError)) {
		t.Errorf("a change before an entry of the term: %v", err)
	}
	n.Receive(now, Message{Kind: AppendReply, From: ids[1], To: ids[0], Term: 3, Granted: true, Match: 3, Round: 1})
	if status := n.Status(now); status.Commit != 3 {
		t.Errorf("with an entry of term 3 on a majority: %+v", status)
	}
	if _, _, err := n.Add(now, ID{Name: "d"}, "d"); err != nil {
		t.Errorf("a first change: %v", err)
	}
	if _, _, err := n.Add(now, ID{Name: "e"}, "e"); !errors.As(err, new(*ChangePendingError)) {
		t.Errorf("a second change: %v", err)
	}
}

func TestEmptyDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, 3, steady)
	leader := c.led()
	away, lost := c.others(leader)[0], c.others(leader)[1]
	away.isolated = true
	if !c.accept(leader) {
		t.Fatal("the leader accepted nothing")
	}
	c.crash(leader)
	c.wipe(lost)
	c.start(lost)
	away.isolated = false
	c.run(3 * time.Second)
	if away.node.Status(c.clock(away)).Leads {
		t.Error("a voter that lacks an accepted change was elected by an empty disk")
	}
	c.start(leader)
	c.settle()
}

func TestEmptyDisksDoNotFoundAgain(t *testing.T) {
	c := newCluster(t, 3, 4, steady)
	if !c.accept(c.led()) {
		t.Fatal("the leader accepted nothing")
	}
	keeper := c.servers[2]
	keeper.isolated = true
	for _, s := range c.servers[:2] {
		c.wipe(s)
		c.start(s)
	}
	c.run(3 * time.Second)
	keeper.isolated = false
	c.run(3 * time.Second)
	for _, s := range c.servers {
		if s.node.Status(c.clock(s)).Leads {
			t.Errorf("%s leads without a majority of the voters' disks", s.id)
		}
	}
}

func TestSecondLossAfterRepair(t *testing.T) {
	for _, entries := range []int{1, 10, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			c := newCluster(t, 3, 5, steady)
			leader := c.led()
			for range entries {
				if !c.accept(leader) {
					t.Fatal("a change was not accepted")
				}
			}
			first, second := c.others(leader)[0], leader
			for _, s := range []*server{first, second} {
				c.wipe(s)
				c.start(s)
				for tries := 0; !c.whole() && tries < 500; tries++ {
					c.run(10 * time.Millisecond)
					c.repair()
				}
			}
			if !c.whole() {
				t.Fatal("the members were not repaired")
			}
			if !c.accept(c.led()) {
				t.Error("no change is accepted after the second loss")
			}
			c.settle()
		})
	}
}

func TestLearnerDoesNotCount(t *testing.T) {
	c := newCluster(t, 3, 6, steady)
	leader := c.led()
	c.crash(c.others(leader)[0])
	if _, _, err := leader.node.Add(c.clock(leader), ID{Name: "a2", Disk: "disk1"}, c.others(leader)[0].name); err != nil {
		t.Fatal(err)
	}
	c.run(time.Second)
	if !c.accept(leader) {
		t.Error("a member that never answered holds up the majority")
	}
}

func TestMemberErrors(t *testing.T) {
	c := newCluster(t, 3, 7, steady)
	leader := c.led()
	other := c.others(leader)[0]
	now := c.clock(leader)
	_, _, err := leader.node.Add(now, ID{Name: other.name, Disk: "disk9"}, "x")
	if !errors.As(err, new(*MemberExistsError)) {
		t.Errorf("adding a name again: %v", err)
	}
	_, _, err = leader.node.Remove(now, "z")
	if !errors.As(err, new(*UnknownMemberError)) {
		t.Errorf("removing nobody: %v", err)
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
	c := newCluster(t, 3, 8, steady)
	old := c.led()
	c.run(100 * time.Millisecond)
	if !old.node.Transfer(c.clock(old)) {
		t.Fatal("no voter could take over")
	}
	c.carryOut(old)
	c.run(testElection / 2)
	if next := c.led(); next == old {
		t.Error("the old leader leads again")
	}
	if !c.accept(c.led()) {
		t.Error("the new leader accepted nothing")
	}
}

func TestRestartAfterManyChanges(t *testing.T) {
	c := newCluster(t, 3, 9, steady)
	c.loss = 0
	leader := c.led()
	away := c.others(leader)[0]
	c.crash(away)
	for range 400 {
		if !c.accept(leader) {
			t.Fatal("a change was not accepted")
		}
	}
	for _, s := range c.servers {
		c.crash(s)
		c.start(s)
	}
	c.settle()
	if away.state.Revision != 400 {
		t.Errorf("the restarted voter has revision %d", away.state.Revision)
	}
	if n := len(away.stored.Entries); n > snapshotEvery+5 {
		t.Errorf("the restarted voter keeps %d entries", n)
	}
}
