package ledger

import (
	"maps"
	"slices"
	"time"
)

// Quorum returns how many of n replicas are a majority.
func Quorum(n int) int { return n/2 + 1 }

// recoveryQuorum returns how many other replicas a replica must read to know all that a majority with it may know.
func recoveryQuorum(n int) int { return n - Quorum(n) + 1 }

// recoverOther notes the new incarnation of another replica, whose earlier acknowledgements no longer count, and returns records.
func (r *Replica) recoverOther(now time.Time, m Request) Reply {
	known := r.memory.Vector[m.Slot]
	if m.Incarnation < known || (m.Incarnation == known && m.After == Key{}) {
		return r.reply(RefusedNonce)
	}
	if m.Incarnation > known {
		r.memory.Vector[m.Slot] = m.Incarnation
		r.remember()
	}
	return r.page(now, m)
}

// Recover makes a replica active under the incarnation that it announced, with what the other replicas told it, and reports whether it did.
//
// An active replica is left as it is, unless others count its acknowledgements from that incarnation on only.
func (r *Replica) Recover(now time.Time, epoch string, incarnation int64, replies []Reply) bool {
	if r.active && (r.memory.Epoch != epoch || r.memory.Incarnation >= incarnation) {
		return false
	}
	vector := map[string]int64{}
	if r.active {
		raise(vector, r.memory.Vector)
	}
	for _, reply := range replies {
		raise(vector, reply.Vector)
		for _, call := range reply.Page {
			r.take(now, call)
		}
	}
	vector[r.slot] = incarnation
	r.enter(epoch, incarnation, vector)
	return true
}

func (r *Replica) take(now time.Time, call Record) {
	if old, ok := r.calls[call.Key]; ok {
		call = merge(now, old, call)
	}
	r.put(call)
}

func raise(vector, other map[string]int64) {
	for slot, incarnation := range other {
		vector[slot] = max(vector[slot], incarnation)
	}
}

func (r *Replica) enter(epoch string, incarnation int64, vector map[string]int64) {
	r.memory.Epoch = epoch
	r.memory.Incarnation = incarnation
	r.memory.Vector = vector
	r.active = true
	r.held = ""
	r.remember()
}

// found holds the proposal of a new epoch for this run of the replica.
func (r *Replica) found(m Request) Reply {
	if m.Nonce != r.nonce {
		return r.reply(RefusedNonce)
	}
	r.held = m.Epoch
	return r.reply(Accepted)
}

// open enters the new epoch that the replica holds; a replica that has its memory keeps it.
func (r *Replica) open(m Request) Reply {
	if m.Nonce != r.nonce || r.held != m.Epoch {
		return r.reply(RefusedNonce)
	}
	r.Adopt(m.Epoch)
	return r.reply(Accepted)
}

// Adopt enters an epoch in which a majority of the replicas is active.
func (r *Replica) Adopt(epoch string) {
	r.enter(epoch, firstIncarnation, map[string]int64{})
}

// Step is what a replica does next to have a part in its group.
type Step int

// Steps of a replica.
const (
	// StepNone needs nothing, or must wait for others.
	StepNone Step = iota
	// StepRecover reads the replicas of Plan.From and becomes active under a new incarnation.
	StepRecover
	// StepAdopt enters the epoch of the majority.
	StepAdopt
	// StepFound founds a new epoch with the replicas of Plan.From.
	StepFound
)

// Plan is a step with its epoch and the replicas that take part.
type Plan struct {
	Step  Step
	Epoch string
	// Incarnation is the next one of the replica that recovers.
	Incarnation int64
	From        []string
}

// Next decides the step of the replica self of n, from the statuses that it got from all reachable replicas, itself included.
func Next(self string, n int, statuses map[string]Reply) Plan {
	own, ok := statuses[self]
	if !ok {
		return Plan{}
	}
	members := activeBy(statuses)
	for _, epoch := range slices.Sorted(maps.Keys(members)) {
		slots := members[epoch]
		others := slices.DeleteFunc(slices.Clone(slots), func(slot string) bool { return slot == self })
		switch {
		case own.Active && own.Epoch != epoch && len(slots) >= Quorum(n):
			return Plan{Step: StepAdopt, Epoch: epoch}
		case !own.Active && len(slots) >= recoveryQuorum(n):
			return Plan{Step: StepRecover, Epoch: epoch, Incarnation: nextIncarnation(self, statuses, slots), From: slots}
		case own.Active && own.Epoch == epoch && len(others) >= recoveryQuorum(n) && disowned(self, statuses, others):
			return Plan{Step: StepRecover, Epoch: epoch, Incarnation: nextIncarnation(self, statuses, others), From: others}
		}
	}
	if founds(self, n, statuses, members) {
		return Plan{Step: StepFound, From: slices.Sorted(maps.Keys(statuses))}
	}
	return Plan{}
}

// activeBy returns the active replicas of each epoch in the order of their names.
func activeBy(statuses map[string]Reply) map[string][]string {
	members := map[string][]string{}
	for _, slot := range slices.Sorted(maps.Keys(statuses)) {
		if status := statuses[slot]; status.Active {
			members[status.Epoch] = append(members[status.Epoch], slot)
		}
	}
	return members
}

// disowned reports whether others know a higher incarnation of self than it has, so that its acknowledgements do not count.
//
// A replica comes to this if an epoch is opened at it, or adopted by it, after it announced a recovery.
func disowned(self string, statuses map[string]Reply, others []string) bool {
	return nextIncarnation(self, statuses, others) > statuses[self].Incarnation+1
}

func nextIncarnation(self string, statuses map[string]Reply, slots []string) int64 {
	highest := int64(firstIncarnation)
	for _, slot := range slots {
		highest = max(highest, statuses[slot].Vector[self])
	}
	return highest + 1
}

// split reports whether all replicas have their memory, but no majority one epoch, so that none can recover or adopt.
func split(n int, members map[string][]string) bool {
	active, most := 0, 0
	for _, slots := range members {
		active += len(slots)
		most = max(most, len(slots))
	}
	return active == n && most < Quorum(n)
}

// founds reports whether no epoch can have enough active replicas any more, and self is the first that can see it.
func founds(self string, n int, statuses map[string]Reply, members map[string][]string) bool {
	first := slices.Min(slices.Collect(maps.Keys(statuses)))
	if len(statuses) < Quorum(n) || first != self {
		return false
	}
	if split(n, members) {
		return true
	}
	unreachable := n - len(statuses)
	if unreachable >= recoveryQuorum(n) {
		return false
	}
	for _, slots := range members {
		if len(slots)+unreachable >= recoveryQuorum(n) {
			return false
		}
	}
	return true
}
