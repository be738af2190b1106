package ledger

// Op is the operation that a request asks a replica to perform.
type Op int

// Operations of a replica.
const (
	// OpStatus asks for the status of the replica.
	OpStatus Op = iota
	// OpRead asks for the record of a key.
	OpRead
	// OpClaim claims a key for an attempt.
	OpClaim
	// OpWithdraw withdraws a claim whose call was not sent and never will be.
	OpWithdraw
	// OpExpire ends the lease of a claim whose call is in doubt.
	OpExpire
	// OpPrepare is the first phase of Paxos: it asks for a promise to accept no lower ballot.
	OpPrepare
	// OpAccept is the second phase of Paxos: it asks to accept an ending under a ballot.
	OpAccept
	// OpLearn reports that an ending was chosen.
	OpLearn
	// OpList asks for a page of the records that follow a key.
	OpList
	// OpRecover announces a new incarnation of a replica that lost its memory, and asks for a page of the records that
	// follow a key.
	OpRecover
	// OpFound proposes a new epoch.
	OpFound
	// OpOpen starts a proposed epoch that a majority of the replicas accepted.
	OpOpen
)

// Request is a request to one replica.
type Request struct {
	Op Op
	// Group is the name of the replica set; a replica of another set refuses the request.
	Group string
	// Epoch is the epoch under which the sender makes the request.
	Epoch string
	// Call holds the key and, depending on the operation, the claim or the value.
	Call   Record
	Ballot Ballot
	// Slot and Incarnation identify the replica that recovers.
	Slot        string
	Incarnation int64
	// Nonce is the receiver's nonce, as reported in its status.
	Nonce string
	// After is the last key before the page.
	After Key
	// DoubtfulOnly limits the page to the calls in doubt, which an operator must settle.
	DoubtfulOnly bool
}

// Refusal is the reason why a replica did not perform the operation.
type Refusal int

// Refusals of a replica.
const (
	// Accepted means that the replica did not refuse the request.
	Accepted Refusal = iota
	// RefusedGroup means that the replica belongs to another replica set.
	RefusedGroup
	// RefusedRecovering means that the replica lost its memory and has not recovered yet.
	RefusedRecovering
	// RefusedEpoch means that the replica is in another epoch.
	RefusedEpoch
	// RefusedKnown means that the key already has a record, which the reply holds.
	RefusedKnown
	// RefusedBallot means that the replica promised a higher ballot.
	RefusedBallot
	// RefusedLease means that the lease of the claim has not expired, so that its owner may still be running the call.
	RefusedLease
	// RefusedFull means that the replica holds Limits.MaxCalls records.
	RefusedFull
	// RefusedNonce means that the request was addressed to an earlier run of the replica, or that it names an
	// incarnation that is outdated or an epoch that was not proposed to this run.
	RefusedNonce
)

// Reply is the reply of one replica.
type Reply struct {
	Slot    string
	Refusal Refusal
	// Active reports whether the replica holds its memory.
	Active      bool
	Epoch       string
	Nonce       string
	Incarnation int64
	// Vector maps each slot to the highest known incarnation of its replica.
	Vector map[string]int64
	// Found reports whether Call holds a record.
	Found bool
	Call  Record
	Page  []Record
	// More reports whether records follow the page.
	More bool
}
