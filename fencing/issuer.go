package fencing

import "time"

// Lease is the state of a voter's leader lease at one time.
type Lease struct {
	Term int64
	End  time.Time
	// Held is false if this voter does not lead or the lease has ended.
	Held bool
}

// Config holds the times on which the safety of orders depends.
type Config struct {
	// LeaseTime is the longest duration of a leader lease.
	LeaseTime time.Duration
	// Deadline is the time after the receipt of an order within which an engine may start it.
	Deadline time.Duration
	// Margin is the least remaining time of the lease at sending; it covers transit and clock drift.
	Margin time.Duration
}

// Issuer issues the numbers of one voter's orders; it is not safe for concurrent use.
type Issuer struct {
	cfg  Config
	last Number
	// oldOrdersEnd is the time from which no order of a former leader can be started.
	oldOrdersEnd time.Time
}

// NewIssuer returns an issuer that has issued no number.
func NewIssuer(cfg Config) *Issuer { return &Issuer{cfg: cfg} }

// ObserveLease records the lease; a new term starts the wait for orders of former leaders.
func (x *Issuer) ObserveLease(now time.Time, l Lease) {
	if !l.Held || l.Term <= x.last.Term {
		return
	}
	x.last = Number{Term: l.Term}
	x.oldOrdersEnd = now.Add(x.cfg.LeaseTime + x.cfg.Margin + x.cfg.Deadline)
}

// Issue returns the number of a new order to an engine; checks says whether the engine checks numbers.
//
// It returns the errors of Check.
func (x *Issuer) Issue(now time.Time, l Lease, checks bool) (Number, error) {
	x.ObserveLease(now, l)
	n := Number{Term: x.last.Term, Sequence: x.last.Sequence + 1}
	if err := x.Check(now, l, n, checks); err != nil {
		return Number{}, err
	}
	x.last = n
	return n, nil
}

// Check returns nil if the order may be sent now, else *NoLeaseError, *OldTermError or, for an engine that does not
// check numbers, *WaitError. It must be called directly before each sending, with the current time and lease.
func (x *Issuer) Check(now time.Time, l Lease, n Number, checks bool) error {
	if left := l.End.Sub(now); !l.Held || left < x.cfg.Margin {
		return &NoLeaseError{Term: l.Term, Left: max(left, 0)}
	}
	if n.Term != l.Term {
		return &OldTermError{Number: n, Term: l.Term}
	}
	if left := x.oldOrdersEnd.Sub(now); !checks && left > 0 {
		return &WaitError{Left: left}
	}
	return nil
}
