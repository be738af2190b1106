package gateway

import (
	"time"

	"arbutusreel/capacity"
	"arbutusreel/wiregen"
)

// recordShed records that a request was forwarded because of the load of this region.
func (p *placer) recordShed(now time.Time, q query, here decision) {
	if (p.cfg.DrawPlain || q.team != nil) && q.allows(p.cfg.Region) && here.candidates > 0 && len(q.tried) == 0 {
		p.sheds[q.service.Name] = p.sheds[q.service.Name].With(now)
	}
}

// withholdCapacity removes the free capacity of a service from this region's report while the region forwards requests of the service
// to others.
func (p *placer) withholdCapacity(now time.Time, v *view, m *wiregen.ServiceRoom) {
	if p.cfg.DrawPlain || p.fairness.Active(now, m.GetService()) {
		p.findSheds(now, v, m)
	}
	if p.sheds[m.GetService()].Holds(now) {
		// A negative number excludes requests without a prompt, too.
		m.PromptTokens = -1
	}
}

// findSheds records that other gateways of the region forward requests of a service, by comparing the waits as they do.
func (p *placer) findSheds(now time.Time, v *view, m *wiregen.ServiceRoom) {
	var others []capacity.RegionCapacity
	for region, reported := range v.capacities {
		if rc, ok := reported.services[m.GetService()]; ok && region != p.cfg.Region {
			rc.Age = now.Sub(reported.reportedAt)
			others = append(others, rc)
		}
	}
	for rank, wait := range m.GetWaitMillis()[:min(len(m.GetWaitMillis()), capacity.Ranks-1)] {
		if capacity.Sheds(time.Duration(wait)*time.Millisecond, others, rank, p.cfg.RegionRoundTrip, minCrossRegionGain) {
			p.sheds[m.GetService()] = p.sheds[m.GetService()].With(now)
		}
	}
}
