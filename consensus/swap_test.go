package consensus

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// join has the leader admit a server, and waits until it can be promoted.
func (c *cluster) join(leader, s *server) {
	if _, _, err := leader.node.Join(c.clock(leader), s.id, s.name, time.Second, false); err != nil {
		c.t.Fatalf("%s is not admitted: %v", s.id, err)
	}
	// A learner with suspects is not promoted by itself.
	if _, _, err := leader.node.SetReplacement(c.clock(leader), s.id, &Replacement{Suspects: []ID{s.id}}); err != nil {
		c.t.Fatalf("%s: %v", s.id, err)
	}
	c.processActions(leader)
	for range 1000 {
		if c.run(time.Millisecond); leader.node.CaughtUp(c.clock(leader), s.id) {
			return
		}
	}
	c.t.Fatalf("%s does not catch up", s.id)
}

// TestSwapNeedsBothMajorities has a leader that is cut off with one of four followers and a learner swap the learner for one of the
// other three.
//
// If a majority of the new set of voters were enough, the leader could commit changes while the other three elect a leader in the
// old one.
func TestSwapNeedsBothMajorities(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 5, seed, equalRates)
		c.loss = 0
		spare := c.addSpare()
		old := c.waitForLeader()
		c.run(200 * time.Millisecond)
		c.join(old, spare)
		var others []*server
		for _, s := range c.others(old) {
			if s != spare {
				others = append(others, s)
			}
		}
		kept, lost := []*server{old, spare, others[0]}, others[1:]
		c.partition(kept, lost)
		if _, _, err := old.node.Replace(c.clock(old), lost[0].id, spare.id); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		c.processActions(old)
		if members := old.node.Status(c.clock(old)).Members; !members.Voter(spare.id) || members.Voter(lost[0].id) {
			t.Fatalf("seed %d: the members are %+v", seed, members)
		}
		if c.acceptsChange(old) {
			t.Errorf("seed %d: a change was accepted without a majority of the old set", seed)
		}
		next := c.waitForLeaderAfter(lost, old.node.Status(c.clock(old)).Term)
		if !c.acceptsChange(next) {
			t.Errorf("seed %d: the majority of the old set did not accept a change", seed)
		}
		c.healAndCheck()
	}
}

// TestSwapBesideOlderVersion checks that no voters are swapped while a member does not know that this needs two majorities.
func TestSwapBesideOlderVersion(t *testing.T) {
	c := newCluster(t, 3, 1, equalRates)
	c.loss = 0
	spare := c.addSpare()
	leader := c.waitForLeader()
	c.join(leader, spare)
	failed := c.others(leader)[0]
	if !leader.node.CanSwap(c.clock(leader), failed.id, spare.id) {
		t.Error("a swap is refused")
	}
	older := c.others(leader)[1]
	leader.node.Receive(c.clock(leader), Message{
		Kind: AppendReply, From: older.id, To: leader.id, Term: leader.node.HardState().Term, Granted: true, Match: 1, Round: 1,
	})
	if leader.node.CanSwap(c.clock(leader), failed.id, spare.id) {
		t.Error("a swap is allowed beside a member that does not name the last index that it has received")
	}
}

// TestFaultsBesideSwaps swaps voters for other servers under random faults and checks the invariants at every step.
func TestFaultsBesideSwaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 5, rapid.Uint64().Draw(t, "seed"), driftingRates)
		c.loss = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "loss")
		for range 2 {
			c.addSpare()
		}
		for _, s := range c.servers {
			c.slowDisk(s, rapid.SampledFrom([]string{"", "", "slow", "uneven"}).Draw(t, "disk"))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := c.servers[rapid.IntRange(0, len(c.servers)-1).Draw(t, "server")]
			if kind := rapid.IntRange(0, 14).Draw(t, "fault"); kind != 7 {
				c.injectFault(s, kind)
			}
			c.run(time.Duration(rapid.SampledFrom([]int{0, 20, 90, 250}).Draw(t, "quiet")) * time.Millisecond)
			for range rapid.IntRange(0, 10).Draw(t, "calls") {
				c.callAsClient()
				c.run(time.Duration(c.rnd.IntN(12)) * time.Millisecond)
			}
			c.swapOne()
		}
		c.healAndCheck()
	})
}

// swapOne has each leader admit the servers that are no members as learners with suspects, and swap one for a voter.
func (c *cluster) swapOne() {
	for _, s := range c.servers {
		if s.node == nil || s.paused || !s.node.Status(c.clock(s)).IsLeader {
			continue
		}
		now := c.clock(s)
		members := s.node.Status(now).Members
		for _, i := range c.rnd.Perm(len(c.servers)) {
			other := c.servers[i]
			member, ok := members.Find(other.name)
			failed := c.servers[c.rnd.IntN(len(c.servers))]
			switch {
			case !ok:
				_, _, _ = s.node.Join(now, other.id, other.name, time.Second, false)
				_, _, _ = s.node.SetReplacement(now, other.id, &Replacement{Suspects: []ID{s.id}})
			case !member.Voter && failed != s && s.node.CanSwap(now, failed.id, other.id):
				if _, _, err := s.node.Replace(now, failed.id, other.id); err == nil {
					c.swaps++
				}
			}
		}
		c.processActions(s)
	}
}
