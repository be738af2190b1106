package gateway

import (
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

// maxReportedParts is the number of used parts of one endpoint that a report holds.
const maxReportedParts = 64

// CacheRetention says whether cached prompts are weighed against the wait by how long endpoints keep them.
type CacheRetention int

// Values of CacheRetention.
const (
	// RetainByEndpoints weighs them if Pressure is set or the endpoints of the service report a pace.
	RetainByEndpoints CacheRetention = iota
	RetainAlways
	RetainNever
)

// retains reports whether cached prompts of a service are weighed by how long endpoints keep them.
func (p *placer) retains(service string) bool {
	switch p.cfg.CacheRetention {
	case RetainAlways:
		return true
	case RetainNever:
		return false
	default:
		return p.cfg.Pressure || p.reportPace[service]
	}
}

// countCached adds to a candidate what it has cached of a prompt, from the tokens that all gateways sent it recently.
func (p *placer) countCached(now time.Time, c *capacity.Candidate, s *endpointState, e *fleet.Endpoint, recent float64) {
	s.turnover = s.turnover.With(now, recent)
	c.CachedParts, c.Held = p.prompt.At(now, e.ID, capacity.NewRetention(s.turnover.PerSecond, c.Memory, c.Outstanding.HeldTokens))
}

// recordUse records the shared parts of a prompt as cached at the endpoint that gets it, and notes them for the next report.
func (p *placer) recordUse(now time.Time, s *endpointState, e *fleet.Endpoint, w capacity.Work) {
	for _, part := range w.Shared() {
		hash := capacity.PartHash(part.ID)
		p.holders.Use(now, hash, e.ID)
		if len(s.usedParts) < maxReportedParts {
			s.usedParts = append(s.usedParts, hash)
		}
	}
}

// updateHolders records the parts that another gateway has sent to endpoints. Parts that were sent to an endpoint before it started
// anew, and are reported after this gateway knows of that, count as cached once.
func (p *placer) updateHolders(now time.Time, m *wiregen.OutstandingReport) {
	for _, o := range m.GetOutstanding() {
		for _, hash := range o.GetUsedParts() {
			p.holders.Use(now, hash, o.GetEndpoint())
		}
	}
}
