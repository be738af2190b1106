package ledger

import (
	"strings"
	"time"
)

// Key identifies a call by its team and the idempotency key that the caller chose.
type Key struct {
	Team string
	Key  string
}

// Compare orders keys by team, then by idempotency key.
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
	// Open means that no ending of the call is known.
	Open Ending = iota
	// Completed means that the call ran and its outcome is recorded.
	Completed
	// SettledRan means that an operator found that the call ran; its outcome is not known.
	SettledRan
	// SettledNotRun means that an operator found that the call did not run.
	SettledNotRun
)

// Outcome is the answer to a completed call; Body is empty and Kept false where the answer may not be stored.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	Kept        bool
}

// Value is the ending of a call with its outcome, and the instance or operator that reported it.
type Value struct {
	Ending  Ending
	Outcome Outcome
	By      string
}

// Ballot orders the proposals of an ending; the zero ballot belongs to the attempt that claimed the key.
type Ballot struct {
	Number   int64
	Proposer string
}

// Less reports whether b is lower than other, by number and then by proposer.
func (b Ballot) Less(other Ballot) bool {
	if b.Number != other.Number {
		return b.Number < other.Number
	}
	return b.Proposer < other.Proposer
}

// Record is the state of one call at a replica; Digest identifies the content of its request.
type Record struct {
	Key     Key
	Digest  string
	Service string
	// Attempt is the unique id of the claim, or empty if any of several conflicting claims may have won; Owner is the
	// instance that made the claim.
	Attempt   string
	Owner     string
	ClaimedAt time.Time
	// Lease is how long the owner may run the call, counted from ClaimedAt.
	Lease     time.Duration
	Withdrawn bool
	Promised  Ballot
	Accepted  Ballot
	Value     Value
	// Chosen reports whether the value was agreed on; a chosen value never changes.
	Chosen bool
}

// InProgress reports whether the owner of the claim may still be running the call: it is open and its lease has not
// expired.
func (c Record) InProgress(now time.Time) bool {
	return !c.Withdrawn && c.Value.Ending == Open && now.Before(c.ClaimedAt.Add(c.Lease))
}

// Doubtful reports whether the call is in doubt: it may have run, and its lease expired without an ending.
func (c Record) Doubtful(now time.Time) bool {
	return !c.Withdrawn && c.Value.Ending == Open && !c.InProgress(now)
}

// mergeRecords combines two records of one key into the record that supersedes both.
func mergeRecords(now time.Time, a, b Record) Record {
	best, other := a, b
	if supersedes(now, b, a) {
		best, other = b, a
	}
	if best.Promised.Less(other.Promised) {
		best.Promised = other.Promised
	}
	conflicting := !best.Withdrawn && !other.Withdrawn && best.Value.Ending == Open && best.Attempt != other.Attempt
	if conflicting {
		// Either claim may have won, so the record must match neither attempt: a withdrawal of one claim must not hide
		// the other.
		best.Attempt = ""
	}
	return best
}

// supersedes reports whether a takes precedence over b. The order is a chosen value, an accepted value (the higher
// ballot first), an open claim (the later end of the lease first), a withdrawn claim.
func supersedes(now time.Time, a, b Record) bool {
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
