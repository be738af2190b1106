package fencing_test

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"arbutusreel/fencing"
)

var (
	start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	cfg   = fencing.Config{LeaseTime: time.Second, Deadline: 500 * time.Millisecond, Margin: 200 * time.Millisecond}
)

// leader is a voter that may be frozen at any step.
type leader struct {
	issuer *fencing.Issuer
	lease  fencing.Lease
	// drift is the rate of the leader's clock relative to true time.
	drift float64
	// frozen leaders take no step, and send their unsent order as soon as they resume.
	frozen bool
	// unsent is an order whose number was issued and which is not sent yet.
	unsent *fencing.Number
}

// clock returns the reading of the leader's clock at a true time.
func (l *leader) clock(at time.Time) time.Time {
	return start.Add(time.Duration(float64(at.Sub(start)) * l.drift))
}

// millis draws one of the durations, given in milliseconds.
func millis(t *rapid.T, what string, choices ...int) time.Duration {
	return time.Duration(rapid.SampledFrom(choices).Draw(t, what)) * time.Millisecond
}

// sentOrder is an order that was sent and not yet started; started is when the engine would start it.
type sentOrder struct {
	number   fencing.Number
	received time.Time
	started  time.Time
}

// cluster elects a new leader only after the old lease has ended in true time, as consensus does.
type cluster struct {
	t        *rapid.T
	now      time.Time
	leaders  []*leader
	term     int64
	leaseEnd time.Time
	orders   []sentOrder
	gate     fencing.Gate
	applied  fencing.Number
	checks   bool
}

func (c *cluster) elect() {
	if c.now.Before(c.leaseEnd) {
		return
	}
	l := rapid.SampledFrom(c.leaders).Draw(c.t, "elected")
	if l.frozen {
		return
	}
	c.term++
	l.lease = fencing.Lease{Term: c.term, Held: true}
	c.renew(l)
}

// renew extends the lease of the current leader.
func (c *cluster) renew(l *leader) {
	if l.lease.Term != c.term || (c.now.After(c.leaseEnd) && !c.leaseEnd.IsZero() && l.lease.End.After(start)) {
		return
	}
	l.lease.End = l.clock(c.now).Add(cfg.LeaseTime - 50*time.Millisecond)
	c.leaseEnd = c.now.Add(cfg.LeaseTime)
}

// issue issues a number; the leader may be frozen before it sends the order.
func (c *cluster) issue(l *leader) {
	if n, err := l.issuer.Issue(l.clock(c.now), l.lease, c.checks); err == nil {
		l.unsent = &n
	}
}

// send checks the unsent order again and sends it within the same step.
func (c *cluster) send(l *leader) {
	if l.unsent == nil {
		return
	}
	n := *l.unsent
	l.unsent = nil
	if err := l.issuer.Check(l.clock(c.now), l.lease, n, c.checks); err != nil {
		return
	}
	received := c.now.Add(millis(c.t, "transit", 100, 50, 0))
	started := received.Add(millis(c.t, "start", 500, 0, 250, 700))
	c.orders = append(c.orders, sentOrder{number: n, received: received, started: started})
}

// deliver starts the orders that are due, unless their deadline has passed; start checks numbers if the engine does.
func (c *cluster) deliver() {
	var left []sentOrder
	for _, o := range c.orders {
		switch {
		case c.now.Before(o.started):
			left = append(left, o)
		case o.started.Sub(o.received) > cfg.Deadline:
		default:
			c.start(o.number)
		}
	}
	c.orders = left
}

func (c *cluster) start(n fencing.Number) {
	if c.checks {
		var ok bool
		if c.gate, ok = c.gate.Accept(n); !ok {
			return
		}
	}
	if n.Term < c.applied.Term {
		c.t.Fatalf("an order of term %d was applied after one of term %d", n.Term, c.applied.Term)
	}
	c.applied = n
}

// step makes a leader take one random step, or none if it is frozen.
func (c *cluster) step(l *leader) {
	step := rapid.SampledFrom([]string{"order", "order", "order", "order", "renew", "freeze"}).Draw(c.t, "step")
	if l.frozen {
		l.frozen = rapid.IntRange(0, 15).Draw(c.t, "asleep") < 14
		step = "order"
	}
	if l.frozen {
		return
	}
	switch step {
	case "freeze":
		l.frozen = true
	case "renew":
		c.renew(l)
	case "order":
		c.send(l)
		c.issue(l)
	}
}

// TestNoOldOrderIsApplied checks that no engine applies an order of an old term after one of a newer term, when
// leaders are frozen at any step and resume after their successors have sent orders. It covers both kinds of engines.
func TestNoOldOrderIsApplied(t *testing.T) {
	tests := []struct {
		name   string
		checks bool
	}{{"engine checks numbers", true}, {"engine ignores numbers", false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				c := &cluster{t: t, now: start, checks: test.checks}
				for range 3 {
					c.leaders = append(c.leaders, &leader{issuer: fencing.NewIssuer(cfg), drift: rapid.Float64Range(0.99, 1.01).Draw(t, "drift")})
				}
				for range 200 {
					c.now = c.now.Add(millis(t, "pass", 100, 60, 20, 1))
					c.deliver()
					c.elect()
					for _, l := range c.leaders {
						c.step(l)
					}
				}
			})
		})
	}
}

func TestNumbersRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := fencing.NewIssuer(cfg)
		var last fencing.Number
		now, term := start, int64(1)
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond)
			term += int64(rapid.IntRange(0, 1).Draw(t, "term"))
			n, err := x.Issue(now, fencing.Lease{Term: term, End: now.Add(time.Second), Held: true}, rapid.Bool().Draw(t, "checks"))
			if err != nil {
				continue
			}
			if !n.Above(last) {
				t.Fatalf("number %+v came after %+v", n, last)
			}
			last = n
		}
	})
}

func TestRefusals(t *testing.T) {
	held := fencing.Lease{Term: 2, End: start.Add(time.Second), Held: true}
	afterWait := start.Add(cfg.LeaseTime + cfg.Margin + cfg.Deadline)
	tests := []struct {
		name   string
		now    time.Time
		lease  fencing.Lease
		number fencing.Number
		checks bool
		want   any
	}{
		{"lease not held", start, fencing.Lease{Term: 2, End: held.End}, fencing.Number{Term: 2}, true, new(*fencing.NoLeaseError)},
		{"lease ends within the margin", start.Add(900 * time.Millisecond), held, fencing.Number{Term: 2}, true, new(*fencing.NoLeaseError)},
		{"number of an older term", start, held, fencing.Number{Term: 1}, true, new(*fencing.OldTermError)},
		{"older orders may run at an engine that does not check", start, held, fencing.Number{Term: 2}, false, new(*fencing.WaitError)},
		{"older orders may run at an engine that checks", start, held, fencing.Number{Term: 2}, true, nil},
		{"after the wait", afterWait, fencing.Lease{Term: 2, End: afterWait.Add(time.Second), Held: true}, fencing.Number{Term: 2}, false, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := fencing.NewIssuer(cfg)
			x.ObserveLease(start, held)
			err := x.Check(test.now, test.lease, test.number, test.checks)
			if (test.want == nil) != (err == nil) || (test.want != nil && !errors.As(err, test.want)) {
				t.Errorf("Check returned %v", err)
			}
		})
	}
}
