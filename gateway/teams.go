package gateway

import (
	"net/http"
	"net/url"

	"arbutusreel/problem"
	"arbutusreel/routes"
)

// authenticate finds the team of the caller by its credential, or by the name that the forwarding gateway gives. It returns
// a refusal if the routing table has teams and the caller may not use the route.
func (j *job) authenticate() *problem.Problem {
	table := j.view.table
	j.team = nil
	if !table.HasTeams() {
		return nil
	}
	if j.forwarded {
		return j.authenticateForwarded()
	}
	switch {
	case j.call.Credential != nil:
		if j.team = table.Team(*j.call.Credential); j.team == nil {
			return problem.New(problem.Unauthenticated, http.StatusUnauthorized, "the credential is not known")
		}
	case !j.route.Public:
		return problem.New(problem.Unauthenticated, http.StatusUnauthorized, "the request has no credential")
	}
	return nil
}

// authenticateForwarded finds the team that another gateway named. That gateway has checked the credential by its own routing
// table, which may be newer than this one.
func (j *job) authenticateForwarded() *problem.Problem {
	name, err := url.QueryUnescape(j.r.Header.Get(teamHeader))
	if name == "" && j.route.Public {
		return nil
	}
	if err == nil {
		j.team = j.view.table.TeamNamed(name)
	}
	if j.team == nil {
		return problem.New(problem.NotReady, http.StatusServiceUnavailable, "the team %q is not known here yet", name).
			WithRetryAfter(notReadyRetryAfter)
	}
	return nil
}

// setTeamHeader names the team to another gateway.
func (j *job) setTeamHeader(h http.Header) {
	if j.team != nil {
		h.Set(teamHeader, url.QueryEscape(j.team.Name))
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
