package ledger

// Settlement runs both phases of Paxos to agree on the ending of a call without its owner; it is not safe for
// concurrent use.
//
// It adopts an ending that a replica has already accepted; otherwise it proposes its own.
type Settlement struct {
	n         int
	group     string
	epoch     string
	call      Record
	ballot    Ballot
	accepting bool
	ended     bool
	chosen    bool
	refused   Refusal
	highest   Ballot
	tally     *Tally
}

// NewSettlement returns a settlement of the call under the ballot. An ending in the call must be one that
// the owner proposed or a replica accepted; if there is none, the settlement proposes the value that is passed to
// Handle.
func NewSettlement(n int, group, epoch string, call Record, ballot Ballot) *Settlement {
	return &Settlement{n: n, group: group, epoch: epoch, call: call, ballot: ballot, tally: NewTally(n)}
}

// Request returns the request of the current phase, to be sent to every replica; ok is false if the settlement has
// ended.
func (s *Settlement) Request() (m Request, ok bool) {
	m = Request{Op: OpPrepare, Group: s.group, Epoch: s.epoch, Call: s.call, Ballot: s.ballot}
	if s.accepting {
		m.Op = OpAccept
	}
	return m, !s.ended
}

// Accepting reports whether the settlement is in its second phase.
func (s *Settlement) Accepting() bool { return s.accepting }

// Ended reports whether the settlement is over, with or without an agreed ending.
func (s *Settlement) Ended() bool { return s.ended }

// Chosen returns the agreed ending; ok is false if no ending was agreed on.
func (s *Settlement) Chosen() (v Value, ok bool) { return s.call.Value, s.chosen }

// Refused returns the last refusal of a replica, or Accepted if there was none.
func (s *Settlement) Refused() Refusal { return s.refused }

// Handle processes a reply to the request of a phase; proposed is the value to propose if no replica has accepted one.
func (s *Settlement) Handle(accepting bool, r Reply, proposed Value) {
	if s.ended || accepting != s.accepting {
		return
	}
	if r.Found && r.Call.Chosen {
		s.call.Value = r.Call.Value
		s.ended, s.chosen = true, true
		return
	}
	if r.Refusal != Accepted {
		s.refused = r.Refusal
	}
	s.adopt(r)
	s.tally.Add(r)
	switch {
	case s.tally.Won() && s.accepting:
		s.ended, s.chosen = true, true
	case s.tally.Won():
		s.accepting = true
		s.tally = NewTally(s.n)
		if s.call.Value.Ending == Open {
			s.call.Value = proposed
		}
	case s.tally.Lost():
		s.ended = true
	}
}

// GiveUp ends the settlement without a majority.
func (s *Settlement) GiveUp() { s.ended = true }

// adopt keeps, in the first phase, the accepted ending with the highest ballot of those that the replicas report.
func (s *Settlement) adopt(r Reply) {
	if s.accepting || r.Refusal != Accepted || !r.Found || r.Call.Value.Ending == Open {
		return
	}
	if s.call.Value.Ending == Open || s.highest.Less(r.Call.Accepted) {
		s.call.Value = r.Call.Value
		s.highest = r.Call.Accepted
	}
}
