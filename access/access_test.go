package access

import (
	"testing"
	"time"

	"arbutusreel/routes"
)

func credential(key string) *routes.Credential {
	c := routes.NewCredential(key)
	return &c
}

func tables(t *testing.T) (without, with *routes.Table) {
	t.Helper()
	without, err := routes.New(1, nil, nil, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	with, err = without.WithTeams([]routes.Team{{Name: "a", Credentials: []routes.Credential{routes.NewCredential("k")}}})
	if err != nil {
		t.Fatal(err)
	}
	return without, with
}

// TestCheck guards against callers that use a route without a known credential, and against authorized ones that are refused.
func TestCheck(t *testing.T) {
	without, with := tables(t)
	private, public := &routes.Route{}, &routes.Route{Public: true}
	for name, c := range map[string]struct {
		table *routes.Table
		r     Request
		team  string
		want  Result
	}{
		"known":                                {with, Request{Route: private, Credential: credential("k")}, "a", Allowed},
		"known, public":                        {with, Request{Route: public, Credential: credential("k")}, "a", Allowed},
		"unknown":                              {with, Request{Route: private, Credential: credential("x")}, "", UnknownCredential},
		"unknown, public":                      {with, Request{Route: public, Credential: credential("x")}, "", UnknownCredential},
		"malformed":                            {with, Request{Route: private, Credential: &routes.Credential{}}, "", UnknownCredential},
		"missing":                              {with, Request{Route: private}, "", NoCredential},
		"missing, public":                      {with, Request{Route: public}, "", Allowed},
		"a caller gives a name":                {with, Request{Route: private, Team: "a"}, "", NoCredential},
		"no teams":                             {without, Request{Route: private, Credential: credential("x")}, "", Allowed},
		"no teams, missing":                    {without, Request{Route: private}, "", Allowed},
		"forwarded":                            {with, Request{Route: private, Forwarded: true, Team: "a"}, "a", Allowed},
		"forwarded, newer team":                {with, Request{Route: private, Forwarded: true, Team: "b"}, "", UnknownTeam},
		"forwarded, newer team, public":        {with, Request{Route: public, Forwarded: true, Team: "b"}, "", UnknownTeam},
		"forwarded, public":                    {with, Request{Route: public, Forwarded: true}, "", Allowed},
		"forwarded without name":               {with, Request{Route: private, Forwarded: true}, "", UnknownTeam},
		"forwarded by an older table":          {with, Request{Route: private, Forwarded: true, Credential: credential("k")}, "a", Allowed},
		"forwarded by an older table, unknown": {with, Request{Route: public, Forwarded: true, Credential: credential("x")}, "", UnknownTeam},
		"forwarded to an older table":          {without, Request{Route: private, Forwarded: true, Team: "a"}, "", UnknownTeam},
		"forwarded, no teams":                  {without, Request{Route: private, Forwarded: true}, "", Allowed},
	} {
		t.Run(name, func(t *testing.T) {
			team, got := Policy{}.Check(time.Unix(1e6, 0), time.Time{}, c.table, c.r)
			name := ""
			if team != nil {
				name = team.Name
			}
			if name != c.team || got != c.want {
				t.Errorf("team %q, result %d", name, got)
			}
		})
	}
}

// TestStrictRevocation guards against a revoked credential that a cut-off gateway serves for longer than the setting allows,
// and against refusals by gateways that are in touch or do not ask for strict revocation.
func TestStrictRevocation(t *testing.T) {
	without, with := tables(t)
	private, public := &routes.Route{}, &routes.Route{Public: true}
	now := time.Unix(1e6, 0)
	known := Request{Route: private, Credential: credential("k")}
	for name, c := range map[string]struct {
		strict bool
		age    time.Duration
		table  *routes.Table
		r      Request
		want   Result
	}{
		"current":            {true, 5 * time.Second, with, known, Allowed},
		"outdated":           {true, 5*time.Second + 1, with, known, Outdated},
		"outdated, unknown":  {true, time.Minute, with, Request{Route: private, Credential: credential("x")}, Outdated},
		"outdated, public":   {true, time.Minute, with, Request{Route: public}, Allowed},
		"outdated, no teams": {true, time.Minute, without, known, Allowed},
		"never current":      {true, 1e6 * time.Second, with, known, Outdated},
		"forwarded":          {true, time.Minute, with, Request{Route: private, Forwarded: true, Team: "a"}, Allowed},
		"not strict":         {false, time.Hour, with, known, Allowed},
	} {
		t.Run(name, func(t *testing.T) {
			p := Policy{StrictRevocation: c.strict, RevocationTime: 5 * time.Second}
			if _, got := p.Check(now, now.Add(-c.age), c.table, c.r); got != c.want {
				t.Errorf("result %d", got)
			}
		})
	}
}
