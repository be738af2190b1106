package limits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const limit = 1000.0

var regions = []string{"lahore", "karachi", "peshawar"}

// message is an ask or a grant in transit.
type message struct {
	arrives time.Time
	to      int
	ask     *Ask
	grant   *Grant
}

// network connects instances by messages that are lost, delayed or duplicated. Messages between the regions that are
// cut off and the others are dropped.
type network struct {
	members []Member
	teams   []*Teams
	skew    []float64
	sent    []message
	cut     map[string]bool
	spent   float64
}

func newNetwork(perRegion int) *network {
	n := &network{cut: map[string]bool{}}
	for _, region := range regions {
		for i := range perRegion {
			m := Member{Instance: fmt.Sprintf("entry-%s-%d", region, i), Region: region}
			n.members = append(n.members, m)
			n.teams = append(n.teams, New(m))
			n.skew = append(n.skew, 1)
		}
	}
	return n
}

// local returns the time on an instance's clock.
func (n *network) local(i int, now time.Time) time.Time {
	return start.Add(time.Duration(float64(now.Sub(start)) * n.skew[i]))
}

func (n *network) observe(i int, now time.Time) {
	n.teams[i].Observe(n.local(i, now), []Limit{{Team: "club", HomeRegion: "lahore", TokensPerSecond: limit}}, regions, n.members)
}

func (n *network) index(instance string) int {
	for i, m := range n.members {
		if m.Instance == instance {
			return i
		}
	}
	return -1
}

// deliver delivers the messages that arrive by now.
func (n *network) deliver(now time.Time, delay func() []time.Duration) {
	waiting := n.sent
	n.sent = nil
	for _, e := range waiting {
		if e.arrives.After(now) {
			n.sent = append(n.sent, e)
			continue
		}
		if e.grant != nil {
			n.teams[e.to].AcceptGrant(n.local(e.to, now), *e.grant)
			continue
		}
		if g, ok := n.teams[e.to].Lend(n.local(e.to, now), *e.ask); ok {
			n.send(now, e.to, n.index(g.Borrower), nil, &g, delay)
		}
	}
}

func (n *network) send(now time.Time, from, to int, ask *Ask, grant *Grant, delay func() []time.Duration) {
	if n.cut[n.members[from].Region] != n.cut[n.members[to].Region] {
		return
	}
	for _, d := range delay() {
		n.sent = append(n.sent, message{arrives: now.Add(d), to: to, ask: ask, grant: grant})
	}
}

func (n *network) ask(i int, now time.Time, delay func() []time.Duration) {
	for _, a := range n.teams[i].Asks(n.local(i, now)) {
		n.send(now, i, n.index(a.Lender), &a, nil, delay)
	}
}

func (n *network) spend(i int, now time.Time, tokens int) bool {
	_, ok := n.teams[i].Spend(n.local(i, now), "club", tokens)
	if ok {
		n.spent += float64(tokens)
	}
	return ok
}

// TestNeverMoreThanLimit checks that the rates in use never sum to more than the limit, and that what is spent stays
// within the limit, the burst and one request of each instance, under loss, delay, duplication, isolated regions and
// clocks that differ by 2%.
func TestNeverMoreThanLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(1, 3).Draw(t, "perRegion"))
		for i := range n.skew {
			n.skew[i] = rapid.Float64Range(0.99, 1.01).Draw(t, "skew")
		}
		delay := func() []time.Duration {
			var list []time.Duration
			for range rapid.SampledFrom([]int{0, 1, 1, 1, 2}).Draw(t, "copies") {
				list = append(list, time.Duration(rapid.IntRange(0, 4000).Draw(t, "delay"))*time.Millisecond)
			}
			return list
		}
		now := start
		largest := 0
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "gap")) * time.Millisecond)
			n.deliver(now, delay)
			i := rapid.IntRange(0, len(n.teams)-1).Draw(t, "instance")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				region := rapid.SampledFrom(regions).Draw(t, "region")
				n.cut[region] = !n.cut[region]
			case 1, 2:
				n.observe(i, now)
				n.ask(i, now, delay)
			default:
				tokens := rapid.IntRange(1, 600).Draw(t, "tokens")
				for len(n.teams[i].accounts) > 0 && n.spend(i, now, tokens) {
					largest = max(largest, tokens)
				}
			}
			var sum float64
			for i, teams := range n.teams {
				sum += teams.Rate(n.local(i, now), "club")
			}
			if sum > limit*1.0001 {
				t.Fatalf("rates sum to %v of %v", sum, limit)
			}
			bound := limit*(now.Sub(start).Seconds()*1.01+burstTime.Seconds()) + float64(largest*len(n.teams))
			if n.spent > bound {
				t.Fatalf("%v tokens spent, more than %v", n.spent, bound)
			}
		}
	})
}

// TestDemandMovesShares checks that the whole limit serves the region that asks, and that an isolated region keeps its
// share and gets the rest back later.
func TestDemandMovesShares(t *testing.T) {
	n := newNetwork(2)
	fixedDelay := func() []time.Duration { return []time.Duration{10 * time.Millisecond} }
	now := start
	run := func(d time.Duration) float64 {
		before := n.spent
		began := now
		for now.Before(began.Add(d)) {
			now = now.Add(50 * time.Millisecond)
			n.deliver(now, fixedDelay)
			if now.Sub(start).Milliseconds()%500 == 0 {
				for i := range n.teams {
					n.observe(i, now)
					n.ask(i, now, fixedDelay)
				}
			}
			for i, m := range n.members {
				if m.Region == "lahore" && len(n.teams[i].accounts) > 0 {
					n.spend(i, now, 60)
				}
			}
		}
		return (n.spent - before) / now.Sub(began).Seconds()
	}
	run(15 * time.Second)
	if got := run(20 * time.Second); got < 0.85*limit || got > limit {
		t.Errorf("%v tokens a second are used of %v if one region asks", got, limit)
	}
	n.cut["lahore"] = true
	run(5 * time.Second)
	if got := run(20 * time.Second); got < 0.9*limit*homeShare || got > 1.05*limit*homeShare {
		t.Errorf("%v tokens a second are used of %v in the isolated home region", got, limit)
	}
	n.cut["lahore"] = false
	run(5 * time.Second)
	if got := run(20 * time.Second); got < 0.85*limit {
		t.Errorf("%v tokens a second are used of %v after the return", got, limit)
	}
}

// TestLeaseExpiresAtBorrowerFirst checks that a lease expires at the borrower first if the lender's clock runs 2%
// faster and the lender answers at once.
func TestLeaseExpiresAtBorrowerFirst(t *testing.T) {
	n := newNetwork(2)
	owner, _ := Owner("club", "lahore", n.members)
	lender := n.index(owner)
	borrower := 1 - lender
	n.skew[lender], n.skew[borrower] = 1.01, 0.99
	now := start
	n.observe(lender, now)
	n.observe(borrower, now)
	now = now.Add(2 * takeoverTime)
	n.teams[borrower].Spend(n.local(borrower, now), "club", 1_000_000)
	for _, a := range n.teams[borrower].Asks(n.local(borrower, now)) {
		if a.Lender == owner {
			g, _ := n.teams[lender].Lend(n.local(lender, now), a)
			n.teams[borrower].AcceptGrant(n.local(borrower, now), g)
		}
	}
	for ended := now.Add(2 * LeaseTime); now.Before(ended); now = now.Add(time.Millisecond) {
		sum := n.teams[lender].Rate(n.local(lender, now), "club") + n.teams[borrower].Rate(n.local(borrower, now), "club")
		if sum > limit*homeShare {
			t.Fatalf("a rate of %v is in use of %v", sum, limit*homeShare)
		}
	}
}

// TestBucket checks that a bucket spends at most its rate, its burst and one request.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &bucket{}
		rates := rapid.SliceOfN(rapid.Float64Range(0, 500), 2, 2).Draw(t, "rates")
		highest := max(rates[0], rates[1])
		now, spent, largest := start, 0.0, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond)
			b.setRate(now, rapid.SampledFrom(rates).Draw(t, "rate"))
			tokens := rapid.Float64Range(1, 2000).Draw(t, "tokens")
			if _, ok := b.spend(tokens); ok {
				spent += tokens
				largest = max(largest, tokens)
			}
			if bound := highest*(now.Sub(start)+burstTime).Seconds() + largest; spent > bound {
				t.Fatalf("%v tokens spent, more than %v", spent, bound)
			}
		}
	})
}

func TestRegionSharesSumToLimit(t *testing.T) {
	for _, home := range []string{"lahore", "unknown"} {
		var sum float64
		for _, region := range regions {
			sum += RegionShare(Limit{HomeRegion: home, TokensPerSecond: limit}, region, regions)
		}
		if sum < limit-1e-9 || sum > limit+1e-9 {
			t.Errorf("shares sum to %v with home %q", sum, home)
		}
	}
}
