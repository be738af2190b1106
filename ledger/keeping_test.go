package ledger

import (
	"fmt"
	"maps"
	"slices"
)

// keep plans the next step of a replica from the statuses of the replicas that it reaches.
func (m *machine) keep(slot string, reached []string) {
	n := m.nodes[slot]
	statuses := map[string]Reply{}
	for _, other := range append(reached, slot) {
		if reply, ok := m.handle(other, Request{Op: OpStatus, Group: m.group}); ok {
			statuses[other] = reply
		}
	}
	plan := Next(slot, len(m.slots), statuses)
	switch plan.Step {
	case StepAdopt:
		n.todo = []func(){func() { n.Adopt(plan.Epoch); m.sync(slot) }}
	case StepRecover:
		n.todo = m.recovery(slot, plan)
	case StepFound:
		n.todo = m.founding(statuses)
	default:
	}
}

// recovery returns the steps of a recovery; a replica that gives no answer ends it.
func (m *machine) recovery(slot string, plan Plan) []func() {
	n := m.nodes[slot]
	var replies []Reply
	var steps []func()
	for _, other := range plan.From {
		steps = append(steps, func() {
			r := Request{Op: OpRecover, Group: m.group, Epoch: plan.Epoch, Slot: slot, Incarnation: plan.Incarnation}
			reply, ok := m.handle(other, r)
			if !ok || reply.Refusal != Accepted {
				n.todo = nil
				return
			}
			replies = append(replies, reply)
		})
	}
	return append(steps, func() {
		m.used["recovered"]++
		n.Recover(m.now, plan.Epoch, plan.Incarnation, replies)
		m.sync(slot)
	})
}

// founding returns the steps of a founding: a proposal to each replica, and the opening if a majority holds it.
func (m *machine) founding(statuses map[string]Reply) []func() {
	m.runs++
	epoch := fmt.Sprint("epoch", m.runs)
	held := map[string]bool{}
	var steps []func()
	for _, slot := range slices.Sorted(maps.Keys(statuses)) {
		steps = append(steps, func() {
			reply, ok := m.handle(slot, Request{Op: OpFound, Group: m.group, Epoch: epoch, Nonce: statuses[slot].Nonce})
			held[slot] = ok && reply.Refusal == Accepted
		})
	}
	for _, slot := range slices.Sorted(maps.Keys(statuses)) {
		steps = append(steps, func() {
			count := 0
			for _, h := range held {
				if h {
					count++
				}
			}
			if count < Quorum(len(m.slots)) || !held[slot] {
				return
			}
			reply, ok := m.handle(slot, Request{Op: OpOpen, Group: m.group, Epoch: epoch, Nonce: statuses[slot].Nonce})
			if ok && reply.Refusal == Accepted {
				m.used["founded"]++
				m.chosen = map[string]Value{}
			}
		})
	}
	return steps
}

// recoverAll lets the keeper of each replica run its steps and plan the next with all replicas reached.
func (m *machine) recoverAll() {
	for _, s := range m.slots {
		for m.nodes[s].alive && len(m.nodes[s].todo) > 0 {
			m.step(s)
		}
		if m.nodes[s].alive {
			m.keep(s, m.slots)
		}
	}
}

// step runs one waiting step of a replica's keeper.
func (m *machine) step(slot string) {
	n := m.nodes[slot]
	if !n.alive || len(n.todo) == 0 {
		return
	}
	first := n.todo[0]
	n.todo = n.todo[1:]
	first()
}
