package gateway

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"arbutusreel/access"
	"arbutusreel/capacity"
	answer "arbutusreel/explanation"
	"arbutusreel/limits"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

// Where explains where a request with the caller's headers would go now, without sending it or changing any state. It explains the first
// attempt of a new request that arrives here, as if its team had enough of its allotment: only the owners of the shares know that.
// Evidence of crashes, the memory for bodies and a stop in progress are not considered.
func (g *Gateway) Where(now time.Time, q answer.Question, call Call) (*answer.Explanation, *problem.Problem) {
	v := g.view.Load()
	if v.table == nil {
		return nil, problem.New(problem.NotReady, http.StatusServiceUnavailable, "no routing document is in force yet")
	}
	j := &job{g: g, call: call, view: v, received: now, tried: map[string]bool{}, outcome: problem.NotRun, refusedBefore: q.Returned}
	if p := j.matchQuestion(q); p != nil {
		return nil, p
	}
	j.deadline = now.Add(j.route.Timeout)
	if call.Patience > 0 {
		j.deadline = now.Add(min(j.route.Timeout, call.Patience))
	}
	request := j.query(now)
	request.work.Bytes += q.BodyBytes
	x := g.placer.explain(now, v, request)
	e := &answer.Explanation{
		Gateway: g.cfg.Name, GatewayRegion: g.cfg.Region, RouteVersion: v.version(), ViewAge: now.Sub(v.updatedAt), Route: j.route.Name, Service: j.service.Name,
		Decision: x.answerDecision(), Candidates: x.answerCandidates(call.Work.PromptTokens), Regions: x.answerRegions(),
	}
	for _, id := range slices.Sorted(maps.Keys(x.excluded)) {
		reason := x.excluded[id]
		if reason == included {
			reason = excludedOther
		}
		e.Excluded = append(e.Excluded, answer.Excluded{Endpoint: id, Reason: string(reason)})
	}
	if j.team != nil {
		e.Team = &answer.Team{
			Name: j.team.Name, Priority: request.priority(), Share: x.standing.Share, Used: x.standing.Admitted, ShareEnforced: x.standing.Deprived,
			Allotment: g.allotments.explain(now, j.team, j.team.Allotment.Cost(call.Work.PromptTokens, call.MaxOutputTokens)),
		}
	}
	return e, nil
}

// matchQuestion sets the route, the service and the team that a question names.
func (j *job) matchQuestion(q answer.Question) *problem.Problem {
	if q.Route != "" {
		j.route = j.view.table.RouteNamed(q.Route)
	} else {
		j.route = j.view.table.Match(q.Host, q.Path)
	}
	if j.route == nil {
		return problem.New(problem.UnknownRoute, http.StatusNotFound, "no route %q, or none for host %q and path %q", q.Route, q.Host, q.Path)
	}
	service := q.Service
	if service == "" {
		service = slices.MaxFunc(j.route.Backends, func(a, b routes.Backend) int { return int(a.Weight - b.Weight) }).Service
	}
	if j.service = j.view.table.Service(service); j.service == nil || !j.route.Serves(service) {
		return problem.New(problem.UnknownService, http.StatusNotFound, "route %q has no service %q", j.route.Name, service)
	}
	// The name is not part of the answer, as it may be a key that was given by mistake.
	team, result := j.g.cfg.Access.Check(j.received, j.view.currentAt, j.view.table, access.Request{Route: j.route, Forwarded: true, Team: q.Team})
	if result != access.Allowed {
		return problem.New(problem.UnknownTeam, http.StatusNotFound, "route %q needs a team of the routing document; the one given is none", j.route.Name)
	}
	j.team = team
	return nil
}

func (x *explanation) answerDecision() answer.Decision {
	d := x.decision
	a := answer.Decision{
		Verdict: d.verdict.String(), Endpoint: d.endpoint.ID, Region: d.region, Gateway: d.gateway.Name, Handed: d.handed, FetchFrom: d.fetchFrom,
		Expected: d.expected, End: d.end, Cost: d.cost, Rank: d.rank,
	}
	if d.verdict == capacity.Refuse {
		a.Endpoint, a.FetchFrom, a.Reason, a.RetryAfter = "", "", d.reason, d.retryAfter
	}
	return a
}

func (x *explanation) answerCandidates(prompt int64) (all []answer.Candidate) {
	for i, c := range x.candidates {
		cost := x.costs[i]
		all = append(all, answer.Candidate{
			Endpoint: c.ID, Chosen: x.decision.verdict != capacity.Refuse && x.decision.region == "" && c.ID == x.decision.endpoint.ID,
			Expected: cost.Expected, End: cost.End, Cost: cost.Total(), Decode: cost.Decode, Read: cost.Read, Detour: cost.Detour, Failure: cost.Failure,
			Finish: cost.Finish, Miss: cost.Miss, CachedTokens: max(prompt-cost.UncachedTokens, 0), Fetches: cost.Fetches, Pace: c.Decode.Factor, Requests: c.Outstanding.Requests, Slots: c.Slots,
			HeldTokens: c.Outstanding.HeldTokens, Memory: c.Memory, Preferred: cost.Preferred, Full: cost.Full, Crowded: cost.Crowded, MemoryFull: cost.MemoryFull,
		})
	}
	slices.SortStableFunc(all, func(a, b answer.Candidate) int { return int(a.Cost - b.Cost) })
	return all
}

func (x *explanation) answerRegions() (all []answer.Region) {
	for _, r := range x.regions {
		all = append(all, answer.Region{
			Name: r.name, Chosen: r.reason == regionChosen, Reason: string(r.reason), Gateways: r.gateways, Reported: r.reported, Age: r.capacity.Age,
			Endpoints: r.capacity.Endpoints, PromptTokens: r.capacity.PromptTokens, Busy: r.capacity.Busy, Occupied: r.capacity.Occupied,
			Expected: r.choice.Expected, Cost: r.choice.Cost,
		})
	}
	return all
}

// explain returns what this gateway knows of a team's allotment, or nil if it has no limit.
func (a *allotments) explain(now time.Time, team *routes.Team, cost float64) *answer.Allotment {
	if !team.Allotment.Limited() {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	x := &answer.Allotment{
		Unit: "requests", Cost: cost, Rate: team.Allotment.Rate, Burst: team.Allotment.Burst, Owner: a.owners.Of(team.Name, a.self.Region),
	}
	if team.Allotment.Unit == routes.Tokens {
		x.Unit = "tokens"
	}
	if b := a.balances[team.Name]; b != nil {
		x.Held = b.Held(now)
		x.Short, _ = b.Short(now, a.self.Region, &limits.Charge{Missing: max(cost-x.Held, 0)})
	}
	x.Level, x.LevelKnown = a.pool.Level(now, team.Name)
	switch missing := cost - x.Held; {
	case missing <= 0 || x.LevelKnown && missing <= x.Level:
		x.State = answer.AllotmentEnough
	case x.LevelKnown || x.Short > 0:
		x.State = answer.AllotmentShort
	case x.Owner == "":
		x.State = answer.AllotmentNoOwner
	default:
		x.State = answer.AllotmentAsked
	}
	return x
}
