package dispatch

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/routing"
	"arbutusreel/statetest"
)

// whereView is a static view with summaries of other regions.
type whereView struct {
	staticView
	summaries []membership.Summary
}

func (v whereView) Summaries() []membership.Summary { return v.summaries }

// busyDispatcher returns a dispatcher of two endpoints and one other region after a number of requests, with the time that it sees.
func busyDispatcher(seed uint64) (d *Dispatcher, now *time.Time) {
	c := inventory.Contents{
		Regions: []inventory.Region{{Name: "lahore"}, {Name: "karachi"}}, Models: []inventory.Model{{Name: "m0"}, {Name: "m1"}},
		Services: []inventory.Service{{Name: "menu-model", Models: []string{"m0", "m1"}}}, Links: []inventory.Link{{From: "lahore", To: "karachi", RoundTrip: 20 * time.Millisecond, BytesPerSecond: 1e8}},
		Classes: []inventory.Class{{Name: "p0", Patience: time.Minute}, {Name: "p1", Priority: 1, Patience: 2 * time.Second}, {Name: "late", Priority: 2, Patience: time.Hour, Deferrable: true}},
	}
	at := time.Now()
	clock := func() time.Time { return at }
	load := membership.Load{At: at, TokensPerSecond: 400, PrefillTokensPerSecond: 5000}
	view := whereView{staticView: staticView{inv: mustInventory(c)}, summaries: []membership.Summary{{Region: "karachi", Service: "menu-model", Models: []string{"m0"}, Endpoints: 2, Slots: 8, TokensPerSecond: 300, At: at}}}
	for i := range 4 {
		e := membership.Endpoint{Name: fmt.Sprint("e", i), Region: "lahore", Service: "menu-model", Models: []string{"m0"}, Slots: 3 + i, CacheTokens: 60_000, Load: load, Leaving: i == 2}
		if i == 3 {
			e.Models = []string{"m1"}
		}
		view.endpoints = append(view.endpoints, e)
	}
	self := Hop{Instance: "entry", Region: "lahore"}
	d = New(self, view, nil, nil, nil, routing.New(routing.Expected{}, at, rand.NewPCG(seed, 1)), clock, rand.NewPCG(seed, 2), zerolog.Nop())
	rng := rand.New(rand.NewPCG(seed, 3))
	for range rng.IntN(30) {
		at = at.Add(time.Duration(rng.IntN(30)) * time.Millisecond)
		if j, err := d.newJob(whereRequest(at, rng)); err == nil {
			_, _, _ = d.scheduler.tryPlace(j)
		}
	}
	return d, &at
}

func whereRequest(now time.Time, rng *rand.Rand) Request {
	class := []string{"p0", "p1", "late"}[rng.IntN(3)]
	patience := map[string]time.Duration{"p0": time.Minute, "p1": 2 * time.Second, "late": time.Hour}[class]
	return Request{
		Team: fmt.Sprint("team-", rng.IntN(2)), Class: class, Service: "menu-model", Model: fmt.Sprint("m", rng.IntN(2)), PromptTokens: 100 + rng.IntN(4000),
		MaxTokens: 100 + rng.IntN(1000), Prefixes: []uint64{rng.Uint64N(3)}, Deadline: now.Add(patience),
	}
}

// TestExplain guards against explanations that count, queue, log or send anything or change other state, and against ones that differ
// from what a request then gets.
func TestExplain(t *testing.T) {
	outside := func(path string, _ reflect.Value) bool {
		return strings.HasPrefix(path, ".view") || strings.HasPrefix(path, ".log") || strings.Contains(path, ".inventory") || strings.HasSuffix(path, ".blockedRound") || path == ".mu" || strings.HasSuffix(path, ".placed")
	}
	seen := map[string]int{}
	for seed := range uint64(300) {
		d, now := busyDispatcher(seed)
		r := whereRequest(*now, rand.New(rand.NewPCG(seed, 4)))
		s := d.scheduler
		s.mu.Lock()
		s.refresh(*now)
		s.mu.Unlock()
		// A new request adds its share of optional forwards before it is placed.
		s.optionalForwards = 0.5
		before := statetest.Dump(s, outside)
		x, err := d.Explain(r)
		if err != nil {
			t.Fatal(err)
		}
		if was, is, changed := statetest.FirstDifference(before, statetest.Dump(s, outside)); changed {
			t.Fatalf("seed %d: was %q, is %q", seed, was, is)
		}
		j, _ := d.newJob(r)
		p, w, err := s.tryPlace(j)
		refused := problem.From(err)
		action, where, reason := Refused, "", x.Reason
		switch {
		case w != nil:
			action = Queues
		case err != nil:
			reason = string(refused.Code)
		case p.region != "":
			action, where = SentAway, p.region
		default:
			action, where = Starts, p.endpoint.Name
		}
		seen[string(x.Action)+" "+x.Reason]++
		if x.Action != action || x.Reason != reason || err != nil && x.RetryAfter != refused.RetryAfter {
			t.Errorf("seed %d: explained %+v, got %s %q %v", seed, x, action, where, err)
		}
		if (action == Starts && x.Endpoint != where || action == SentAway && x.Region != where) && !tiedTerms(x) {
			t.Errorf("seed %d: explained %+v, got %s", seed, x, where)
		}
		if len(x.Regions) != 1 || len(x.Excluded)+len(x.Candidates) != 4 || x.Excluded["e2"] != reasonDraining {
			t.Errorf("seed %d: %+v", seed, x)
		}
	}
	t.Log(seen)
	for _, want := range []string{"started ", "queued capacity", "refused patienceExceeded", "sentAway " + forwardCannotBeMet} {
		if seen[want] == 0 {
			t.Errorf("no case of %q", want)
		}
	}
}

// tiedTerms reports whether two candidates score the same, so that the order of the draws chooses.
func tiedTerms(x Explanation) bool {
	return len(x.Candidates) > 1 && x.Candidates[0].Terms.Score == x.Candidates[1].Terms.Score
}
