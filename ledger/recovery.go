package ledger

import (
	"maps"
	"slices"
	"time"
)

// Quorum returns the size of a majority of n replicas.
func Quorum(n int) int { return n/2 + 1 }

// recoveryQuorum returns how many other replicas a recovering replica must read, so that at least one other member of
// every majority, with or without the recovering replica, is among them.
func recoveryQuorum(n int) int { return n - Quorum(n) + 1 }

// handleRecover records the new incarnation of another replica, whose earlier acknowledgements no longer count, and
// returns a page of records.
func (r *Replica) handleRecover(now time.Time, m Request) Reply {
	known := r.memory.Vector[m.Slot]
	if m.Incarnation < known || (m.Incarnation == known && m.After == Key{}) {
		return r.reply(RefusedNonce)
	}
	if m.Incarnation > known {
		r.memory.Vector[m.Slot] = m.Incarnation
		r.saveMemory()
	}
	return r.page(now, m)
}

// Recover makes the replica active under the incarnation that it announced, with the records and incarnations that the
// other replicas returned, and reports whether it did.
//
// An active replica recovers only if it is in the same epoch under a lower incarnation, since the others then count
// only acknowledgements of the announced incarnation and later ones. It keeps its records.
func (r *Replica) Recover(now time.Time, epoch string, incarnation int64, replies []Reply) bool {
	if r.active && (r.memory.Epoch != epoch || r.memory.Incarnation >= incarnation) {
		return false
	}
	vector := map[string]int64{}
	if r.active {
		mergeVector(vector, r.memory.Vector)
	}
	for _, reply := range replies {
		mergeVector(vector, reply.Vector)
		for _, call := range reply.Page {
			r.mergeRecord(now, call)
		}
	}
	vector[r.slot] = incarnation
	r.enterEpoch(epoch, incarnation, vector)
	return true
}

func (r *Replica) mergeRecord(now time.Time, call Record) {
	if old, ok := r.calls[call.Key]; ok {
		call = mergeRecords(now, old, call)
	}
	r.put(call)
}

func mergeVector(vector, other map[string]int64) {
	for slot, incarnation := range other {
		vector[slot] = max(vector[slot], incarnation)
	}
}

func (r *Replica) enterEpoch(epoch string, incarnation int64, vector map[string]int64) {
	r.memory.Epoch = epoch
	r.memory.Incarnation = incarnation
	r.memory.Vector = vector
	r.active = true
	r.proposedEpoch = ""
	r.saveMemory()
}

// proposeEpoch accepts the proposal of a new epoch, which is valid for this run of the replica only.
func (r *Replica) proposeEpoch(m Request) Reply {
	if m.Nonce != r.nonce {
		return r.reply(RefusedNonce)
	}
	r.proposedEpoch = m.Epoch
	return r.reply(Accepted)
}

// openEpoch enters the proposed epoch; the replica keeps the records that it has.
func (r *Replica) openEpoch(m Request) Reply {
	if m.Nonce != r.nonce || r.proposedEpoch != m.Epoch {
		return r.reply(RefusedNonce)
	}
	r.Adopt(m.Epoch)
	return r.reply(Accepted)
}

// Adopt enters an epoch that is being opened, or in which a majority of the replicas is active, under the first
// incarnation; the replica keeps the records that it has.
func (r *Replica) Adopt(epoch string) {
	r.enterEpoch(epoch, firstIncarnation, map[string]int64{})
}

// Step is the next step of a replica to become or stay a counted member of its group.
type Step int

// Steps of a replica.
const (
	// StepNone means that there is nothing to do, or that the replica must wait for others.
	StepNone Step = iota
	// StepRecover means to read the replicas in Plan.From and become active under a new incarnation.
	StepRecover
	// StepAdopt means to enter the epoch in which a majority is active.
	StepAdopt
	// StepFound means to found a new epoch with the replicas in Plan.From.
	StepFound
)

// Plan is a step with its epoch and the slots of the replicas that take part.
type Plan struct {
	Step  Step
	Epoch string
	// Incarnation is the new incarnation of the replica that recovers.
	Incarnation int64
	From        []string
}

// Next decides the next step of the replica in the slot self, one of n, from the statuses of all replicas that it can
// reach, itself included.
func Next(self string, n int, statuses map[string]Reply) Plan {
	own, ok := statuses[self]
	if !ok {
		return Plan{}
	}
	members := activeByEpoch(statuses)
	for _, epoch := range slices.Sorted(maps.Keys(members)) {
		slots := members[epoch]
		others := slices.DeleteFunc(slices.Clone(slots), func(slot string) bool { return slot == self })
		switch {
		case own.Active && own.Epoch != epoch && len(slots) >= Quorum(n):
			return Plan{Step: StepAdopt, Epoch: epoch}
		case !own.Active && len(slots) >= recoveryQuorum(n):
			return Plan{Step: StepRecover, Epoch: epoch, Incarnation: nextIncarnation(self, statuses, slots), From: slots}
		case own.Active && own.Epoch == epoch && len(others) >= recoveryQuorum(n) &&
			incarnationOutdated(self, statuses, others):
			return Plan{Step: StepRecover, Epoch: epoch, Incarnation: nextIncarnation(self, statuses, others), From: others}
		}
	}
	if shouldFoundEpoch(self, n, statuses, members) {
		return Plan{Step: StepFound, From: slices.Sorted(maps.Keys(statuses))}
	}
	return Plan{}
}

// activeByEpoch returns the slots of the active replicas of each epoch, sorted.
func activeByEpoch(statuses map[string]Reply) map[string][]string {
	members := map[string][]string{}
	for _, slot := range slices.Sorted(maps.Keys(statuses)) {
		if status := statuses[slot]; status.Active {
			members[status.Epoch] = append(members[status.Epoch], slot)
		}
	}
	return members
}

// incarnationOutdated reports whether others know a higher incarnation of self than its own, so that they do not count
// its acknowledgements.
//
// This happens if the replica opens or adopts an epoch after it announced a recovery.
func incarnationOutdated(self string, statuses map[string]Reply, others []string) bool {
	return nextIncarnation(self, statuses, others) > statuses[self].Incarnation+1
}

func nextIncarnation(self string, statuses map[string]Reply, slots []string) int64 {
	highest := int64(firstIncarnation)
	for _, slot := range slots {
		highest = max(highest, statuses[slot].Vector[self])
	}
	return highest + 1
}

// splitAcrossEpochs reports whether all replicas are active but no epoch has a majority of them, so that none can
// recover or adopt an epoch.
func splitAcrossEpochs(n int, members map[string][]string) bool {
	active, most := 0, 0
	for _, slots := range members {
		active += len(slots)
		most = max(most, len(slots))
	}
	return active == n && most < Quorum(n)
}

// shouldFoundEpoch reports whether self must found a new epoch: no epoch can have enough active replicas for a
// recovery, even with the unreachable replicas, or the group is split across epochs. Of the reachable replicas, which
// must be a majority, only the one with the lowest slot founds an epoch.
func shouldFoundEpoch(self string, n int, statuses map[string]Reply, members map[string][]string) bool {
	first := slices.Min(slices.Collect(maps.Keys(statuses)))
	if len(statuses) < Quorum(n) || first != self {
		return false
	}
	if splitAcrossEpochs(n, members) {
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
