package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"arbutusreel/admission"
	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/retry"
	"arbutusreel/routing"
)

// schedulerFixture is a scheduler over endpoints that each serve some of the models, with the waiting and running
// requests.
type schedulerFixture struct {
	scheduler *scheduler
	inventory *inventory.Inventory
	now       time.Time
	waiting   []*admission.Waiting[*waiter]
	running   []runningRequest
	// startOrder holds the requests in the order in which they started.
	startOrder []*job
}

// runningRequest is a request that has started, with its placement.
type runningRequest struct {
	job       *job
	placement *placement
}

func newSchedulerFixture(models int, endpoints []membership.Endpoint) *schedulerFixture {
	c := inventory.Contents{Regions: []inventory.Region{{Name: "lahore"}}}
	for i := range models {
		c.Models = append(c.Models, inventory.Model{Name: fmt.Sprint("m", i)})
	}
	c.Services = []inventory.Service{{Name: "menu-model"}}
	for _, m := range c.Models {
		c.Services[0].Models = append(c.Services[0].Models, m.Name)
	}
	for i := range 3 {
		c.Classes = append(c.Classes, inventory.Class{Name: fmt.Sprint("p", i), Priority: i, Patience: time.Hour})
	}
	b := &schedulerFixture{inventory: mustInventory(c), now: time.Now()}
	for i := range endpoints {
		endpoints[i].Name = fmt.Sprint("e", i)
		endpoints[i].Region, endpoints[i].Service = "lahore", "menu-model"
		endpoints[i].Load.At = b.now
	}
	chooser := routing.New(routing.Expected{}, b.now, rand.NewPCG(1, 1))
	view := staticView{inv: b.inventory, endpoints: endpoints}
	b.scheduler = newScheduler(Hop{Instance: "entry", Region: "lahore"}, view, chooser, func() time.Time { return b.now }, rand.NewPCG(1, 2), zerolog.Nop())
	return b
}

func (b *schedulerFixture) job(team string, weight float64, class, model, tokens int) *job {
	j := &job{inventory: b.inventory, team: inventory.Team{Name: team, Weight: weight}}
	j.class, _ = b.inventory.Class(fmt.Sprint("p", class))
	j.request = Request{Team: team, Class: j.class.Name, Service: "menu-model", Model: fmt.Sprint("m", model), Deadline: b.now.Add(time.Hour)}
	j.query = routing.Query{Service: "menu-model", Model: j.request.Model, ExpectedTokens: tokens, ReserveTokens: tokens, Objective: routing.NewObjective(inventory.Objective{})}
	return j
}

// arrive submits a request and returns the requests that started.
func (b *schedulerFixture) arrive(j *job) (ran []runningRequest) {
	p, w, err := b.scheduler.tryPlace(j)
	if err != nil {
		panic(err)
	}
	ran = b.collect()
	if p == nil {
		b.waiting = append(b.waiting, w)
		return ran
	}
	return append(ran, b.run(j, p))
}

func (b *schedulerFixture) run(j *job, p *placement) runningRequest {
	s := runningRequest{job: j, placement: p}
	b.running = append(b.running, s)
	b.startOrder = append(b.startOrder, j)
	return s
}

// collect returns the waiting requests that have started since the last call.
func (b *schedulerFixture) collect() (ran []runningRequest) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *admission.Waiting[*waiter]) bool {
		select {
		case p := <-w.Value.placed:
			ran = append(ran, b.run(w.Value.job, p))
			return true
		default:
			return false
		}
	})
	return ran
}

// end ends a running request and returns the requests that started as a result.
func (b *schedulerFixture) end(i int) []runningRequest {
	s := b.running[i]
	b.running = slices.Delete(b.running, i, i+1)
	b.scheduler.finish(s.job, s.placement, nil, retry.Final)
	return b.collect()
}

// overtaken returns a waiting request of a higher priority that the started one overtook although its endpoint could
// serve it, or nil. The request that has just arrived does not count, as it came after those that started at the same
// moment.
func (b *schedulerFixture) overtaken(s runningRequest, arrived *job) *job {
	for _, w := range b.waiting {
		if j := w.Value.job; j != arrived && w.Priority < s.job.class.Priority && slices.Contains(s.placement.endpoint.Models, j.query.Model) {
			return j
		}
	}
	return nil
}

// TestPriorityAcrossQueues checks each start against all waiting requests: no request starts on an endpoint while one
// of a higher priority that the endpoint could serve waits, and all requests start in the end.
func TestPriorityAcrossQueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(1, 4).Draw(t, "models")
		endpoints := make([]membership.Endpoint, rapid.IntRange(1, 4).Draw(t, "endpoints"))
		all := make([]string, models)
		for m := range models {
			all[m] = fmt.Sprint("m", m)
		}
		endpoints[0].Models = all
		for i := range endpoints {
			endpoints[i].Slots = rapid.IntRange(1, 3).Draw(t, "slots")
			endpoints[i].CacheTokens = 400
			if i > 0 {
				endpoints[i].Models = rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, models, rapid.ID[string]).Draw(t, "serves")
			}
		}
		b := newSchedulerFixture(models, endpoints)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			var ran []runningRequest
			var arrived *job
			if len(b.running) > 0 && rapid.Bool().Draw(t, "ends") {
				ran = b.end(rapid.IntRange(0, len(b.running)-1).Draw(t, "which"))
			} else {
				arrived = b.job(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), 1, rapid.IntRange(0, 2).Draw(t, "class"),
					rapid.IntRange(0, models-1).Draw(t, "model"), rapid.IntRange(1, 300).Draw(t, "tokens"))
				ran = b.arrive(arrived)
			}
			for _, s := range ran {
				if first := b.overtaken(s, arrived); first != nil {
					t.Fatalf("a request of class %s started on %s while one of class %s for %s waits", s.job.class.Name, s.placement.endpoint.Name, first.class.Name, first.query.Model)
				}
			}
		}
		for len(b.running) > 0 {
			b.now = b.now.Add(refreshPeriod)
			b.end(0)
			b.scheduler.refresh(b.now)
			b.collect()
		}
		if len(b.waiting) > 0 {
			t.Fatalf("%d requests wait although none runs", len(b.waiting))
		}
	})
}

// TestFairnessAcrossQueues checks that two teams that wait for different models of one endpoint get their weighted
// shares.
func TestFairnessAcrossQueues(t *testing.T) {
	b := newSchedulerFixture(2, []membership.Endpoint{{Slots: 1, Models: []string{"m0", "m1"}}})
	for range 80 {
		b.arrive(b.job("a", 1, 1, 0, 10))
		b.arrive(b.job("b", 3, 1, 1, 10))
	}
	for range 80 {
		b.now = b.now.Add(refreshPeriod)
		b.end(0)
	}
	teams := map[string]int{}
	for _, j := range b.startOrder {
		teams[j.request.Team]++
	}
	if teams["b"] < 58 || teams["b"] > 62 {
		t.Errorf("started by team: %v, want one of a to three of b", teams)
	}
}

// BenchmarkStartAcrossQueues measures the end of a request and the start of the next one, with requests of 360 teams
// waiting for up to 13 models.
func BenchmarkStartAcrossQueues(b *testing.B) {
	for _, models := range []int{1, 13} {
		b.Run(fmt.Sprintf("%d models", models), func(b *testing.B) {
			endpoints := make([]membership.Endpoint, 64)
			for i := range endpoints {
				endpoints[i].Slots = 8
				endpoints[i].Models = []string{fmt.Sprint("m", i%models), fmt.Sprint("m", (i+1)%models)}
			}
			bench := newSchedulerFixture(models, endpoints)
			for i := range 3000 {
				bench.arrive(bench.job(fmt.Sprint("team", i%360), 1, i%3, i%models, 10))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				ran := bench.end(i % len(bench.running))
				for _, s := range ran {
					bench.arrive(bench.job(s.job.request.Team, 1, i%3, i%models, 10))
				}
			}
		})
	}
}
