package ledger

// Phase is what an attempt waits for.
type Phase int

// Phases of an attempt.
const (
	// Claiming waits for the replies to the claim.
	Claiming Phase = iota
	// Sending may send its call to one endpoint, once.
	Sending
	// Withdrawing waits for the replies to the withdrawal of a claim that was not sent.
	Withdrawing
	// Completing waits for the replies to the ending.
	Completing
	// Expiring waits for the replies to the end of the lease of a call in doubt.
	Expiring
	// Ended attempts wait for nothing.
	Ended
)

// Attempt takes one call from its claim to its ending; it is not safe for concurrent use.
type Attempt struct {
	n      int
	group  string
	epoch  string
	call   Record
	phase  Phase
	tally  *Tally
	won    bool
	chosen bool
	seen   []Reply
}

// NewAttempt returns an attempt that claims the call under the caller's epoch on n replicas of the group.
func NewAttempt(n int, group, epoch string, call Record) *Attempt {
	return &Attempt{n: n, group: group, epoch: epoch, call: call, tally: NewTally(n)}
}

// Phase returns what the attempt waits for.
func (a *Attempt) Phase() Phase { return a.phase }

// Claimed reports whether the claim was won.
func (a *Attempt) Claimed() bool { return a.won }

// Chosen reports whether the ending was agreed.
func (a *Attempt) Chosen() bool { return a.chosen }

// Seen returns the replies to the claim.
func (a *Attempt) Seen() []Reply { return a.seen }

// Call returns the claim with its ending, if there is one.
func (a *Attempt) Call() Record { return a.call }

// Request returns the request of the phase, to be sent to each replica; ok is false if the phase has none.
func (a *Attempt) Request() (m Request, ok bool) {
	m = Request{Group: a.group, Epoch: a.epoch, Call: a.call}
	switch a.phase {
	case Claiming:
		m.Op = OpClaim
	case Withdrawing:
		m.Op = OpWithdraw
	case Completing:
		m.Op = OpAccept
	case Expiring:
		m.Op = OpExpire
	default:
		return m, false
	}
	return m, true
}

// Handle takes the reply of a replica to the request of a phase; replies to earlier phases are dropped.
//
// A lost claim waits for the replies that are missing, unless one has told an ending.
func (a *Attempt) Handle(phase Phase, r Reply) {
	if phase != a.phase {
		return
	}
	a.tally.Add(r)
	switch {
	case a.tally.Won():
		a.decide(true)
	case a.tally.Full(), a.tally.Lost() && (a.phase != Claiming || a.tally.Ended()):
		a.decide(false)
	}
}

// GiveUp ends the wait of the phase without a majority.
func (a *Attempt) GiveUp() { a.decide(false) }

func (a *Attempt) decide(won bool) {
	switch a.phase {
	case Claiming:
		a.won = won
		a.seen = a.tally.Replies()
		if won {
			a.next(Sending)
			return
		}
		a.next(Withdrawing)
	case Completing:
		a.chosen = won
		a.next(Ended)
	case Withdrawing, Expiring:
		a.next(Ended)
	default:
	}
}

func (a *Attempt) next(p Phase) {
	a.phase = p
	a.tally = NewTally(a.n)
}

// NotSent withdraws the claim of a call of which no byte was or will be sent.
func (a *Attempt) NotSent() {
	if a.phase == Sending {
		a.next(Withdrawing)
	}
}

// Answered proposes the ending of a call that was sent.
func (a *Attempt) Answered(v Value) {
	if a.phase == Sending {
		a.call.Value = v
		a.next(Completing)
	}
}

// InDoubt ends the lease of a call that was sent and has no answer.
func (a *Attempt) InDoubt() {
	if a.phase == Sending {
		a.next(Expiring)
	}
}
