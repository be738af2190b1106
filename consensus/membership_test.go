package consensus

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// waitForLeaderAfter runs the cluster until one of the servers is the leader of a term above last, and returns it.
func (c *cluster) waitForLeaderAfter(servers []*server, last int64) *server {
	for range 5000 {
		c.run(time.Millisecond)
		for _, s := range servers {
			if status := s.node.Status(c.clock(s)); status.IsLeader && status.Term > last {
				return s
			}
		}
	}
	c.t.Fatalf("no leader was elected")
	return nil
}

// partition cuts every link between two groups and drops the messages in flight between them.
func (c *cluster) partition(one, other []*server) {
	in := func(group []*server, name string) bool {
		return slices.ContainsFunc(group, func(s *server) bool { return s.name == name })
	}
	for _, a := range one {
		for _, b := range other {
			c.cutLink(a, b)
		}
	}
	c.network = slices.DeleteFunc(c.network, func(d delivery) bool {
		from, to := d.m.From.Name, d.m.ToAddress
		return in(one, from) && in(other, to) || in(other, from) && in(one, to)
	})
}

// TestSecondChangeBeforeCommit partitions a leader with one of four followers from the other three, and has the leader
// remove these three at once.
//
// If the second removal were accepted before the first is committed, the leader and its follower could form a majority
// of the reduced set of members while the other three form a majority of the original set.
func TestSecondChangeBeforeCommit(t *testing.T) {
	c := newCluster(t, 5, 10, equalRates)
	c.loss = 0
	old := c.waitForLeader()
	c.run(200 * time.Millisecond)
	others := c.others(old)
	kept, lost := others[:1], others[1:]
	c.partition(append([]*server{old}, kept...), lost)
	for i, s := range lost {
		_, _, err := old.node.Remove(c.clock(old), s.name)
		if pending := errors.As(err, new(*ChangePendingError)); pending != (i > 0) {
			t.Errorf("removal %d: %v", i, err)
		}
	}
	c.processActions(old)
	c.acceptsChange(old)
	next := c.waitForLeaderAfter(lost, old.node.Status(c.clock(old)).Term)
	if !c.acceptsChange(next) {
		t.Error("the majority did not accept a change")
	}
	c.healAndCheck()
}

// TestChangeBeforeEntryOfTerm has the leader of a new term remove a voter that has received nothing of that term but
// the vote request, while the old leader's log holds an uncommitted removal (Ongaro, raft-dev, 2015).
//
// If the removal were accepted before an entry of the new term is committed, the old leader and that voter would be a
// majority of the old leader's set of members, and changes that the new leader accepted would be lost.
func TestChangeBeforeEntryOfTerm(t *testing.T) {
	c := newCluster(t, 4, 11, equalRates)
	c.loss = 0
	old := c.waitForLeader()
	c.run(200 * time.Millisecond)
	others := c.others(old)
	c.partition([]*server{old}, others)
	if _, _, err := old.node.Remove(c.clock(old), others[0].name); err != nil {
		t.Fatal(err)
	}
	c.processActions(old)
	next := c.waitForLeaderAfter(others, old.node.Status(c.clock(old)).Term)
	away := others[1]
	if next == away {
		away = others[2]
	}
	c.partition([]*server{away}, slices.DeleteFunc(slices.Clone(others), func(s *server) bool { return s == away }))
	c.run(testElectionTimeout / 2)
	if _, _, err := next.node.Remove(c.clock(next), away.name); !errors.As(err, new(*NotReadyError)) {
		t.Errorf("a removal before an entry of the term: %v", err)
	}
	c.processActions(next)
	c.acceptsChange(next)
	delete(c.cutLinks, old.name+away.name)
	delete(c.cutLinks, away.name+old.name)
	c.run(2 * time.Second)
	c.healAndCheck()
}
