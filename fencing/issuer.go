package fencing

import "time"

// Lease is a voter's leader lease, as it is known at one time.
type Lease struct {
	Term int64
	End  time.Time
	// Held is false if this voter does not lead or the lease has ended.
	Held bool
}

// Config holds the times that the safety of orders rests on.
type Config struct {
	// LeaseTime is the longest leader lease.
	LeaseTime time.Duration
	// Deadline is the time from its receipt in which an engine may start an order.
	Deadline time.Duration
	// Margin is the least that must be left of the lease at sending; it covers transit and clock drift.
	Margin time.Duration
}

// Issuer gives the numbers of one voter's orders; it is not safe for concurrent use.
type Issuer struct {
	cfg  Config
	last Number
	// quiet is the time from which no order of an older leader can be started.
	quiet time.Time
}

// NewIssuer returns an issuer that has given no number.
func NewIssuer(cfg Config) *Issuer { return &Issuer{cfg: cfg} }

// Lead notes the lease; with a new term the wait for older leaders' orders begins.
func (x *Issuer) Lead(now time.Time, l Lease) {
	if !l.Held || l.Term <= x.last.Term {
		return
	}
	x.last = Number{Term: l.Term}
	x.quiet = now.Add(x.cfg.LeaseTime + x.cfg.Margin + x.cfg.Deadline)
}

// Issue returns the number of a new order to an engine that checks numbers or does not.
//
// It returns *NoLeaseError, or for an engine that does not check *WaitError.
func (x *Issuer) Issue(now time.Time, l Lease, checks bool) (Number, error) {
	x.Lead(now, l)
	n := Number{Term: x.last.Term, Sequence: x.last.Sequence + 1}
	if err := x.Check(now, l, n, checks); err != nil {
		return Number{}, err
	}
	x.last = n
	return n, nil
}

// Check returns why the order may not be sent now, or nil; it is to be called directly before each sending, with a fresh time and lease.
func (x *Issuer) Check(now time.Time, l Lease, n Number, checks bool) error {
	if left := l.End.Sub(now); !l.Held || left < x.cfg.Margin {
		return &NoLeaseError{Term: l.Term, Left: max(left, 0)}
	}
	if n.Term != l.Term {
		return &OldTermError{Number: n, Term: l.Term}
	}
	if left := x.quiet.Sub(now); !checks && left > 0 {
		return &WaitError{Left: left}
	}
	return nil
}
