package ledger

import "time"

// Key identifies a call: its caller and the caller's idempotency key.
type Key struct {
	Team string
	Key  string
}

// Phase is how far a call has come.
type Phase int

// Phases of a call.
const (
	// Claimed calls may have been sent.
	Claimed Phase = iota
	// Completed calls have their outcome.
	Completed
	// Doubtful calls were sent and their outcome is not known.
	Doubtful
)

// Outcome is the answer of a completed call.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call is one recorded call; Digest identifies the content of its request.
type Call struct {
	Key     Key
	Digest  string
	Phase   Phase
	Outcome Outcome
	At      time.Time
}

// Ledger holds the calls of one region; it is not safe for concurrent use.
type Ledger struct {
	calls map[Key]Call
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{calls: map[Key]Call{}} }

// Claim records a new call and reports true; a key seen before returns its call and false.
func (l *Ledger) Claim(now time.Time, k Key, digest string) (Call, bool) {
	if c, ok := l.calls[k]; ok {
		return c, false
	}
	c := Call{Key: k, Digest: digest, At: now}
	l.calls[k] = c
	return c, true
}

// Complete records the outcome of a claimed call.
func (l *Ledger) Complete(k Key, o Outcome) { l.end(k, Completed, o) }

// Doubt records that the outcome of a claimed call is not known.
func (l *Ledger) Doubt(k Key) { l.end(k, Doubtful, Outcome{}) }

// Withdraw forgets a claimed call that was not sent.
func (l *Ledger) Withdraw(k Key) {
	if l.calls[k].Phase == Claimed {
		delete(l.calls, k)
	}
}

func (l *Ledger) end(k Key, p Phase, o Outcome) {
	c, ok := l.calls[k]
	if !ok || c.Phase == Completed {
		return
	}
	c.Phase = p
	c.Outcome = o
	l.calls[k] = c
}
