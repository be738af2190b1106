package consensus

import (
	"maps"
	"slices"
	"time"
)

// checkLeaders checks that each term has at most one leader and that at most one server holds a lease.
func (c *cluster) checkLeaders() {
	var holder ID
	for _, s := range c.servers {
		if s.node == nil {
			continue
		}
		status := s.node.Status(c.clock(s))
		if known, ok := c.leaders[status.Term]; status.IsLeader && ok && known != s.id {
			c.t.Fatalf("term %d has the leaders %s and %s", status.Term, known, s.id)
		}
		if status.IsLeader {
			c.leaders[status.Term] = s.id
		}
		if _, _, ok := s.node.Lease(c.clock(s)); !ok {
			continue
		}
		if holder != (ID{}) {
			c.t.Fatalf("%s and %s hold a lease at once", holder, s.id)
		}
		holder = s.id
	}
}

// allDisksVote reports whether some server has committed a set of members in which every server's current disk is a
// voter.
func (c *cluster) allDisksVote() bool {
	return slices.ContainsFunc(c.servers, func(s *server) bool {
		if s.node == nil {
			return false
		}
		members := s.node.log.membersAt(s.node.commit)
		return !slices.ContainsFunc(c.servers, func(other *server) bool { return !members.Voter(other.id) })
	})
}

// repairMembers acts as an operator after the loss of a disk: it removes the old member and adds the new one.
func (c *cluster) repairMembers() {
	for _, s := range c.servers {
		if s.node == nil || s.paused || !s.node.Status(c.clock(s)).IsLeader {
			continue
		}
		for _, other := range c.servers {
			member, ok := s.node.log.currentMembers().members.Find(other.name)
			if ok && member.ID != other.id {
				_, _, _ = s.node.Remove(c.clock(s), other.name)
			}
			if !ok {
				_, _, _ = s.node.Add(c.clock(s), other.id, other.name)
			}
		}
		c.processActions(s)
	}
}

// healAndCheck ends all faults and checks that the servers converge, that no accepted operation was lost, and that the
// history is linearizable.
func (c *cluster) healAndCheck() {
	c.loss = 0
	clear(c.cutLinks)
	for _, s := range c.servers {
		s.isolated, s.crashOnPersist, s.syncTime = false, false, nil
		c.start(s)
		c.resume(s)
	}
	for range 40 {
		c.run(50 * time.Millisecond)
		c.repairMembers()
	}
	last := &op{ID: len(c.ops) + 1, Expected: -1, invoked: c.now}
	c.ops = append(c.ops, last)
	for range 40 {
		for _, s := range c.servers {
			c.callServer(s, last)
		}
		c.run(50 * time.Millisecond)
	}
	if !last.answered {
		c.t.Fatalf("the cluster does not answer after all faults have ended")
	}
	for _, s := range c.servers {
		if s.state.Revision != c.servers[0].state.Revision || !maps.Equal(s.state.Answers, c.servers[0].state.Answers) {
			c.t.Fatalf("%s and %s differ after healing", s.id, c.servers[0].id)
		}
	}
	for _, o := range c.ops {
		if kept, ok := c.servers[0].state.Answers[o.ID]; !o.read && o.answered && (!ok || kept != o.answer) {
			c.t.Fatalf("operation %d was answered %+v, and the state holds %+v", o.ID, o.answer, kept)
		}
	}
	if err := linearizable(c.ops); err != nil {
		c.t.Fatalf("%v", err)
	}
}
