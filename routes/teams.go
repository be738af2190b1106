package routes

import (
	"cmp"
	"crypto/sha256"
	"iter"
	"maps"
	"math"
	"slices"
)

// Credential is the SHA-256 digest of a caller's key. Keys themselves are not kept.
type Credential [sha256.Size]byte

// maxStackKey is the length in bytes up to which the credential of a key is computed without an allocation.
const maxStackKey = 128

// NewCredential returns the credential of a key.
func NewCredential(key string) Credential {
	var buffer [maxStackKey]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

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
	// levels maps the priorities of routes to the scheduling levels of the team's requests.
	levels map[int]int
}

// Level returns the scheduling level of the team's requests on a route with the given priority; zero is the most urgent. The team's
// priority decides first, and the route's among teams of equal priority, so that the routes of one team keep their order.
func (t *Team) Level(routePriority int) int {
	if level, ok := t.levels[routePriority]; ok {
		return level
	}
	return t.primary(routePriority)
}

// primary returns the priority that decides first.
func (t *Team) primary(routePriority int) int {
	if t.HasPriority {
		return t.Priority
	}
	return routePriority
}

// Allows reports whether requests of the team may be served in a region; those without a team may be served in every one.
func (t *Team) Allows(region string) bool {
	return t == nil || len(t.HomeRegions) == 0 || slices.Contains(t.HomeRegions, region)
}

// WithTeams returns the table with the teams, or Faults if a team is not valid.
func (t *Table) WithTeams(teams []Team) (*Table, error) {
	c := *t
	c.teams, c.credentials = make(map[string]*Team, len(teams)), map[Credential]*Team{}
	c.teamHomes = newTeamHomes(teams)
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
	c.assignLevels()
	return &c, nil
}

// assignLevels numbers the pairs of priorities of teams and of routes that need a credential in their order.
func (t *Table) assignLevels() {
	type pair struct{ primary, route int }
	routePriorities := map[int]bool{}
	for _, all := range t.hosts {
		for _, r := range all {
			if !r.Public {
				routePriorities[r.Priority] = true
			}
		}
	}
	inUse := map[pair]bool{}
	for _, team := range t.teams {
		for p := range routePriorities {
			inUse[pair{team.primary(p), p}] = true
		}
	}
	ordered := slices.SortedFunc(maps.Keys(inUse), func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.primary, b.primary), cmp.Compare(a.route, b.route))
	})
	for _, team := range t.teams {
		team.levels = map[int]int{}
		for p := range routePriorities {
			team.levels[p] = slices.Index(ordered, pair{team.primary(p), p})
		}
	}
}

// HasTeams reports whether callers need a credential on routes that are not public.
func (t *Table) HasTeams() bool { return t.teams != nil }

// Team returns the team that holds a credential, or nil.
func (t *Table) Team(c Credential) *Team { return t.credentials[c] }

// TeamNamed returns the team of a name, or nil.
func (t *Table) TeamNamed(name string) *Team { return t.teams[name] }

// teamHomes are the home regions of all teams of a table.
type teamHomes struct {
	// restricted reports that there are teams, and that each of them has home regions.
	restricted bool
	// shared holds the regions that all teams allow, and some those that any of them allows.
	shared, some []string
}

func newTeamHomes(teams []Team) teamHomes {
	h := teamHomes{restricted: len(teams) > 0}
	for i, team := range teams {
		if len(team.HomeRegions) == 0 {
			return teamHomes{}
		}
		if i == 0 {
			h.shared = slices.Clone(team.HomeRegions)
		}
		h.shared = intersect(h.shared, team.HomeRegions)
		for _, region := range team.HomeRegions {
			if !slices.Contains(h.some, region) {
				h.some = append(h.some, region)
			}
		}
	}
	return h
}

// intersect returns the elements of a that b holds, in the order of a. It overwrites a.
func intersect(a, b []string) []string {
	return slices.DeleteFunc(a, func(s string) bool { return !slices.Contains(b, s) })
}

// Teams returns the teams in no particular order.
func (t *Table) Teams() iter.Seq[*Team] { return maps.Values(t.teams) }
