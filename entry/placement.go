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

// Limits and parameters of the demand counters.
const (
	maxDemands = 4096
	// initialAnswerTokens is the expected length of a model's answer until the first answer ends.
	initialAnswerTokens = 128
	// answerTokensGain is the smoothing factor of the expected length.
	answerTokensGain = 0.05
)

// demandKey identifies a demand counter; allowed is the comma-separated list of regions that the labels allow.
type demandKey struct {
	service string
	model   string
	allowed string
}

// demandCount is the demand since the entry started.
type demandCount struct {
	requests int64
	tokens   float64
}

// demands counts callers' requests by model; it is safe for concurrent use.
type demands struct {
	mu     sync.Mutex
	counts map[demandKey]demandCount
	// answerTokens holds the expected length of an answer of each model, in tokens.
	answerTokens map[string]float64
}

func newDemands() *demands {
	return &demands{counts: map[demandKey]demandCount{}, answerTokens: map[string]float64{}}
}

// countRequest counts a caller's request, whether or not it will be served. New keys beyond maxDemands are not counted.
func (d *demands) countRequest(inv *inventory.Inventory, r dispatch.Request) {
	allowed := residency.Allowed(inv, residency.Subject{Labels: r.Labels})
	k := demandKey{service: r.Service, model: r.Model, allowed: strings.Join(allowed, ",")}
	d.mu.Lock()
	defer d.mu.Unlock()
	count, ok := d.counts[k]
	if !ok && len(d.counts) >= maxDemands {
		return
	}
	expected, ok := d.answerTokens[r.Model]
	if !ok {
		expected = initialAnswerTokens
	}
	count.requests++
	count.tokens += min(expected, float64(r.MaxTokens))
	d.counts[k] = count
}

// recordAnswer updates the expected length of the model's answers.
func (d *demands) recordAnswer(model string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	expected, ok := d.answerTokens[model]
	if !ok {
		expected = float64(tokens)
	}
	d.answerTokens[model] = expected + answerTokensGain*(float64(tokens)-expected)
}

// messages returns the encoded counters in a fixed order.
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

// Region reports the state of the entry's region to the placement leader.
func (n *Entry) Region(_ context.Context, m *wiregen.RegionRequest) (*wiregen.RegionReply, error) {
	reply := &wiregen.RegionReply{
		Name:        n.cfg.Self.Name,
		Region:      n.cfg.Self.Region,
		Entries:     wire.EncodeEntries(n.state.live()),
		Demands:     n.demands.messages(),
		Incarnation: n.startedAt.UnixNano(),
	}
	if m.GetEndpoints() {
		reply.Endpoints = n.endpointStates(n.state.Endpoints())
		for _, e := range reply.Endpoints {
			e.Announcement.CacheEvents = nil
		}
	}
	return reply, nil
}
