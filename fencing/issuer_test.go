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

// leader is one voter, which may be frozen at any step.
type leader struct {
	issuer *fencing.Issuer
	lease  fencing.Lease
	// drift is the rate of the leader's clock against true time.
	drift float64
	// frozen leaders take no step, and send what they hold as soon as they wake.
	frozen bool
	// held is an order whose number was given and which is not sent yet.
	held *fencing.Number
}

// clock returns the leader's own reading at a true time.
func (l *leader) clock(at time.Time) time.Time {
	return start.Add(time.Duration(float64(at.Sub(start)) * l.drift))
}

// millis draws one of the durations.
func millis(t *rapid.T, what string, choices ...int) time.Duration {
	return time.Duration(rapid.SampledFrom(choices).Draw(t, what)) * time.Millisecond
}

// transit is an order on its way to the engine.
type transit struct {
	number   fencing.Number
	received time.Time
	started  time.Time
}

// cluster elects a new leader only when the old lease has ended in true time, as consensus does.
type cluster struct {
	t       *rapid.T
	now     time.Time
	leaders []*leader
	term    int64
	ends    time.Time
	orders  []transit
	gate    fencing.Gate
	applied fencing.Number
	checks  bool
}

func (c *cluster) elect() {
	if c.now.Before(c.ends) {
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

// renew extends the present leader's lease.
func (c *cluster) renew(l *leader) {
	if l.lease.Term != c.term || (c.now.After(c.ends) && !c.ends.IsZero() && l.lease.End.After(start)) {
		return
	}
	l.lease.End = l.clock(c.now).Add(cfg.LeaseTime - 50*time.Millisecond)
	c.ends = c.now.Add(cfg.LeaseTime)
}

// issue takes a number; the leader may be frozen before it sends.
func (c *cluster) issue(l *leader) {
	if n, err := l.issuer.Issue(l.clock(c.now), l.lease, c.checks); err == nil {
		l.held = &n
	}
}

// send checks again and sends within the same step.
func (c *cluster) send(l *leader) {
	if l.held == nil {
		return
	}
	n := *l.held
	l.held = nil
	if err := l.issuer.Check(l.clock(c.now), l.lease, n, c.checks); err != nil {
		return
	}
	received := c.now.Add(millis(c.t, "transit", 100, 50, 0))
	started := received.Add(millis(c.t, "start", 500, 0, 250, 700))
	c.orders = append(c.orders, transit{number: n, received: received, started: started})
}

// deliver lets the engine start what is due; it keeps the deadline in any case and checks numbers if it is such an engine.
func (c *cluster) deliver() {
	var left []transit
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

// act lets a leader take one step, or none if it is frozen.
func (c *cluster) act(l *leader) {
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

// TestNoOldOrderIsApplied freezes leaders at every step, wakes them after their successors acted, and checks both kinds of engines.
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
						c.act(l)
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
	quiet := start.Add(cfg.LeaseTime + cfg.Margin + cfg.Deadline)
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
		{"after the wait", quiet, fencing.Lease{Term: 2, End: quiet.Add(time.Second), Held: true}, fencing.Number{Term: 2}, false, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := fencing.NewIssuer(cfg)
			x.Lead(start, held)
			err := x.Check(test.now, test.lease, test.number, test.checks)
			if (test.want == nil) != (err == nil) || (test.want != nil && !errors.As(err, test.want)) {
				t.Errorf("Check returned %v", err)
			}
		})
	}
}
