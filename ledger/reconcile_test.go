package ledger

import (
	"fmt"
	"maps"
	"slices"
)

// planStep plans the next steps of a replica's reconciler from the statuses of the replicas that it reaches.
func (m *machine) planStep(slot string, reached []string) {
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
		n.pendingSteps = []func(){func() { n.Adopt(plan.Epoch); m.sync(slot) }}
	case StepRecover:
		n.pendingSteps = m.recoverySteps(slot, plan)
	case StepFound:
		n.pendingSteps = m.foundingSteps(statuses)
	default:
	}
}

// recoverySteps returns the steps of a recovery; it is abandoned if a replica refuses or does not answer.
func (m *machine) recoverySteps(slot string, plan Plan) []func() {
	n := m.nodes[slot]
	var replies []Reply
	var steps []func()
	for _, other := range plan.From {
		steps = append(steps, func() {
			r := Request{Op: OpRecover, Group: m.group, Epoch: plan.Epoch, Slot: slot, Incarnation: plan.Incarnation}
			reply, ok := m.handle(other, r)
			if !ok || reply.Refusal != Accepted {
				n.pendingSteps = nil
				return
			}
			replies = append(replies, reply)
		})
	}
	return append(steps, func() {
		m.coverage["recovered"]++
		n.Recover(m.now, plan.Epoch, plan.Incarnation, replies)
		m.sync(slot)
	})
}

// foundingSteps returns the steps of founding an epoch: a proposal to each replica, and the opening at each that
// accepted if these are a majority.
func (m *machine) foundingSteps(statuses map[string]Reply) []func() {
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
				m.coverage["founded"]++
				m.chosen = map[string]Value{}
			}
		})
	}
	return steps
}

// recoverAll runs the pending steps of each live replica's reconciler and plans the next ones with all replicas
// reachable.
func (m *machine) recoverAll() {
	for _, s := range m.slots {
		for m.nodes[s].alive && len(m.nodes[s].pendingSteps) > 0 {
			m.runStep(s)
		}
		if m.nodes[s].alive {
			m.planStep(s, m.slots)
		}
	}
}

// runStep runs the first pending step of a replica's reconciler.
func (m *machine) runStep(slot string) {
	n := m.nodes[slot]
	if !n.alive || len(n.pendingSteps) == 0 {
		return
	}
	first := n.pendingSteps[0]
	n.pendingSteps = n.pendingSteps[1:]
	first()
}
