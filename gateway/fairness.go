package gateway

import (
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fairness"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

// reasonOverShare: the team has used more than its share of the capacity of the service while the region is short of it.
const reasonOverShare = "overShare"

// fairRequest returns the description of a request for the shares of teams, or false if it has no team.
func fairRequest(q query) (fairness.Request, bool) {
	if q.team == nil {
		return fairness.Request{}, false
	}
	return fairness.Request{Team: q.team.Name, Priority: q.priority(), Kind: q.route.Name, Urgency: q.route.Priority, Tokens: float64(tokensOf(q.team, q.work))}, true
}

// tokensOf returns the tokens that a request counts for its team.
func tokensOf(team *routes.Team, w capacity.Work) int64 {
	return max(w.PromptTokens+w.OutputTokens, team.Allotment.PlainTokens, 1)
}

// applyFairness returns the decision about a request after the shares of teams. Only a decision about endpoints of this region that
// are short of capacity changes.
func (p *placer) applyFairness(now time.Time, q query, speed capacity.Speed, here decision) decision {
	r, ok := fairRequest(q)
	if !ok || q.mustPlace || here.candidates == 0 {
		return here
	}
	late, engines := here.verdict != capacity.Take, q.service.Engine != nil
	room := fairness.Room{
		Short:    fairness.Short(engines, late, here.full, here.expected, q.budget.RouteObjective),
		Returned: q.budget.Retried, TimeLeft: q.budget.Remaining, Draw: p.rng.Float64(), Engines: engines, Late: late,
		Wait: here.expected, Needed: max(here.end, here.expected), Objective: q.budget.Objective,
	}
	if len(q.tried) > 0 {
		// An endpoint or a region has failed or rejected a request that was admitted before.
		room.Objective = q.budget.RouteObjective
	}
	order := p.fairness.Of(q.service.Name).Decide(now, r, room)
	onTime := capacity.Admit(here.expected, here.expected, q.budget) == capacity.Take
	here.order = order
	switch {
	case !order.Allow:
		return here.yield(order)
	case order.UseHeadroom && here.verdict == capacity.Refuse && here.reason == reasonCrowded && onTime && !here.full:
		here.verdict = capacity.Take
	case order.Rank > 0 && here.verdict == capacity.Take && here.rank < capacity.Ranks-2:
		q.work.Rank = here.rank + order.Rank
		here.rank, here.addedLoad = q.work.Rank, q.work.Load(here.uncachedTokens)
		here.preemptedShare = speed.Overtaking.Prefill[here.rank]
	}
	return here
}

// yield returns the decision to refuse a request that others go before.
func (d decision) yield(order fairness.Order) decision {
	switch {
	case order.OverShare:
		d.reason = reasonOverShare
	case d.verdict == capacity.Refuse:
		return d
	default:
		d.reason = reasonBacklog
	}
	d.verdict, d.yields = capacity.Refuse, true
	return d
}

// returnTime returns when the caller of a request may return that was refused for lack of capacity, or false if it has no team or was
// refused for another reason.
func (p *placer) returnTime(now time.Time, q query, refused decision) (time.Duration, bool) {
	switch refused.reason {
	case reasonCrowded, reasonBacklog, reasonMemory, reasonFull, reasonOverShare:
	default:
		return 0, false
	}
	r, ok := fairRequest(q)
	if !ok {
		return 0, false
	}
	// The caller of a forwarded request returns to its own region, if at all.
	room := fairness.Room{TimeLeft: q.budget.Remaining, Returned: q.budget.Retried || q.forwarded, Draw: p.rng.Float64()}
	if refused.candidates > 0 {
		room.Excess = refused.expected - q.budget.RouteObjective
	}
	return p.fairness.Of(q.service.Name).Refuse(now, r, room), true
}

// recordFairness counts a request for the shares of teams at the first decision about it in this region.
func (p *placer) recordFairness(now time.Time, q query, here decision) {
	if r, ok := fairRequest(q); ok && len(q.tried) == 0 && (here.candidates > 0 || here.reason == reasonFull) {
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
