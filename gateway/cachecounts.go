package gateway

import (
	"time"

	"arbutusreel/capacity"
)

// cacheCounts counts the prompt tokens of a service that endpoints had cached.
type cacheCounts struct {
	// shared counts the tokens of shared parts, expected those of them that were expected to be cached, and fetches the
	// requests whose parts were fetched from another endpoint.
	shared, expected, fetches int64
	// measuredExpected and measuredCached count, of the requests that waited neither for a slot nor for memory, the tokens that were
	// expected to be cached, and those that were by the time to the first chunk.
	measuredExpected, measuredCached int64
}

// countPrompt counts the shared parts of a prompt that is sent to an endpoint.
func (p *placer) countPrompt(service string, w capacity.Work, d decision) {
	c := p.caches[service]
	c.shared += w.UncachedTokens(0) - w.UncachedTokens(len(w.Shared()))
	c.expected += w.PromptTokens - d.uncachedTokens
	if d.fetchFrom != "" {
		c.fetches++
	}
	p.caches[service] = c
}

// countFirst counts what was cached of the prompt by the time to the first chunk at an endpoint of usual pace.
func (a *attempt) countFirst(speed capacity.Speed, usual time.Duration) {
	p := a.placer
	if len(a.work.Shared()) == 0 || !p.retains(a.service) {
		return
	}
	read := int64((usual-speed.Base)/max(speed.PrefillTokenTime, 1)) - (a.queuedTokens - a.uncachedTokens)
	c := p.caches[a.service]
	c.measuredExpected += a.work.PromptTokens - a.uncachedTokens
	c.measuredCached += a.work.PromptTokens - min(max(read, a.work.UncachedTokens(len(a.work.Shared()))), a.work.PromptTokens)
	p.caches[a.service] = c
}

// cacheSummary returns the counts by service, and the numbers of known shared parts and of their holders.
func (p *placer) cacheSummary() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	services := map[string]any{}
	for service, c := range p.caches {
		services[service] = map[string]int64{
			"sharedTokens": c.shared, "expectedTokens": c.expected, "fetches": c.fetches,
			"measuredExpectedTokens": c.measuredExpected, "measuredTokens": c.measuredCached,
		}
	}
	parts, holders := p.holders.Count()
	return map[string]any{"parts": parts, "holders": holders, "services": services}
}
