package consensus

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// leads runs until one of the servers leads in a term above the last, and returns it.
func (c *cluster) leads(servers []*server, last int64) *server {
	for range 5000 {
		c.run(time.Millisecond)
		for _, s := range servers {
			if status := s.node.Status(c.clock(s)); status.Leads && status.Term > last {
				return s
			}
		}
	}
	c.t.Fatalf("no leader was elected")
	return nil
}

// part cuts every link between two groups and drops what is on its way between them.
func (c *cluster) part(one, other []*server) {
	in := func(group []*server, name string) bool {
		return slices.ContainsFunc(group, func(s *server) bool { return s.name == name })
	}
	for _, a := range one {
		for _, b := range other {
			c.cut(a, b)
		}
	}
	c.network = slices.DeleteFunc(c.network, func(d delivery) bool {
		from, to := d.m.From.Name, d.m.ToAddress
		return in(one, from) && in(other, to) || in(other, from) && in(one, to)
	})
}

// TestSecondChangeBeforeCommit has a leader that keeps one follower of four remove the three others at once.
//
// Were the second removal taken, the two would be a majority of their own beside that of the three.
func TestSecondChangeBeforeCommit(t *testing.T) {
	c := newCluster(t, 5, 10, steady)
	c.loss = 0
	old := c.led()
	c.run(200 * time.Millisecond)
	others := c.others(old)
	kept, lost := others[:1], others[1:]
	c.part(append([]*server{old}, kept...), lost)
	for i, s := range lost {
		_, _, err := old.node.Remove(c.clock(old), s.name)
		if pending := errors.As(err, new(*ChangePendingError)); pending != (i > 0) {
			t.Errorf("removal %d: %v", i, err)
		}
	}
	c.carryOut(old)
	c.accept(old)
	next := c.leads(lost, old.node.Status(c.clock(old)).Term)
	if !c.accept(next) {
		t.Error("the majority accepts nothing")
	}
	c.settle()
}

// TestChangeBeforeEntryOfTerm has a leader of a new term remove a voter that has heard nothing of that term but the vote,
// while the old leader holds a removal that was not committed (Ongaro, raft-dev, 2015).
//
// Were it taken, the old leader and that voter would be a majority of the old leader's set, and lose what the new one accepted.
func TestChangeBeforeEntryOfTerm(t *testing.T) {
	c := newCluster(t, 4, 11, steady)
	c.loss = 0
	old := c.led()
	c.run(200 * time.Millisecond)
	others := c.others(old)
	c.part([]*server{old}, others)
	if _, _, err := old.node.Remove(c.clock(old), others[0].name); err != nil {
		t.Fatal(err)
	}
	c.carryOut(old)
	next := c.leads(others, old.node.Status(c.clock(old)).Term)
	away := others[1]
	if next == away {
		away = others[2]
	}
	c.part([]*server{away}, slices.DeleteFunc(slices.Clone(others), func(s *server) bool { return s == away }))
	c.run(testElection / 2)
	if _, _, err := next.node.Remove(c.clock(next), away.name); !errors.As(err, new(*NotReadyError)) {
		t.Errorf("a removal before an entry of the term: %v", err)
	}
	c.carryOut(next)
	c.accept(next)
	delete(c.cuts, old.name+away.name)
	delete(c.cuts, away.name+old.name)
	c.run(2 * time.Second)
	c.settle()
}
