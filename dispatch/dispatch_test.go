package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/residency"
	"arbutusreel/routing"
	"arbutusreel/stream"
)

var regionNames = []string{"lahore", "karachi", "peshawar"}

func contents() inventory.Contents {
	c := inventory.Contents{
		Models: []inventory.Model{{Name: "dastarkhwan-menu"}},
		Services: []inventory.Service{
			{Name: "menu-model", Models: []string{"dastarkhwan-menu"}},
			{Name: "club-desk", Kind: inventory.KindPlain},
		},
		Classes: []inventory.Class{
			{Name: "dish", Priority: 1, Patience: 15 * time.Second},
			{Name: "plan", Priority: 2, Patience: 60 * time.Second},
			{Name: "notice", Priority: 3, Patience: time.Hour, Deferrable: true},
		},
		Rules: inventory.Rules{Objective: inventory.Objective{Cost: 1, Latency: 0.2, Away: 0.3}, RetryBudget: 0.1, ReservationQuantile: 0.9, Headroom: 0.1},
	}
	for i, name := range regionNames {
		c.Regions = append(c.Regions, inventory.Region{Name: name, CostPerThousandTokens: 0.02})
		for _, other := range regionNames[i+1:] {
			c.Links = append(c.Links, inventory.Link{From: name, To: other, BytesPerSecond: 250_000_000, RoundTrip: 80 * time.Millisecond, CostPerGigabyte: 0.05})
		}
	}
	return c
}

func mustInventory(c inventory.Contents) *inventory.Inventory {
	inv, err := inventory.New(c)
	if err != nil {
		panic(err)
	}
	return inv
}

func expected(source rand.Source) Chooser { return routing.New(routing.Expected{}, time.Now(), source) }

// fleet returns n engines in each region.
func fleet(n, slots, cacheTokens int) map[string][]*fakeEngine {
	engines := map[string][]*fakeEngine{}
	for _, region := range regionNames {
		for i := range n {
			engines[region] = append(engines[region], newFakeEngine(fmt.Sprintf("engine-%s-%d", region, i), region, slots, cacheTokens))
		}
	}
	return engines
}

func request(id string, tokens int, class string, patience time.Duration) Request {
	return Request{
		CorrelationID: id, Team: "lahore-club", Class: class, Service: "menu-model", Model: "dastarkhwan-menu",
		Body: []byte(strconv.Itoa(tokens)), PromptTokens: 64, MaxTokens: 512, Deadline: time.Now().Add(patience),
	}
}

// run sends a request and returns what its caller received.
func run(d *Dispatcher, r Request) (*collector, error) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	c := &collector{}
	_, err := d.Generate(ctx, r, c)
	return c, err
}

// TestResume cuts streams of random engines at random positions: the caller receives every piece once.
func TestResume(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		failAt := rapid.SliceOfN(rapid.IntRange(0, 30), 3, 3).Draw(rt, "failAt")
		frozen := rapid.IntRange(-1, 2).Draw(rt, "frozen")
		tokens := rapid.IntRange(1, 40).Draw(rt, "tokens")
		ignoring := rapid.IntRange(-1, 2).Draw(rt, "ignoring")
		var failure string
		synctest.Test(t, func(*testing.T) {
			engines := fleet(3, 8, 0)
			for i, g := range engines["lahore"] {
				g.failAt, g.frozen, g.ignoresResume = failAt[i], i == frozen, i == ignoring
			}
			w := newWorld(mustInventory(contents()), 1, engines, 1, expected)
			r := request("r", tokens, "plan", time.Minute)
			c, err := run(w.entry("lahore"), r)
			generated, wrong := 0, 0
			for _, list := range engines {
				for _, g := range list {
					generated, wrong = generated+g.generated, wrong+g.wrongResumes
				}
			}
			switch {
			case err != nil:
				failure = err.Error()
			case c.text.String() != wholeText(r):
				failure = "received " + c.text.String()
			case wrong > 0 || ignoring < 0 && generated != tokens:
				failure = fmt.Sprintf("%d wrong resumes, %d pieces generated of %d", wrong, generated, tokens)
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// TestAttemptsKeepBudget fails most first attempts: retries are a share of first tries and the reserve.
func TestAttemptsKeepBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := contents()
		c.Services[0].AllowedRegions = []string{"lahore"}
		engines := fleet(8, 8, 0)
		for _, g := range engines["lahore"] {
			g.fails = func(r Request) bool {
				return len(r.CorrelationID)%2 == 0 || r.CorrelationID[len(r.CorrelationID)-1]%2 == 0
			}
		}
		w := newWorld(mustInventory(c), 1, engines, 1, expected)
		const n = 200
		for i := range n {
			_, _ = run(w.entry("lahore"), request(fmt.Sprint(i), 5, "plan", time.Minute))
			time.Sleep(100 * time.Millisecond)
		}
		attempts := 0
		for _, g := range engines["lahore"] {
			attempts += g.requests
		}
		if attempts > n+n/10+3 {
			t.Errorf("%d attempts of %d requests", attempts, n)
		}
		t.Logf("%d attempts of %d requests", attempts, n)
	})
}

// TestRefusedConnections sends requests while most endpoints refuse connections but are still known: all are answered.
func TestRefusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := fleet(10, 8, 0)
		for _, g := range engines["lahore"][1:] {
			g.dead = true
		}
		w := newWorld(mustInventory(contents()), 1, engines, 3, expected)
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() {
				if _, err := run(w.entry("lahore"), request(fmt.Sprint(i), 5, "plan", time.Minute)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	})
}

// TestCancelReleases checks that a caller who leaves at any time gives everything back at once.
func TestCancelReleases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leave := time.Duration(rapid.IntRange(1, 3000).Draw(rt, "leaveMillis")) * time.Millisecond
		n := rapid.IntRange(1, 30).Draw(rt, "requests")
		var failure string
		synctest.Test(t, func(*testing.T) {
			w := newWorld(mustInventory(contents()), 1, fleet(1, 2, 2000), 1, expected)
			d := w.entry("lahore")
			ctx, cancel := context.WithCancel(context.Background())
			for i := range n {
				go func() { _, _ = d.Generate(ctx, request(fmt.Sprint(i), 200, "plan", time.Minute), &collector{}) }()
			}
			time.Sleep(leave)
			cancel()
			synctest.Wait()
			if c := d.Counts(); c.Waiting != 0 {
				failure = fmt.Sprintf("%d requests wait", c.Waiting)
			}
			decision, ok := d.scheduler.chooser.Choose(time.Now(), &routing.Query{Service: "menu-model", Model: "dastarkhwan-menu", ReserveTokens: 2000})
			if !ok || decision.Candidate.Own() != 0 || !decision.Room {
				failure = fmt.Sprintf("own %d, room %v after all callers left", decision.Candidate.Own(), decision.Room)
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// TestRefusesAtOnce checks that what cannot be met is refused without a wait and was not run.
func TestRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := contents()
		c.Services[0].AllowedRegions = []string{"lahore"}
		engines := fleet(1, 2, 0)
		w := newWorld(mustInventory(c), 1, engines, 1, expected)
		d := w.entry("lahore")
		for i := range 30 {
			if _, err := run(d, request(fmt.Sprint("learn", i), 500, "plan", time.Minute)); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 40 {
			go func() { _, _ = run(d, request(fmt.Sprint(i), 500, "plan", time.Minute)) }()
		}
		time.Sleep(time.Millisecond)
		before := time.Now()
		_, err := run(d, request("late", 500, "dish", 15*time.Second))
		var p *problem.Problem
		if !errors.As(err, &p) || p.Outcome != problem.NotRun || p.RetryAfter <= 0 || !time.Now().Equal(before) {
			t.Errorf("refused after %v with %v", time.Since(before), err)
		}
		time.Sleep(2 * time.Minute)
	})
}

// TestStartWaitsForEndpoints sends a request to an instance that hears of its endpoints half a second later.
func TestStartWaitsForEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(mustInventory(contents()), 1, fleet(1, 8, 0), 1, expected)
		w.mu.Lock()
		for _, r := range w.regions {
			r.reported = nil
		}
		w.mu.Unlock()
		go func() {
			time.Sleep(500 * time.Millisecond)
			w.publish()
		}()
		if _, err := run(w.entry("lahore"), request("r", 5, "plan", time.Minute)); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
	})
}

// TestRestartInTurnIsWaitedFor checks that a request waits while the only endpoint that was known has gone and the next
// one is not known yet, and is refused at once when none has been known for longer.
func TestRestartInTurnIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(mustInventory(contents()), 1, fleet(1, 8, 0), 1, expected)
		d := w.entry("lahore")
		time.Sleep(2 * learningTime)
		if _, err := run(d, request("first", 5, "plan", time.Minute)); err != nil {
			t.Fatal(err)
		}
		w.mu.Lock()
		for _, r := range w.regions {
			r.reported = nil
		}
		w.mu.Unlock()
		time.Sleep(2 * refreshPeriod)
		go func() {
			time.Sleep(500 * time.Millisecond)
			w.publish()
		}()
		forwarded := request("forwarded", 5, "plan", time.Minute).WithHop(Hop{Instance: "karachi-0", Region: "karachi"})
		var wg sync.WaitGroup
		for _, r := range []Request{request("between", 5, "plan", time.Minute), forwarded} {
			wg.Go(func() {
				if _, err := run(d, r); err != nil {
					t.Errorf("request %s between two endpoints: %v", r.CorrelationID, err)
				}
			})
		}
		wg.Wait()
		time.Sleep(time.Second)
		w.mu.Lock()
		for _, r := range w.regions {
			r.reported = nil
		}
		w.mu.Unlock()
		time.Sleep(2 * learningTime)
		began := time.Now()
		_, err := run(d, request("late", 5, "plan", time.Minute))
		if problem.From(err).Code != problem.NoCapacity || time.Since(began) > 0 {
			t.Errorf("a request long after the last endpoint: %v after %v", err, time.Since(began))
		}
	})
}

// TestWaitForNewsLeavesPatience checks that a request that waits for endpoints is refused while half of its patience is left.
func TestWaitForNewsLeavesPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(mustInventory(contents()), 1, fleet(1, 8, 0), 1, expected)
		w.mu.Lock()
		for _, r := range w.regions {
			r.reported = nil
		}
		w.mu.Unlock()
		plan, _ := w.inventory.Class("plan")
		patience := plan.Patience
		r := request("r", 5, "plan", patience)
		r.Deadline = time.Now().Add(patience/2 + 2*waitPeriod)
		_, err := run(w.entry("lahore"), r)
		if left := time.Until(r.Deadline); problem.From(err).Code != problem.NoCapacity || left < patience/2-2*waitPeriod {
			t.Errorf("refused as %v with %v of %v left", err, left, patience)
		}
	})
}

// TestLeaving checks that a leaving endpoint receives nothing once this is known.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := fleet(2, 8, 0)
		w := newWorld(mustInventory(contents()), 1, engines, 1, expected)
		gone := engines["lahore"][0]
		gone.endpoint.Leaving = true
		w.publish()
		time.Sleep(2 * refreshPeriod)
		for i := range 20 {
			if _, err := run(w.entry("lahore"), request(fmt.Sprint(i), 2, "plan", time.Minute)); err != nil {
				t.Fatal(err)
			}
		}
		if gone.requests != 0 {
			t.Errorf("the leaving endpoint received %d requests", gone.requests)
		}
	})
}

type certainlyNotSent struct{}

func (certainlyNotSent) Error() string { return "not sent" }
func (certainlyNotSent) NotRun() bool  { return true }

// scriptedPlain answers calls with the failures of a script.
type scriptedPlain struct {
	script []error
	calls  int
}

func (s *scriptedPlain) Call(context.Context, membership.Endpoint, Request) (Reply, error) {
	s.calls++
	if s.calls <= len(s.script) && s.script[s.calls-1] != nil {
		return Reply{}, s.script[s.calls-1]
	}
	return Reply{Status: http.StatusOK}, nil
}

type staticView struct {
	inv       *inventory.Inventory
	endpoints []membership.Endpoint
	summaries []membership.Summary
}

func (v staticView) Inventory() (*inventory.Inventory, int64) { return v.inv, 1 }
func (v staticView) Endpoints() []membership.Endpoint         { return v.endpoints }
func (v staticView) Summaries() []membership.Summary          { return v.summaries }

// TestCallRepeatsOnlyWhatDidNotRun checks the attempts of a call that may not be repeated.
func TestCallRepeatsOnlyWhatDidNotRun(t *testing.T) {
	notSent, doubt := error(certainlyNotSent{}), context.DeadlineExceeded
	tests := []struct {
		name   string
		script []error
		calls  int
		err    error
	}{
		{"answered", nil, 1, nil},
		{"not sent, then answered", []error{notSent}, 2, nil},
		{"doubtful", []error{doubt}, 1, doubt},
		{"not sent, then doubtful", []error{notSent, doubt}, 2, doubt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				plain := &scriptedPlain{script: tt.script}
				view := staticView{inv: mustInventory(contents())}
				for i := range 3 {
					view.endpoints = append(view.endpoints, membership.Endpoint{Name: fmt.Sprint("desk-", i), Region: "lahore", Service: "club-desk", Slots: 4})
				}
				d := New(Hop{Instance: "entry", Region: "lahore"}, view, nil, plain, nil, expected(rand.NewPCG(1, 1)), time.Now, rand.NewPCG(1, 2), zerolog.Nop())
				_, err := d.Call(t.Context(), Request{Service: "club-desk", Class: "dish", Deadline: time.Now().Add(10 * time.Second)})
				if !errors.Is(err, tt.err) || plain.calls != tt.calls {
					t.Errorf("%d calls, error %v", plain.calls, err)
				}
			})
		})
	}
}

// visits records where a request has been.
type visits struct {
	crossings int
	// second counts the forwards of a request that had crossed before.
	second int
	ran    []string
}

// staleForwarder sends a request to the dispatcher of any instance of the region.
type staleForwarder struct {
	from  Hop
	all   map[string][]*Dispatcher
	visit *visits
	rng   *rand.Rand
}

func (f *staleForwarder) ForwardModel(ctx context.Context, region string, r Request, sink stream.Sink) (stream.End, error) {
	f.visit.crossings++
	if crossings(r.Via, region) > 1 {
		f.visit.second++
	}
	list := f.all[region]
	return list[f.rng.IntN(len(list))].Generate(ctx, r, sink)
}

func (f *staleForwarder) ForwardCall(context.Context, string, Request) (Reply, error) {
	return Reply{}, nil
}

type refusingModels struct {
	self  Hop
	visit *visits
}

func (m refusingModels) Generate(context.Context, membership.Endpoint, Request, Attempt, stream.Sink) (stream.End, error) {
	m.visit.ran = append(m.visit.ran, m.self.Region)
	return stream.End{}, problem.New(problem.NoCapacity, http.StatusServiceUnavailable, "full")
}

// instanceView is what a random instance believes.
type instanceView struct {
	engine   bool
	believes []bool
}

// regionView is a random region's residency rule and instances.
type regionView struct {
	allowed   []string
	instances []instanceView
}

func newTopology(rt *rapid.T) map[string]regionView {
	views := map[string]regionView{}
	for _, region := range regionNames {
		others := rapid.SliceOfDistinct(rapid.SampledFrom(regionNames), func(s string) string { return s }).Draw(rt, "allowed")
		v := regionView{allowed: append(others, region)}
		for range rapid.IntRange(1, 3).Draw(rt, "instances") {
			v.instances = append(v.instances, instanceView{
				engine:   rapid.Bool().Draw(rt, "engine"),
				believes: rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(rt, "believes"),
			})
		}
		views[region] = v
	}
	return views
}

// TestStaleViewsForwardOnce sends a request into random topologies whose instances have stale and contradictory views and
// inventories: it ends, each forward crosses to another region once, and it runs in allowed regions only.
func TestStaleViewsForwardOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := newTopology(rt)
		var failure string
		synctest.Test(t, func(*testing.T) {
			visit := &visits{}
			all := map[string][]*Dispatcher{}
			inventories := map[string]*inventory.Inventory{}
			for _, region := range regionNames {
				c := contents()
				c.Labels = []inventory.Label{{Name: "diet", AllowedRegions: draw[region].allowed}}
				inventories[region] = mustInventory(c)
				for i, known := range draw[region].instances {
					self := Hop{Instance: fmt.Sprintf("entry-%s-%d", region, i), Region: region}
					view := staticView{inv: inventories[region]}
					if known.engine {
						view.endpoints = []membership.Endpoint{newFakeEngine("engine-"+region, region, 8, 0).endpoint}
					}
					for n, other := range regionNames {
						if known.believes[n] {
							view.summaries = append(view.summaries, membership.Summary{Region: other, Service: "menu-model", Models: []string{"dastarkhwan-menu"}, Endpoints: 1, Slots: 8, At: time.Now()})
						}
					}
					forward := &staleForwarder{from: self, all: all, visit: visit, rng: rand.New(rand.NewPCG(1, 1))}
					d := New(self, view, refusingModels{self: self, visit: visit}, nil, forward, expected(rand.NewPCG(1, 1)), time.Now, rand.NewPCG(1, 2), zerolog.Nop())
					all[region] = append(all[region], d)
				}
			}
			r := request("r", 5, "plan", time.Minute)
			r.Labels = []string{"diet"}
			if _, err := run(all["lahore"][0], r); err == nil {
				failure = "the request was answered"
			}
			// The first instance makes at most four attempts, and none of the others sends the request on.
			if visit.crossings > 4 || visit.second > 0 {
				failure = fmt.Sprintf("the request was forwarded %d times, %d times after it had crossed", visit.crossings, visit.second)
			}
			for _, region := range visit.ran {
				if !residency.Allows(inventories[region], r.Subject(), region) || !residency.Allows(inventories["lahore"], r.Subject(), region) {
					failure = fmt.Sprintf("the request ran in region %q", region)
				}
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// TestReceiverChecks sends requests as a faulty peer could: the receiver refuses each with its own checks.
func TestReceiverChecks(t *testing.T) {
	c := contents()
	c.Labels = []inventory.Label{{Name: "diet", AllowedRegions: []string{"karachi"}}}
	tests := []struct {
		name   string
		via    []Hop
		labels []string
		want   problem.Code
	}{
		{"passed before", []Hop{{Instance: "entry", Region: "lahore"}}, nil, problem.LoopRefused},
		{"crossed twice", []Hop{{Instance: "a", Region: "karachi"}, {Instance: "b", Region: "peshawar"}}, nil, problem.LoopRefused},
		{"came back", []Hop{{Instance: "a", Region: "lahore"}, {Instance: "b", Region: "karachi"}}, nil, problem.LoopRefused},
		{"not allowed here", []Hop{{Instance: "a", Region: "karachi"}}, []string{"diet"}, problem.ResidencyRefused},
		{"label unknown here", []Hop{{Instance: "a", Region: "karachi"}}, []string{"unknown"}, problem.ResidencyRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view := staticView{inv: mustInventory(c)}
			d := New(Hop{Instance: "entry", Region: "lahore"}, view, nil, nil, nil, expected(rand.NewPCG(1, 1)), time.Now, rand.NewPCG(1, 2), zerolog.Nop())
			r := request("r", 5, "plan", time.Minute)
			r.Via, r.Labels = tt.via, tt.labels
			_, err := run(d, r)
			var p *problem.Problem
			if !errors.As(err, &p) || p.Code != tt.want || p.Outcome != problem.NotRun {
				t.Errorf("error %v, want code %q", err, tt.want)
			}
		})
	}
}
