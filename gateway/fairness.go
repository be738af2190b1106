package gateway

import (
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fairness"
	"arbutusreel/wiregen"
)

// reasonOverShare: the team has used more than its share of the region's capacity while others were refused.
const reasonOverShare = "overShare"

// fairRequest returns the description of a request for the shares of teams, or false if it has no team.
func fairRequest(q query) (fairness.Request, bool) {
	if q.team == nil {
		return fairness.Request{}, false
	}
	tokens := max(q.work.PromptTokens+q.work.OutputTokens, q.team.Allotment.PlainTokens, 1)
	return fairness.Request{Team: q.team.Name, Priority: q.priority(), Tokens: float64(tokens)}, true
}

// applyFairness returns the decision about a request after the shares of teams. Only a decision about endpoints of this region that
// are short of capacity changes.
func (p *placer) applyFairness(now time.Time, q query, speed capacity.Speed, here decision) decision {
	r, ok := fairRequest(q)
	if !ok || q.mustPlace || here.candidates == 0 {
		return here
	}
	late := here.verdict != capacity.Take
	room := fairness.Room{
		Short:  fairness.Short(q.service.Engine != nil, late, here.full, here.expected, q.budget.RouteObjective),
		Excess: here.expected - q.budget.RouteObjective, TimeLeft: q.budget.Remaining,
		Returned: q.budget.Retried, Draw: p.rng.Float64(),
	}
	order := p.fairness.Of(q.service.Name).Decide(now, r, room)
	onTime := capacity.Admit(here.expected, here.expected, q.budget) == capacity.Take
	switch {
	case !order.Allow:
		here.verdict, here.reason, here.retryAfter, here.cost = capacity.Refuse, reasonOverShare, order.RetryAfter, noEndpointTime
	case order.UseHeadroom && here.verdict == capacity.Refuse && here.reason == reasonCrowded && onTime && !here.full:
		here.verdict = capacity.Take
	case order.Rank > 0 && here.verdict == capacity.Take && here.rank < capacity.Ranks-2:
		q.work.Rank = here.rank + order.Rank
		here.rank, here.addedLoad = q.work.Rank, q.work.Load(here.uncachedTokens)
		here.preemptedShare = speed.Overtaking.Prefill[here.rank]
	}
	return here
}

// recordFairness counts a request for the shares of teams at the first decision about it in this region.
func (p *placer) recordFairness(now time.Time, q query, here decision) {
	if r, ok := fairRequest(q); ok && len(q.tried) == 0 && here.candidates > 0 {
		p.fairness.Of(q.service.Name).Record(now, r, here.verdict != capacity.Refuse)
		signal(p.loadsChanged)
	}
}

// reportTeams adds the usage of teams to a report.
func (p *placer) reportTeams(now time.Time, m *wiregen.OutstandingReport, whole bool) {
	for _, r := range p.fairness.Report(now, whole) {
		m.TeamUsage = append(m.TeamUsage, &wiregen.TeamUsage{Service: r.Service, Team: r.Team, AskedTokens: r.Asked, AdmittedTokens: r.Admitted})
	}
}

// updateTeams stores the usage of teams that another gateway reported.
func (p *placer) updateTeams(now time.Time, m *wiregen.OutstandingReport) {
	reported := make([]fairness.Reported, 0, len(m.GetTeamUsage()))
	for _, u := range m.GetTeamUsage() {
		reported = append(reported, fairness.Reported{Service: u.GetService(), Team: u.GetTeam(), Asked: u.GetAskedTokens(), Admitted: u.GetAdmittedTokens()})
	}
	p.fairness.Update(now, m.GetGateway(), m.GetWhole(), reported)
}
