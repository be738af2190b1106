package ledger

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits of one page of records.
const (
	pageRecords = 500
	pageBytes   = 1 << 20
)

// firstIncarnation is the incarnation of each replica at the start of an epoch.
const firstIncarnation = 1

// Limits bound a replica.
type Limits struct {
	// Retention is how long a record is kept after its claim.
	Retention time.Duration
	// MaxCalls is the most records that are kept.
	MaxCalls int
}

// Memory is what a replica must not forget, beside its records.
type Memory struct {
	Group       string
	Epoch       string
	Incarnation int64
	Vector      map[string]int64
}

// Change is what must be durable before a reply is sent: a memory, a record, or the key of a record to drop.
type Change struct {
	Memory *Memory
	Put    *Record
	Drop   *Key
}

// Replica is one replica of a region's ledger; it is not safe for concurrent use.
type Replica struct {
	slot    string
	nonce   string
	limits  Limits
	memory  Memory
	active  bool
	held    string
	calls   map[Key]Record
	changes []Change
}

// Group names the replica set of the slots.
func Group(slots []string) string {
	return strings.Join(slices.Sorted(slices.Values(slots)), ",")
}

// NewReplica returns a replica without memory; the nonce is unique to this run of it.
func NewReplica(slot, group, nonce string, limits Limits) *Replica {
	return &Replica{slot: slot, nonce: nonce, limits: limits, memory: Memory{Group: group}, calls: map[Key]Record{}}
}

// Restore takes a change that was durable before the start; leases of claims begin anew.
func (r *Replica) Restore(now time.Time, c Change) {
	switch {
	case c.Memory != nil && c.Memory.Group == r.memory.Group:
		r.memory = *c.Memory
		r.memory.Vector = maps.Clone(c.Memory.Vector)
		r.active = true
	case c.Put != nil:
		call := *c.Put
		call.Lease += max(now.Sub(call.ClaimedAt), 0)
		r.calls[call.Key] = call
	case c.Drop != nil:
		delete(r.calls, *c.Drop)
	}
}

// Changes returns and forgets the changes that must be durable before the replies since the last call are sent.
func (r *Replica) Changes() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// Snapshot returns the changes that restore the replica's whole memory.
func (r *Replica) Snapshot() []Change {
	if !r.active {
		return nil
	}
	memory := r.memory
	changes := []Change{{Memory: &memory}}
	for _, call := range r.calls {
		changes = append(changes, Change{Put: &call})
	}
	return changes
}

// Len returns the number of records.
func (r *Replica) Len() int { return len(r.calls) }

// Handle answers a request; changes that it made are returned by Changes.
func (r *Replica) Handle(now time.Time, m Request) Reply {
	if m.Group != r.memory.Group {
		return r.reply(RefusedGroup)
	}
	switch m.Op {
	case OpStatus:
		return r.reply(Accepted)
	case OpRead:
		return r.read(m)
	case OpList:
		return r.page(now, m)
	case OpFound:
		return r.found(m)
	case OpOpen:
		return r.open(m)
	case OpLearn:
		return r.learn(m)
	default:
	}
	if !r.active {
		return r.withCall(RefusedRecovering, m.Call.Key)
	}
	if m.Epoch != r.memory.Epoch {
		return r.withCall(RefusedEpoch, m.Call.Key)
	}
	return r.handleActive(now, m)
}

// handleActive answers the requests that only a replica with its memory may answer.
func (r *Replica) handleActive(now time.Time, m Request) Reply {
	switch m.Op {
	case OpClaim:
		return r.claim(now, m)
	case OpWithdraw:
		return r.withdraw(m)
	case OpExpire:
		return r.expire(now, m)
	case OpPrepare:
		return r.prepare(now, m)
	case OpAccept:
		return r.accept(now, m)
	default:
		return r.recoverOther(now, m)
	}
}

// Expire drops the records whose retention has ended.
func (r *Replica) Expire(now time.Time) {
	for k, call := range r.calls {
		if call.Doubtful(now) || now.Sub(call.ClaimedAt) < r.limits.Retention {
			continue
		}
		delete(r.calls, k)
		r.changes = append(r.changes, Change{Drop: &k})
	}
}

func (r *Replica) reply(refusal Refusal) Reply {
	return Reply{
		Slot:        r.slot,
		Refusal:     refusal,
		Active:      r.active,
		Epoch:       r.memory.Epoch,
		Nonce:       r.nonce,
		Incarnation: r.memory.Incarnation,
		Vector:      maps.Clone(r.memory.Vector),
	}
}

// withCall returns a reply with the record of the key, if there is one.
func (r *Replica) withCall(refusal Refusal, k Key) Reply {
	reply := r.reply(refusal)
	reply.Call, reply.Found = r.calls[k]
	return reply
}

func (r *Replica) put(call Record) {
	r.calls[call.Key] = call
	r.changes = append(r.changes, Change{Put: &call})
}

func (r *Replica) remember() {
	memory := r.memory
	memory.Vector = maps.Clone(r.memory.Vector)
	r.changes = append(r.changes, Change{Memory: &memory})
}

func (r *Replica) read(m Request) Reply {
	if !r.active {
		return r.withCall(RefusedRecovering, m.Call.Key)
	}
	return r.withCall(Accepted, m.Call.Key)
}

// claim takes a claim for a key that has none, or only a withdrawn one of another attempt.
func (r *Replica) claim(now time.Time, m Request) Reply {
	k := m.Call.Key
	old, ok := r.calls[k]
	if ok && acknowledged(old, m.Call.Attempt) {
		return r.withCall(Accepted, k)
	}
	if ok && (!old.Withdrawn || old.Attempt == m.Call.Attempt) {
		return r.withCall(RefusedKnown, k)
	}
	if !ok && len(r.calls) >= r.limits.MaxCalls {
		return r.reply(RefusedFull)
	}
	r.put(newClaim(now, m.Call))
	return r.withCall(Accepted, k)
}

// acknowledged reports whether the replica acknowledged the claim of the attempt and nothing has happened to it since.
func acknowledged(c Record, attempt string) bool {
	return c.Attempt == attempt && !c.Withdrawn && c.Value.Ending == Open && c.Promised == Ballot{}
}

// newClaim returns the record of a claim that was received now.
func newClaim(now time.Time, c Record) Record {
	return Record{Key: c.Key, Digest: c.Digest, Service: c.Service, Attempt: c.Attempt, Owner: c.Owner, ClaimedAt: now, Lease: c.Lease}
}

// withdraw marks a claim of the same attempt, which no ballot was promised for, as never to be sent.
func (r *Replica) withdraw(m Request) Reply {
	call, ok := r.calls[m.Call.Key]
	if ok && call.Attempt == m.Call.Attempt && call.Value.Ending == Open && call.Promised == (Ballot{}) {
		call.Withdrawn = true
		r.put(call)
	}
	return r.withCall(Accepted, m.Call.Key)
}

// expire ends the lease of a claim of the same attempt.
func (r *Replica) expire(now time.Time, m Request) Reply {
	call, ok := r.calls[m.Call.Key]
	if ok && call.Attempt == m.Call.Attempt && call.InProgress(now) {
		call.Lease = now.Sub(call.ClaimedAt)
		r.put(call)
	}
	return r.withCall(Accepted, m.Call.Key)
}

// prepare promises to accept no ballot below the request's, once the claim's lease is over or an ending is known.
func (r *Replica) prepare(now time.Time, m Request) Reply {
	k := m.Call.Key
	call, ok := r.calls[k]
	if !ok || call.Withdrawn {
		call = newClaim(now, m.Call)
		call.Lease = 0
	}
	switch {
	case call.Chosen:
		return r.withCall(RefusedKnown, k)
	case call.InProgress(now) && m.Call.Value.Ending == Open:
		return r.withCall(RefusedLease, k)
	case !call.Promised.Less(m.Ballot):
		return r.withCall(RefusedBallot, k)
	}
	call.Promised = m.Ballot
	r.put(call)
	return r.withCall(Accepted, k)
}

// accept takes an ending unless a higher ballot was promised or another ending is chosen.
func (r *Replica) accept(now time.Time, m Request) Reply {
	k := m.Call.Key
	call, ok := r.calls[k]
	if !ok || call.Withdrawn || (call.Attempt != m.Call.Attempt && call.Value.Ending == Open) {
		promised := call.Promised
		call = newClaim(now, m.Call)
		call.Promised = promised
	}
	switch {
	case call.Chosen:
		return r.withCall(RefusedKnown, k)
	case m.Ballot.Less(call.Promised):
		return r.withCall(RefusedBallot, k)
	}
	call.Promised, call.Accepted, call.Value = m.Ballot, m.Ballot, m.Call.Value
	r.put(call)
	return r.withCall(Accepted, k)
}

// learn takes a chosen ending.
func (r *Replica) learn(m Request) Reply {
	k := m.Call.Key
	call, ok := r.calls[k]
	if !r.active || !ok || call.Chosen {
		return r.withCall(Accepted, k)
	}
	call.Chosen, call.Value, call.Withdrawn = true, m.Call.Value, false
	r.put(call)
	return r.withCall(Accepted, k)
}

// page returns the records after a key in the order of keys.
func (r *Replica) page(now time.Time, m Request) Reply {
	reply := r.reply(Accepted)
	var keys []Key
	for k, call := range r.calls {
		if k.Compare(m.After) > 0 && (!m.DoubtfulOnly || call.Doubtful(now)) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, Key.Compare)
	bytes := 0
	for _, k := range keys {
		if len(reply.Page) == pageRecords || bytes > pageBytes {
			reply.More = true
			return reply
		}
		reply.Page = append(reply.Page, r.calls[k])
		bytes += len(r.calls[k].Value.Outcome.Body)
	}
	return reply
}
