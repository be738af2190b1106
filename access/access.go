package access

import (
	"time"

	"arbutusreel/routes"
)

// Policy is what a gateway does while it may have missed a revocation. The zero value goes on with the last table.
type Policy struct {
	// StrictRevocation refuses requests that need a credential once the table may have been outdated for longer than
	// RevocationTime.
	StrictRevocation bool
	RevocationTime   time.Duration
}

// Request is what is known of the sender of a request.
type Request struct {
	Route *routes.Route
	// Credential is that of the caller's key; nil if none was sent.
	Credential *routes.Credential
	// Forwarded reports that another gateway sent the request, which has checked the credential by its own table; Team is
	// the name that it gives, empty for none.
	Forwarded bool
	Team      string
}

// Result is the result of a check.
type Result int

// Results of checks.
const (
	// Allowed: the route may be used.
	Allowed Result = iota
	// NoCredential: the route is not public, and no credential was sent.
	NoCredential
	// UnknownCredential: no team of the table has the credential.
	UnknownCredential
	// UnknownTeam: the table lacks the team that the other gateway gave, or that gateway's table had no teams.
	UnknownTeam
	// Outdated: revocations of credentials may have been missed for too long.
	Outdated
)

// Check returns the team of a request and whether it may use its route. The table was confirmed last at currentAt, by a
// control daemon in contact with its leader. Without teams in the table the team is nil.
func (p Policy) Check(now, currentAt time.Time, t *routes.Table, r Request) (*routes.Team, Result) {
	if r.Forwarded {
		return checkForwarded(t, r)
	}
	switch {
	case !t.HasTeams():
		return nil, Allowed
	case p.StrictRevocation && !r.Route.Public && now.Sub(currentAt) > p.RevocationTime:
		return nil, Outdated
	case r.Credential != nil:
		if team := t.Team(*r.Credential); team != nil {
			return team, Allowed
		}
		return nil, UnknownCredential
	case !r.Route.Public:
		return nil, NoCredential
	default:
		return nil, Allowed
	}
}

// checkForwarded checks a request of another gateway, whose table may be older or newer. A gateway whose table has no teams
// sends the caller's credential and no name.
func checkForwarded(t *routes.Table, r Request) (*routes.Team, Result) {
	var team *routes.Team
	switch {
	case r.Team != "":
		team = t.TeamNamed(r.Team)
	case !t.HasTeams():
		return nil, Allowed
	case r.Credential != nil:
		team = t.Team(*r.Credential)
	case r.Route.Public:
		return nil, Allowed
	default:
	}
	if team == nil {
		return nil, UnknownTeam
	}
	return team, Allowed
}
