package gateway

import (
	"slices"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

// minReportedFailures is the decayed number of failures at an endpoint above which its outcomes are reported.
const minReportedFailures = 0.1

// minReportedPace is the number of recent observations of an endpoint's pace up to which they are not reported.
const minReportedPace = 0.1

// markChanged notes that the load at an endpoint has changed since the last report.
func (p *placer) markChanged(endpoint string) {
	p.changedEndpoints[endpoint] = true
	signal(p.loadsChanged)
}

// loadReport returns a report of the loads and the limits that changed and the departures that were announced since the
// last one, or if whole is set, of all loads that are not zero and all known limits and departures. It returns nil if nothing changed, or if the
// last whole report was empty and so is this one.
func (p *placer) loadReport(now time.Time, born int64, whole bool) *wiregen.OutstandingReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	unchanged := len(p.changedEndpoints) == 0 && len(p.newDepartures) == 0 && len(p.changedLimits) == 0 && !p.fairness.Changed()
	if unchanged && (!whole || p.reportedEmpty) {
		return nil
	}
	p.reportSequence++
	m := &wiregen.OutstandingReport{Gateway: p.cfg.Name, Born: born, Sequence: p.reportSequence, Whole: whole}
	departures := p.newDepartures
	if whole {
		departures = p.departures.All()
	}
	for _, d := range departures {
		m.Departures = append(m.Departures, &wiregen.EndpointDeparture{Endpoint: d.ID, Born: d.Born})
	}
	m.Outstanding = p.reportedLoads(now, whole)
	p.reportLimits(now, m, whole)
	p.reportTeams(now, m, whole)
	p.reportedEmpty = whole && len(m.Outstanding) == 0 && len(m.Departures) == 0 && len(m.Limits) == 0 && len(m.Brittle) == 0 && len(m.TeamUsage) == 0
	p.newDepartures = nil
	clear(p.changedEndpoints)
	return m
}

// reportedLoads returns the loads that changed since the last report, or all that are not zero.
func (p *placer) reportedLoads(now time.Time, all bool) []*wiregen.EndpointOutstanding {
	var loads []*wiregen.EndpointOutstanding
	if all {
		for id, s := range p.states {
			if s.outstanding != (capacity.Outstanding{}) || s.recent.Tokens(now) >= 1 || s.decode.pace.Now(now).SlowCount > minIdlePace {
				loads = append(loads, encodeLoad(now, id, s))
			}
		}
		return loads
	}
	for id := range p.changedEndpoints {
		if s := p.states[id]; s != nil {
			loads = append(loads, encodeLoad(now, id, s))
		}
	}
	return loads
}

func encodeLoad(now time.Time, id string, s *endpointState) *wiregen.EndpointOutstanding {
	m := &wiregen.EndpointOutstanding{
		Endpoint: id, Requests: int32(s.outstanding.Requests), HeldTokens: s.outstanding.HeldTokens, RecentTokens: s.recent.Tokens(now),
	}
	if s.outstanding.Waiting != (capacity.Backlog{}) {
		m.Waiting = slices.Clone(s.outstanding.Waiting[:])
	}
	if s.outstanding.PromptTokens != (capacity.Backlog{}) {
		m.PromptTokens = slices.Clone(s.outstanding.PromptTokens[:])
	}
	if pace := s.pace.Now(now); pace.Count > minReportedPace {
		m.PaceRatios, m.PaceCount = float32(pace.Ratios), float32(pace.Count)
	}
	encodeDecodePace(m, s.decode.pace.Now(now))
	m.UsedParts, s.usedParts = s.usedParts, nil
	if o := s.outcomes.Now(now); o.Failed > minReportedFailures {
		m.RecentEnded, m.RecentFailed = o.Ended, o.Failed
	}
	return m
}

// updatePeer stores the report of another gateway, and reports whether it is newer than the last one.
func (p *placer) updatePeer(now time.Time, m *wiregen.OutstandingReport) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name := m.GetGateway(); name == "" || name == p.cfg.Name || !p.peers.update(now, m) {
		return false
	}
	for _, d := range m.GetDepartures() {
		p.departures.Add(now, fleet.Departure{ID: d.GetEndpoint(), Born: d.GetBorn()})
	}
	p.updateHolders(now, m)
	p.updateLimits(now, m)
	p.updateTeams(now, m)
	return true
}
