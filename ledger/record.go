package ledger

import (
	"strings"
	"time"
)

// Key identifies a call: its caller and the caller's idempotency key.
type Key struct {
	Team string
	Key  string
}

// Compare orders keys by team and key.
func (k Key) Compare(other Key) int {
	if c := strings.Compare(k.Team, other.Team); c != 0 {
		return c
	}
	return strings.Compare(k.Key, other.Key)
}

// Ending is how a call ended.
type Ending int

// Endings of a call.
const (
	// Open calls have no ending that the replica knows of.
	Open Ending = iota
	// Completed calls ran and have their outcome.
	Completed
	// SettledRan calls ran, as an operator found, with an outcome that is not known.
	SettledRan
	// SettledNotRun calls did not run, as an operator found.
	SettledNotRun
)

// Outcome is the answer of a completed call; Body is empty and Kept false where the answer may not be stored.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	Kept        bool
}

// Value is the ending of a call with its outcome, and who told it.
type Value struct {
	Ending  Ending
	Outcome Outcome
	By      string
}

// Ballot orders the proposals of an ending; the zero ballot is that of the attempt that claimed the key.
type Ballot struct {
	Number   int64
	Proposer string
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Number != other.Number {
		return b.Number < other.Number
	}
	return b.Proposer < other.Proposer
}

// Record is what a replica knows of one call; Digest identifies the content of its request.
type Record struct {
	Key     Key
	Digest  string
	Service string
	// Attempt is the unique id of the claim, or empty if either of several may have won; Owner is the instance that made it.
	Attempt   string
	Owner     string
	ClaimedAt time.Time
	// Lease is how long the owner may take, from ClaimedAt.
	Lease     time.Duration
	Withdrawn bool
	Promised  Ballot
	Accepted  Ballot
	Value     Value
	// Chosen says that the value was agreed and never changes.
	Chosen bool
}

// InProgress reports whether the owner of the claim may still be at work.
func (c Record) InProgress(now time.Time) bool {
	return !c.Withdrawn && c.Value.Ending == Open && now.Before(c.ClaimedAt.Add(c.Lease))
}

// Doubtful reports whether the call may have run and its owner's time is over without an ending.
func (c Record) Doubtful(now time.Time) bool {
	return !c.Withdrawn && c.Value.Ending == Open && !c.InProgress(now)
}

// merge returns what follows from two records of one key.
func merge(now time.Time, a, b Record) Record {
	best, other := a, b
	if stronger(now, b, a) {
		best, other = b, a
	}
	if best.Promised.Less(other.Promised) {
		best.Promised = other.Promised
	}
	rival := !best.Withdrawn && !other.Withdrawn && best.Value.Ending == Open && best.Attempt != other.Attempt
	if rival {
		// No withdrawal of one claim may hide the other.
		best.Attempt = ""
	}
	return best
}

// stronger reports whether a says more than b: a chosen value, an accepted one, a claim, a withdrawn claim, in this order.
func stronger(now time.Time, a, b Record) bool {
	switch {
	case a.Chosen != b.Chosen:
		return a.Chosen
	case (a.Value.Ending == Open) != (b.Value.Ending == Open):
		return a.Value.Ending != Open
	case a.Value.Ending != Open:
		return b.Accepted.Less(a.Accepted)
	case a.Withdrawn != b.Withdrawn:
		return !a.Withdrawn
	}
	return a.ClaimedAt.Add(a.Lease).Sub(now) > b.ClaimedAt.Add(b.Lease).Sub(now)
}
