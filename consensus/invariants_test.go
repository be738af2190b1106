package consensus

import (
	"maps"
	"slices"
	"time"
)

// checkLeaders checks that a term has one leader and that one server at most holds a lease.
func (c *cluster) checkLeaders() {
	var holder ID
	for _, s := range c.servers {
		if s.node == nil {
			continue
		}
		status := s.node.Status(c.clock(s))
		if known, ok := c.leaders[status.Term]; status.Leads && ok && known != s.id {
			c.t.Fatalf("term %d has the leaders %s and %s", status.Term, known, s.id)
		}
		if status.Leads {
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

// whole reports whether every server's present disk is a voter by a committed set of members.
func (c *cluster) whole() bool {
	return slices.ContainsFunc(c.servers, func(s *server) bool {
		if s.node == nil {
			return false
		}
		members := s.node.log.setAt(s.node.commit)
		return !slices.ContainsFunc(c.servers, func(other *server) bool { return !members.Voter(other.id) })
	})
}

// repair does what an operator does after a lost disk: remove the old member and add the new one.
func (c *cluster) repair() {
	for _, s := range c.servers {
		if s.node == nil || s.frozen || !s.node.Status(c.clock(s)).Leads {
			continue
		}
		for _, other := range c.servers {
			member, ok := s.node.log.set().members.Find(other.name)
			if ok && member.ID != other.id {
				_, _, _ = s.node.Remove(c.clock(s), other.name)
			}
			if !ok {
				_, _, _ = s.node.Add(c.clock(s), other.id, other.name)
			}
		}
		c.carryOut(s)
	}
}

// settle heals everything and checks that nothing accepted was lost.
func (c *cluster) settle() {
	c.loss = 0
	clear(c.cuts)
	for _, s := range c.servers {
		s.isolated, s.crashing = false, false
		c.start(s)
		c.thaw(s)
	}
	for range 40 {
		c.run(50 * time.Millisecond)
		c.repair()
	}
	last := &op{ID: len(c.ops) + 1, Expected: -1, invoked: c.now}
	c.ops = append(c.ops, last)
	for range 40 {
		for _, s := range c.servers {
			c.call(s, last)
		}
		c.run(50 * time.Millisecond)
	}
	if !last.answered {
		c.t.Fatalf("the healed cluster does not answer")
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
