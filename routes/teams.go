package routes

import (
	"crypto/sha256"
	"iter"
	"maps"
	"math"
	"slices"
)

// Credential is the SHA-256 digest of a caller's key. Keys themselves are not kept.
type Credential [sha256.Size]byte

// NewCredential returns the credential of a key.
func NewCredential(key string) Credential { return sha256.Sum256([]byte(key)) }

// Unit is what an allotment is counted in.
type Unit int

// Units of allotments.
const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts a request by its prompt tokens and its maximum number of output tokens.
	Tokens
)

// Allotment is what a team may use over all gateways together.
type Allotment struct {
	// Rate is the number of units per second, and Burst the number that may be used at once besides; a rate of zero sets
	// no limit.
	Rate  float64
	Burst float64
	Unit  Unit
	// PlainTokens is what a request without token counts counts as.
	PlainTokens int64
}

// Limited reports whether the allotment sets a limit.
func (a Allotment) Limited() bool { return a.Rate > 0 }

// Cost returns the units of a request with the given numbers of prompt tokens and of output tokens at most.
func (a Allotment) Cost(promptTokens, maxOutputTokens int64) float64 {
	switch {
	case a.Unit == Requests:
		return 1
	case promptTokens == 0 && maxOutputTokens == 0:
		return float64(a.PlainTokens)
	default:
		return float64(promptTokens) + float64(maxOutputTokens)
	}
}

// Team is a group of callers that share credentials, a priority, home regions and an allotment.
type Team struct {
	Name        string
	Credentials []Credential
	// Priority goes before that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// HomeRegions are the regions in which the team's requests may be served; empty allows every region.
	HomeRegions []string
	Allotment   Allotment
}

// Allows reports whether requests of the team may be served in a region; those without a team may be served in every one.
func (t *Team) Allows(region string) bool {
	return t == nil || len(t.HomeRegions) == 0 || slices.Contains(t.HomeRegions, region)
}

// WithTeams returns the table with the teams, or Faults if a team is not valid.
func (t *Table) WithTeams(teams []Team) (*Table, error) {
	c := *t
	c.teams, c.credentials = make(map[string]*Team, len(teams)), map[Credential]*Team{}
	var faults Faults
	for _, team := range teams {
		addFault := func(reason string) { faults = append(faults, &Fault{Team: team.Name, Reason: reason}) }
		if team.Name == "" {
			addFault("the name is missing")
		}
		if c.teams[team.Name] != nil {
			addFault("the team is listed twice")
		}
		c.teams[team.Name] = &team
		if a := team.Allotment; !(a.Rate >= 0 && a.Burst >= 0) || math.IsInf(a.Rate, 0) || math.IsInf(a.Burst, 0) || a.PlainTokens < 0 {
			addFault("the allotment is not a finite number of at least zero")
		}
		for _, credential := range team.Credentials {
			if other := c.credentials[credential]; other != nil && other.Name != team.Name {
				addFault("the team " + other.Name + " has the same key")
			}
			c.credentials[credential] = &team
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return &c, nil
}

// HasTeams reports whether callers need a credential on routes that are not public.
func (t *Table) HasTeams() bool { return t.teams != nil }

// Team returns the team that holds a credential, or nil.
func (t *Table) Team(c Credential) *Team { return t.credentials[c] }

// TeamNamed returns the team of a name, or nil.
func (t *Table) TeamNamed(name string) *Team { return t.teams[name] }

// Teams returns the teams in no particular order.
func (t *Table) Teams() iter.Seq[*Team] { return maps.Values(t.teams) }
