package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/routing"
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

type staticView struct {
	inv       *inventory.Inventory
	endpoints []membership.Endpoint
	summaries []membership.Summary
}

func (v staticView) Inventory() (*inventory.Inventory, int64) { return v.inv, 1 }

func (v staticView) Endpoints() []membership.Endpoint { return v.endpoints }

func (v staticView) Summaries() []membership.Summary { return v.summaries }
