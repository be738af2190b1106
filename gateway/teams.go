package gateway

import (
	"net/http"
	"net/url"
	"time"

	"arbutusreel/access"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

// admittedCode is the code under which the requests of a team that passed the checks at their arrival are counted.
const admittedCode = "admitted"

// authenticate finds the team of the caller by its credential, or by the name that the forwarding gateway gives. It returns
// a refusal if the caller may not use the route; the team then stays what it was, for the log.
func (j *job) authenticate() *problem.Problem {
	now := time.Now()
	r := access.Request{Route: j.route, Credential: j.call.Credential, Forwarded: j.forwarded}
	if j.forwarded {
		name, err := url.QueryUnescape(j.r.Header.Get(teamHeader))
		if err != nil {
			return unknownTeam()
		}
		r.Team = name
	}
	team, result := j.g.cfg.Access.Check(now, j.view.currentAt, j.view.table, r)
	switch result {
	case access.Allowed:
		j.team = team
		return nil
	case access.NoCredential:
		return problem.New(problem.UnknownCredential, http.StatusUnauthorized, "the request has no credential")
	case access.UnknownCredential:
		return problem.New(problem.UnknownCredential, http.StatusUnauthorized, "the credential is not known")
	case access.Outdated:
		return problem.New(problem.NotReady, http.StatusServiceUnavailable, "revoked credentials may not be known here").
			WithRetryAfter(j.g.notReadyRetryAfter(now))
	default:
		return unknownTeam()
	}
}

// unknownTeam refuses a request of another gateway whose team the routing table lacks.
func unknownTeam() *problem.Problem {
	return problem.New(problem.NotReady, http.StatusServiceUnavailable, "the team is not known here").WithRetryAfter(notReadyRetryAfter)
}

// giveUpRevoked answers a request whose credential the newer routing table lacks. If nothing was sent, the caller learns that
// the request was not run.
func (j *job) giveUpRevoked(p *problem.Problem) {
	if j.sends > 0 || j.outcome != problem.NotRun || j.r.Context().Err() != nil {
		j.giveUp(p.Code, "the credential was revoked while the request was in progress")
		return
	}
	j.refuse(p)
}

// setTeamHeader names the team to another gateway.
func (j *job) setTeamHeader(h http.Header) {
	if j.team != nil {
		h.Set(teamHeader, url.QueryEscape(j.team.Name))
	}
}

// countTeam counts an event of a request for its team, at the gateway that the caller is connected to.
func (j *job) countTeam(code string) {
	if j.team != nil && !j.forwarded {
		j.g.cfg.Metrics.CountTeam(j.team.Name, code)
	}
}

// countAdmitted counts a request of a team that passed the checks at its arrival, and its tokens.
func (j *job) countAdmitted() {
	j.countTeam(admittedCode)
	if j.team != nil && !j.forwarded {
		j.g.cfg.Metrics.CountTeamTokens(j.team.Name, tokensOf(j.team, j.call.Work))
	}
}

// recordShare publishes what the caller's team has left of its share of the service after a decision.
func (j *job) recordShare() {
	if o := j.decision.order; j.team != nil && (o.Short || o.ShareLeft > 0) {
		j.g.cfg.Metrics.SetTeamShareLeft(j.team.Name, j.service.Name, o.ShareLeft)
	}
}

// teamName returns the name of the caller's team, or an empty string.
func (j *job) teamName() string {
	if j.team == nil {
		return ""
	}
	return j.team.Name
}

// callerIdentity returns what distinguishes the caller from others in crash evidence; it never holds a key of a team.
func (j *job) callerIdentity() string {
	if j.view.table.HasTeams() {
		return j.teamName()
	}
	return j.call.Caller
}

// priorityOf returns the scheduling level of a request, by its team and its route.
func priorityOf(route *routes.Route, team *routes.Team) int {
	if team != nil {
		return team.Level(route.Priority)
	}
	return route.Priority
}

// priority returns the priority of the request.
func (q query) priority() int { return priorityOf(q.route, q.team) }

// allows reports whether the homes of route and team allow the request to be served in a region.
func (q query) allows(region string) bool { return q.route.Allows(region) && q.team.Allows(region) }
