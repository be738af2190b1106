package ledger

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits of one page of records: their number, and the size of the stored bodies in bytes. A page ends with the record
// that makes the size exceed pageBytes.
const (
	pageRecords = 500
	pageBytes   = 1 << 20
)

// firstIncarnation is the incarnation of every replica at the start of an epoch.
const firstIncarnation = 1

// Limits are the bounds of a replica's store.
type Limits struct {
	// Retention is how long a record is kept after its claim.
	Retention time.Duration
	// MaxCalls is the maximum number of records; nothing is evicted to make space for a new claim.
	MaxCalls int
}

// Memory is the durable state of a replica besides its records. Vector maps each slot to the highest known incarnation
// of its replica.
type Memory struct {
	Group       string
	Epoch       string
	Incarnation int64
	Vector      map[string]int64
}

// Change is a change of the durable state, to be stored before the reply is sent. Exactly one field is set: the memory,
// a record to store, or the key of a record to delete.
type Change struct {
	Memory *Memory
	Put    *Record
	Drop   *Key
}

// Replica is one replica of a region's ledger; it is not safe for concurrent use.
type Replica struct {
	slot          string
	nonce         string
	limits        Limits
	memory        Memory
	active        bool
	proposedEpoch string
	calls         map[Key]Record
	changes       []Change
}

// Group returns the name of the replica set of the slots: the sorted slots, separated by commas.
func Group(slots []string) string {
	return strings.Join(slices.Sorted(slices.Values(slots)), ",")
}

// NewReplica returns an inactive replica without memory; the nonce must be unique to this run of the replica.
func NewReplica(slot, group, nonce string, limits Limits) *Replica {
	return &Replica{slot: slot, nonce: nonce, limits: limits, memory: Memory{Group: group}, calls: map[Key]Record{}}
}

// Restore applies a change that was stored in an earlier run; the leases of claims start again at now.
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

// Changes returns and clears the changes since the last call; they must be durable before the replies are sent.
func (r *Replica) Changes() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// Snapshot returns the changes that restore the whole state of the replica, or nil if it is not active.
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

// Handle processes a request and returns the reply; Changes returns the changes that it made.
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
		return r.proposeEpoch(m)
	case OpOpen:
		return r.openEpoch(m)
	case OpLearn:
		return r.learn(m)
	default:
	}
	if !r.active {
		return r.replyWithCall(RefusedRecovering, m.Call.Key)
	}
	if m.Epoch != r.memory.Epoch {
		return r.replyWithCall(RefusedEpoch, m.Call.Key)
	}
	return r.handleActive(now, m)
}

// handleActive processes the requests that only an active replica may process.
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
		return r.handleRecover(now, m)
	}
}

// Expire deletes the records whose retention has ended, except calls in doubt, which stay until they are settled.
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

// replyWithCall returns a reply that holds the record of the key, if there is one.
func (r *Replica) replyWithCall(refusal Refusal, k Key) Reply {
	reply := r.reply(refusal)
	reply.Call, reply.Found = r.calls[k]
	return reply
}

func (r *Replica) put(call Record) {
	r.calls[call.Key] = call
	r.changes = append(r.changes, Change{Put: &call})
}

func (r *Replica) saveMemory() {
	memory := r.memory
	memory.Vector = maps.Clone(r.memory.Vector)
	r.changes = append(r.changes, Change{Memory: &memory})
}

func (r *Replica) read(m Request) Reply {
	if !r.active {
		return r.replyWithCall(RefusedRecovering, m.Call.Key)
	}
	return r.replyWithCall(Accepted, m.Call.Key)
}

// claim accepts a claim of a key that has no record, or only the withdrawn claim of another attempt.
func (r *Replica) claim(now time.Time, m Request) Reply {
	k := m.Call.Key
	old, ok := r.calls[k]
	if ok && acknowledged(old, m.Call.Attempt) {
		return r.replyWithCall(Accepted, k)
	}
	if ok && (!old.Withdrawn || old.Attempt == m.Call.Attempt) {
		return r.replyWithCall(RefusedKnown, k)
	}
	if !ok && len(r.calls) >= r.limits.MaxCalls {
		return r.reply(RefusedFull)
	}
	r.put(newClaim(now, m.Call))
	return r.replyWithCall(Accepted, k)
}

// acknowledged reports whether the record is the acknowledged claim of the attempt, unchanged since.
func acknowledged(c Record, attempt string) bool {
	return c.Attempt == attempt && !c.Withdrawn && c.Value.Ending == Open && c.Promised == Ballot{}
}

// newClaim returns the record of a claim that is received at now.
func newClaim(now time.Time, c Record) Record {
	return Record{
		Key: c.Key, Digest: c.Digest, Service: c.Service, Attempt: c.Attempt, Owner: c.Owner, ClaimedAt: now, Lease: c.Lease,
	}
}

// withdraw marks the claim of the attempt as withdrawn, that is, never to be sent, unless a ballot was promised or an
// ending accepted.
func (r *Replica) withdraw(m Request) Reply {
	call, ok := r.calls[m.Call.Key]
	if ok && call.Attempt == m.Call.Attempt && call.Value.Ending == Open && call.Promised == (Ballot{}) {
		call.Withdrawn = true
		r.put(call)
	}
	return r.replyWithCall(Accepted, m.Call.Key)
}

// expire ends the lease of the claim of the attempt.
func (r *Replica) expire(now time.Time, m Request) Reply {
	call, ok := r.calls[m.Call.Key]
	if ok && call.Attempt == m.Call.Attempt && call.InProgress(now) {
		call.Lease = now.Sub(call.ClaimedAt)
		r.put(call)
	}
	return r.replyWithCall(Accepted, m.Call.Key)
}

// prepare promises to accept no ballot below that of the request. It refuses while the lease of the claim runs, unless
// the request holds an ending.
func (r *Replica) prepare(now time.Time, m Request) Reply {
	k := m.Call.Key
	call, ok := r.calls[k]
	if !ok || call.Withdrawn {
		call = newClaim(now, m.Call)
		call.Lease = 0
	}
	switch {
	case call.Chosen:
		return r.replyWithCall(RefusedKnown, k)
	case call.InProgress(now) && m.Call.Value.Ending == Open:
		return r.replyWithCall(RefusedLease, k)
	case !call.Promised.Less(m.Ballot):
		return r.replyWithCall(RefusedBallot, k)
	}
	call.Promised = m.Ballot
	r.put(call)
	return r.replyWithCall(Accepted, k)
}

// accept accepts an ending unless a higher ballot was promised or an ending is already chosen.
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
		return r.replyWithCall(RefusedKnown, k)
	case m.Ballot.Less(call.Promised):
		return r.replyWithCall(RefusedBallot, k)
	}
	call.Promised, call.Accepted, call.Value = m.Ballot, m.Ballot, m.Call.Value
	r.put(call)
	return r.replyWithCall(Accepted, k)
}

// learn records a chosen ending.
func (r *Replica) learn(m Request) Reply {
	k := m.Call.Key
	call, ok := r.calls[k]
	if !r.active || !ok || call.Chosen {
		return r.replyWithCall(Accepted, k)
	}
	call.Chosen, call.Value, call.Withdrawn = true, m.Call.Value, false
	r.put(call)
	return r.replyWithCall(Accepted, k)
}

// page returns one page of the records that follow a key, in the order of their keys.
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
