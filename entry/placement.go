package entry

import (
	"context"
	"slices"
	"strings"
	"sync"

	"arbutusreel/dispatch"
	"arbutusreel/inventory"
	"arbutusreel/residency"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Bounds of what is counted for placement.
const (
	maxDemands = 4096
	// firstAnswerTokens is the expected length of a model's answer before the first one has ended.
	firstAnswerTokens = 128
	// answerWeight is the weight of one answer in the expected length.
	answerWeight = 0.05
)

// demandKey is what demand is counted for; allowed is the list of regions that the labels allow.
type demandKey struct {
	service string
	model   string
	allowed string
}

// demandCount is what callers asked since the start.
type demandCount struct {
	requests int64
	tokens   float64
}

// demands counts what callers ask of each model; it is safe for concurrent use.
type demands struct {
	mu     sync.Mutex
	counts map[demandKey]demandCount
	// answers holds the expected length of an answer of each model, in tokens.
	answers map[string]float64
}

func newDemands() *demands {
	return &demands{counts: map[demandKey]demandCount{}, answers: map[string]float64{}}
}

// arrive counts a request of a caller, whether or not it will be served.
func (d *demands) arrive(inv *inventory.Inventory, r dispatch.Request) {
	allowed := residency.Allowed(inv, residency.Subject{Labels: r.Labels})
	k := demandKey{service: r.Service, model: r.Model, allowed: strings.Join(allowed, ",")}
	d.mu.Lock()
	defer d.mu.Unlock()
	count, ok := d.counts[k]
	if !ok && len(d.counts) >= maxDemands {
		return
	}
	expected, ok := d.answers[r.Model]
	if !ok {
		expected = firstAnswerTokens
	}
	count.requests++
	count.tokens += min(expected, float64(r.MaxTokens))
	d.counts[k] = count
}

// answered learns the length of an answer.
func (d *demands) answered(model string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	expected, ok := d.answers[model]
	if !ok {
		expected = float64(tokens)
	}
	d.answers[model] = expected + answerWeight*(float64(tokens)-expected)
}

// messages returns the counts in a fixed order.
func (d *demands) messages() []*wiregen.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	messages := make([]*wiregen.ModelDemand, 0, len(d.counts))
	for k, count := range d.counts {
		messages = append(messages, &wiregen.ModelDemand{
			Service:        k.service,
			Model:          k.model,
			Requests:       count.requests,
			Tokens:         count.tokens,
			AllowedRegions: strings.Split(k.allowed, ","),
		})
	}
	slices.SortFunc(messages, func(a, b *wiregen.ModelDemand) int {
		return strings.Compare(a.GetService()+"/"+a.GetModel()+"/"+strings.Join(a.GetAllowedRegions(), ","), b.GetService()+"/"+b.GetModel()+"/"+strings.Join(b.GetAllowedRegions(), ","))
	})
	return messages
}

// Region tells the placement leader what this entry knows of its region.
func (n *Entry) Region(_ context.Context, m *wiregen.RegionRequest) (*wiregen.RegionReply, error) {
	reply := &wiregen.RegionReply{
		Name:        n.cfg.Self.Name,
		Region:      n.cfg.Self.Region,
		Entries:     wire.EncodeEntries(n.state.live()),
		Demands:     n.demands.messages(),
		Incarnation: n.began.UnixNano(),
	}
	if m.GetEndpoints() {
		reply.Endpoints = n.endpointStates(n.state.Endpoints())
		for _, e := range reply.Endpoints {
			e.Announcement.CacheEvents = nil
		}
	}
	return reply, nil
}
