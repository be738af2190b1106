package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"arbutusreel/dispatch"
	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/routing"
	"arbutusreel/stream"
)

// topology is a set of instances that know each other through stale views.
type topology struct {
	t         *rapid.T
	instances map[string][]*node
	visits    map[string]int
	// crossings counts the forwards into each region from others, and pathCrossings those on the path to the current
	// instance; depth is the number of all forwards on this path.
	crossings     map[string]int
	pathCrossings int
	depth         int
}

// node is one instance with its view, which may be wrong about every region.
type node struct {
	topology   *topology
	self       dispatch.Hop
	inventory  *inventory.Inventory
	summaries  []membership.Summary
	dispatcher *dispatch.Dispatcher
}

func (n *node) Inventory() (*inventory.Inventory, int64) { return n.inventory, 1 }

func (n *node) Endpoints() []membership.Endpoint { return nil }

func (n *node) Summaries() []membership.Summary { return n.summaries }

// ForwardModel passes the request to any instance of the region, including one that it has passed through before.
func (n *node) ForwardModel(ctx context.Context, region string, r dispatch.Request, sink stream.Sink) (stream.End, error) {
	to := n.topology.arrive(n.self, region)
	defer n.topology.leave(n.self, region)
	return to.dispatcher.Generate(ctx, r, sink)
}

// ForwardCall passes the call to any instance of the region.
func (n *node) ForwardCall(ctx context.Context, region string, r dispatch.Request) (dispatch.Reply, error) {
	to := n.topology.arrive(n.self, region)
	defer n.topology.leave(n.self, region)
	return to.dispatcher.Call(ctx, r)
}

// maxDepth is the number of forwards on one path above which the request is taken to loop.
const maxDepth = 16

// loopDeadline bounds the retries of one request.
const loopDeadline = 50 * time.Millisecond

// arrive counts a forward to the region and draws the instance that receives it.
func (p *topology) arrive(from dispatch.Hop, region string) *node {
	p.depth++
	if p.depth > maxDepth {
		p.t.Fatalf("the request is %d forwards deep", p.depth)
	}
	if from.Region != region {
		p.crossings[region]++
		p.pathCrossings++
	}
	if p.pathCrossings > 1 {
		p.t.Errorf("the request crossed regions %d times on one way", p.pathCrossings)
	}
	to := rapid.SampledFrom(p.instances[region]).Draw(p.t, "receiver")
	p.visits[to.self.Instance]++
	return to
}

func (p *topology) leave(from dispatch.Hop, region string) {
	p.depth--
	if from.Region != region {
		p.pathCrossings--
	}
}

type discardSink struct{}

func (discardSink) Piece(stream.Piece) error { return nil }

func drawTopology(t *rapid.T) *topology {
	p := &topology{t: t, instances: map[string][]*node{}, visits: map[string]int{}, crossings: map[string]int{}}
	var regions []string
	for i := range rapid.IntRange(2, 4).Draw(t, "regions") {
		regions = append(regions, fmt.Sprintf("r%d", i))
	}
	for _, region := range regions {
		for i := range rapid.IntRange(1, 3).Draw(t, "instances") {
			n := &node{topology: p, self: dispatch.Hop{Instance: fmt.Sprintf("%s-%d", region, i), Region: region}}
			n.inventory = drawInventory(t, regions)
			for _, other := range rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, len(regions), rapid.ID[string]).Draw(t, "view") {
				for _, service := range []string{"models", "desk"} {
					n.summaries = append(n.summaries, membership.Summary{
						Region: other, Service: service, Models: []string{"m"}, Endpoints: 1, Slots: 4, TokensPerSecond: 100,
					})
				}
			}
			n.dispatcher = dispatch.New(n.self, n, nil, nil, n,
				routing.New(routing.Expected{}, time.Now(), rand.NewPCG(1, 1)), time.Now, rand.NewPCG(2, 2), zerolog.Nop())
			p.instances[region] = append(p.instances[region], n)
		}
	}
	return p
}

// drawInventory returns an inventory whose label may differ from those of other instances, as during a change of
// rules.
func drawInventory(t *rapid.T, regions []string) *inventory.Inventory {
	c := inventory.Contents{
		Labels:   []inventory.Label{{Name: "l", AllowedRegions: rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 1, len(regions), rapid.ID[string]).Draw(t, "allowed")}},
		Models:   []inventory.Model{{Name: "m"}},
		Services: []inventory.Service{{Name: "models", Models: []string{"m"}}, {Name: "desk", Kind: inventory.KindPlain, Idempotent: true}},
		Classes:  []inventory.Class{{Name: "c", Patience: time.Second}},
	}
	for _, r := range regions {
		c.Regions = append(c.Regions, inventory.Region{Name: r})
	}
	inv, err := inventory.New(c)
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

// TestNoLoops checks that, whatever the views are, a request ends, visits no instance twice, crosses regions at most
// once on each path, and is sent to each region at most once.
func TestNoLoops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawTopology(t)
		start := rapid.SampledFrom(p.instances["r0"]).Draw(t, "start")
		r := dispatch.Request{CorrelationID: "c", Class: "c", Deadline: time.Now().Add(loopDeadline)}
		if rapid.Bool().Draw(t, "labelled") {
			r.Labels = []string{"l"}
		}
		p.visits[start.self.Instance]++
		var err error
		if rapid.Bool().Draw(t, "model") {
			r.Service, r.Model = "models", "m"
			_, err = start.dispatcher.Generate(t.Context(), r, discardSink{})
		} else {
			r.Service = "desk"
			_, err = start.dispatcher.Call(t.Context(), r)
		}
		for region, n := range p.crossings {
			if n > 1 {
				t.Errorf("the request was sent to region %q %d times", region, n)
			}
		}
		for instance, n := range p.visits {
			if n > 1 {
				t.Errorf("instance %q was visited %d times", instance, n)
			}
		}
		if got := problem.From(err); got.Outcome != problem.NotRun {
			t.Errorf("a request that no endpoint can have seen failed as %v", err)
		}
	})
}
