package ledger

// Op is what a request asks of a replica.
type Op int

// Requests to a replica.
const (
	// OpStatus asks for the replica's status.
	OpStatus Op = iota
	// OpRead asks for the record of a key.
	OpRead
	// OpClaim claims a key for an attempt.
	OpClaim
	// OpWithdraw gives up a claim whose call was not sent and never will be.
	OpWithdraw
	// OpExpire ends the lease of a claim whose call is in doubt.
	OpExpire
	// OpPrepare asks for a promise to accept no lower ballot.
	OpPrepare
	// OpAccept asks to accept an ending under a ballot.
	OpAccept
	// OpLearn tells that an ending was chosen.
	OpLearn
	// OpList asks for a page of records after a key.
	OpList
	// OpRecover announces a new incarnation of a replica that lost its memory, and asks for a page of records after a key.
	OpRecover
	// OpFound proposes a new epoch.
	OpFound
	// OpOpen starts a new epoch that enough replicas agreed to.
	OpOpen
)

// Request is a request to one replica.
type Request struct {
	Op Op
	// Group names the replica set; replicas of another set refuse.
	Group string
	// Epoch is the epoch that the sender knows.
	Epoch string
	// Call holds the key and, by the operation, the claim or the value.
	Call   Record
	Ballot Ballot
	// Slot and Incarnation are the replica that recovers.
	Slot        string
	Incarnation int64
	// Nonce is the receiver's, as it told it in its status.
	Nonce string
	// After is the key before the page.
	After Key
	// DoubtfulOnly leaves out calls that need no operator.
	DoubtfulOnly bool
}

// Refusal is why a replica did not do as asked.
type Refusal int

// Refusals of a replica.
const (
	Accepted Refusal = iota
	// RefusedGroup says that the replica belongs to another replica set.
	RefusedGroup
	// RefusedRecovering says that the replica has lost its memory and not yet recovered.
	RefusedRecovering
	// RefusedEpoch says that the replica is in another epoch.
	RefusedEpoch
	// RefusedKnown says that the key has a record, which the reply holds.
	RefusedKnown
	// RefusedBallot says that a higher ballot was promised.
	RefusedBallot
	// RefusedLease says that the owner of the claim may still be at work.
	RefusedLease
	// RefusedFull says that the replica keeps as many calls as it may.
	RefusedFull
	// RefusedNonce says that the request was meant for an earlier run of the replica.
	RefusedNonce
)

// Reply is the answer of one replica.
type Reply struct {
	Slot    string
	Refusal Refusal
	// Active says that the replica has its memory.
	Active      bool
	Epoch       string
	Nonce       string
	Incarnation int64
	// Vector holds the highest known incarnation of each replica.
	Vector map[string]int64
	// Found says that Call holds a record.
	Found bool
	Call  Record
	Page  []Record
	// More says that records follow the page.
	More bool
}
