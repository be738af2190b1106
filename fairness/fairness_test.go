package fairness

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestShares guards against a team that takes what others ask for, a starved team of low priority, and capacity that is left over.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		name    string
		demands []Demand
		total   float64
		want    map[string]float64
	}{
		{"enough for all", []Demand{{"a", 0, 30}, {"b", 1, 50}}, 100, map[string]float64{"a": 30, "b": 50}},
		{"one asks for ten times as much", []Demand{{"a", 0, 300}, {"b", 0, 30}, {"c", 0, 30}}, 120, map[string]float64{"a": 60, "b": 30, "c": 30}},
		{"a low priority keeps a quarter", []Demand{{"a", 0, 200}, {"b", 1, 200}}, 100, map[string]float64{"a": 87.5, "b": 12.5}},
	} {
		got := Shares(c.demands, c.total)
		for team, want := range c.want {
			if math.Abs(got[team]-want) > 1e-9 {
				t.Errorf("%s: %v, want %v", c.name, got, c.want)
			}
		}
	}
}

const hotTeams = 10

// hotTeam lets ten teams send more than the capacity through three gateways, the first of them a multiple of the others. It returns how many
// requests of each were asked for and served after the first 5 s.
func hotTeam(t *testing.T, multiple float64) (asked, served [hotTeams]float64) {
	const gateways, tokens, capacity = 3, 1000.0, 120.0
	rng := rand.New(rand.NewPCG(3, 3))
	var all []*Services
	for range gateways {
		all = append(all, NewServices())
	}
	free := 0.0
	for ms := range 35_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		free = min(free+capacity/1000, 10)
		for team := range hotTeams {
			rate := 14.0
			if team == 0 {
				rate *= multiple
			}
			if rng.Float64() >= rate/1000 {
				continue
			}
			s := all[rng.IntN(gateways)].Of("model")
			r := Request{Team: fmt.Sprint(team), Tokens: tokens}
			// Four of ten slots are kept free.
			o := s.Decide(now, r, Room{Short: free < 5, TimeLeft: 3 * time.Second, Draw: rng.Float64()})
			if free >= 5 && !o.Allow {
				t.Fatal("refused with free capacity")
			}
			admitted := o.Allow && (free >= 5 || o.UseHeadroom && free >= 1)
			s.Record(now, r, admitted)
			if admitted {
				free--
			}
			if ms > 5000 {
				asked[team]++
				if admitted {
					served[team]++
				}
			}
		}
		if ms%100 == 0 {
			for i, from := range all {
				for j, to := range all {
					if i != j {
						to.Update(now, fmt.Sprint(i), ms%1000 == 0, from.Report(now, true))
					}
				}
			}
		}
	}
	return asked, served
}

// TestHotTeam lets one of ten teams send ten times its usual load: it slows only itself, so that each of the others is served at least 0.9 as
// often as without it, no team is served less than a quarter as often as all, and nothing is refused with free capacity.
func TestHotTeam(t *testing.T) {
	usualAsked, usualServed := hotTeam(t, 1)
	asked, served := hotTeam(t, 10)
	sumAsked, sumServed := 0.0, 0.0
	for team := range hotTeams {
		sumAsked, sumServed = sumAsked+asked[team], sumServed+served[team]
	}
	for team := range hotTeams {
		share, usual := served[team]/asked[team], usualServed[team]/usualAsked[team]
		t.Logf("team %d: %.3f of %.0f, %.3f without a hot team", team, share, asked[team], usual)
		if team > 0 && share < sumServed/sumAsked/4 || team > 0 && share < 0.9*usual {
			t.Errorf("team %d is served %.3f, all %.3f, and %.3f without a hot team", team, share, sumServed/sumAsked, usual)
		}
	}
}

// TestRetryAfter lets the callers of a burst of 2.3 times the capacity return: no more of them come back in a tenth of a second than
// twice the mean, and none later than a third of its time left.
func TestRetryAfter(t *testing.T) {
	s, rng := New(), rand.New(rand.NewPCG(4, 4))
	const left = 12 * time.Second
	for i := range 2300 {
		s.Record(start.Add(time.Duration(i)*time.Millisecond), Request{Team: "a", Tokens: 1}, i%23 < 10)
	}
	now := start.Add(2300 * time.Millisecond)
	counts, n := map[int]int{}, 1000
	for range n {
		after := s.RetryAfter(now, Room{Excess: 200 * time.Millisecond, TimeLeft: left, Draw: rng.Float64()})
		if after > left/3 || after < minRetryAfter {
			t.Fatalf("Retry-After %v", after)
		}
		counts[int(after/(100*time.Millisecond))]++
	}
	for at, c := range counts {
		if last := int(left / 3 / (100 * time.Millisecond)); at < last && c > 2*n/40 {
			t.Errorf("%d of %d callers return after %d00 ms", c, n, at)
		}
	}
}

// TestReports guards against usage that is counted twice or for another service, stays after a gateway ends, or grows with the number
// of teams; against false figures; and against a gateway of the previous version that counts all services together.
func TestReports(t *testing.T) {
	a, b := NewServices(), NewServices()
	for i := range 100 {
		a.Of("model").Record(start, Request{Team: fmt.Sprint(i), Tokens: 10}, true)
		a.Of("plain").Record(start, Request{Team: fmt.Sprint(i), Tokens: 1}, false)
	}
	reported := a.Report(start, false)
	if len(reported) != maxReported || len(a.Report(start, false)) != 0 || a.Changed() {
		t.Fatalf("%d teams reported", len(reported))
	}
	sum := func(service string) (n float64) {
		for _, u := range b.Of(service).sums {
			n += u.Now(start).Asked
		}
		return n
	}
	for range 2 {
		if b.Update(start, "a", true, reported); math.Abs(sum("model")-1000) > 1e-6 || math.Abs(sum("plain")-100) > 1e-6 {
			t.Errorf("the sums are %v and %v", sum("model"), sum("plain"))
		}
	}
	wrong := []Reported{{"model", "0", math.NaN(), 0}, {"model", "0", -5, 0}, {"model", "0", math.Inf(1), 1}, {"", "0", 7, 7}}
	b.Update(start, "c", false, wrong)
	b.Update(start, "a", true, []Reported{{"model", "0", 10, 10}})
	if sum("plain") != 0 || sum("model") != 10 {
		t.Errorf("the sums are %v and %v after a report of one team", sum("model"), sum("plain"))
	}
	if b.Update(start, "a", true, nil); sum("model") != 0 || sum("plain") != 0 {
		t.Errorf("the sums are %v and %v after the gateway ended", sum("model"), sum("plain"))
	}
	late := start.Add(time.Minute)
	a.Report(late, true)
	if a.Update(late, "c", true, nil); len(a.states) != 0 {
		t.Errorf("%d services are kept without usage", len(a.states))
	}
}

// BenchmarkDecide measures a decision at 64 teams, with 1,000 requests waiting.
func BenchmarkDecide(b *testing.B) {
	s := New()
	for i := range 1000 {
		s.Record(start, Request{Team: fmt.Sprint(i % 64), Priority: i % 3, Tokens: 1000}, i%2 == 0)
	}
	r := Request{Team: "5", Tokens: 1000}
	now := start
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		s.Decide(now, r, Room{Short: true, TimeLeft: time.Second})
	}
}

// TestReturned guards against a second and final refusal of a caller whose team is near its share, and against a team that takes the
// shares of others by repeating at once.
func TestReturned(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		tokens   float64
		returned bool
		allow    bool
	}{{1.2, true, true}, {1.2, false, false}, {4, true, false}} {
		s := New()
		for _, r := range []struct {
			team     string
			tokens   float64
			admitted bool
		}{{"returning", c.tokens * 1000, true}, {"other", 1000, true}, {"short", 3000, false}, {"short", 200, true}} {
			s.Record(now, Request{Team: r.team, Tokens: r.tokens}, r.admitted)
		}
		order := s.Decide(now, Request{Team: "returning", Tokens: 1}, Room{Short: true, TimeLeft: time.Second, Returned: c.returned})
		if order.Allow != c.allow {
			t.Errorf("%v of the tokens of another team, returned %v: allowed %v", c.tokens, c.returned, order.Allow)
		}
	}
}

// TestShort guards against plain endpoints that count as short of capacity while requests wait in their queues and are on time, and
// against engines that do not count as short without a free slot.
func TestShort(t *testing.T) {
	const objective = time.Second
	for _, c := range []struct {
		engines, late, full bool
		wait                time.Duration
		want                bool
	}{
		{false, false, true, 500 * time.Millisecond, false}, {false, false, false, 501 * time.Millisecond, true},
		{true, false, false, 900 * time.Millisecond, false}, {true, false, true, 0, true}, {true, true, false, 0, true},
	} {
		if got := Short(c.engines, c.late, c.full, c.wait, objective); got != c.want {
			t.Errorf("%+v: short %v", c, got)
		}
	}
}
