package ledger

// Phase is the phase of an attempt.
type Phase int

// Phases of an attempt.
const (
	// Claiming means that the attempt waits for the replies to its claim.
	Claiming Phase = iota
	// Sending means that the claim was won and the call may be sent to one endpoint, once.
	Sending
	// Withdrawing means that the attempt waits for the replies to the withdrawal of a claim whose call was not sent.
	Withdrawing
	// Completing means that the attempt waits for the replies to its proposal of the ending.
	Completing
	// Expiring means that the attempt waits for the replies to the request to end the lease of a call in doubt.
	Expiring
	// Ended means that the attempt is over.
	Ended
)

// Attempt is the state machine of one call from its claim to its ending; it is not safe for concurrent use.
type Attempt struct {
	n            int
	group        string
	epoch        string
	call         Record
	phase        Phase
	tally        *Tally
	claimed      bool
	chosen       bool
	claimReplies []Reply
}

// NewAttempt returns an attempt to claim the call, under the epoch of the caller's token, on the n replicas of the
// group.
func NewAttempt(n int, group, epoch string, call Record) *Attempt {
	return &Attempt{n: n, group: group, epoch: epoch, call: call, tally: NewTally(n)}
}

// Phase returns the current phase.
func (a *Attempt) Phase() Phase { return a.phase }

// Claimed reports whether the claim was won.
func (a *Attempt) Claimed() bool { return a.claimed }

// Chosen reports whether the ending was agreed on.
func (a *Attempt) Chosen() bool { return a.chosen }

// ClaimReplies returns the replies to the claim.
func (a *Attempt) ClaimReplies() []Reply { return a.claimReplies }

// Call returns the record of the claim, with its ending if there is one.
func (a *Attempt) Call() Record { return a.call }

// Request returns the request of the current phase, to be sent to every replica; ok is false if the phase has none.
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

// Handle processes the reply of a replica to the request of a phase; replies to earlier phases are ignored.
//
// After a lost claim the attempt still waits for the missing replies, unless a reply already holds an ending of the
// call.
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

// GiveUp ends the current phase without a majority.
func (a *Attempt) GiveUp() { a.decide(false) }

func (a *Attempt) decide(won bool) {
	switch a.phase {
	case Claiming:
		a.claimed = won
		a.claimReplies = a.tally.Replies()
		if won {
			a.enterPhase(Sending)
			return
		}
		a.enterPhase(Withdrawing)
	case Completing:
		a.chosen = won
		a.enterPhase(Ended)
	case Withdrawing, Expiring:
		a.enterPhase(Ended)
	default:
	}
}

func (a *Attempt) enterPhase(p Phase) {
	a.phase = p
	a.tally = NewTally(a.n)
}

// NotSent starts the withdrawal of a claim; no byte of its call was sent, and none will be.
func (a *Attempt) NotSent() {
	if a.phase == Sending {
		a.enterPhase(Withdrawing)
	}
}

// Answered starts the proposal of the ending of a call that was answered.
func (a *Attempt) Answered(v Value) {
	if a.phase == Sending {
		a.call.Value = v
		a.enterPhase(Completing)
	}
}

// InDoubt starts the expiry of the lease of a call that was sent and got no answer.
func (a *Attempt) InDoubt() {
	if a.phase == Sending {
		a.enterPhase(Expiring)
	}
}
