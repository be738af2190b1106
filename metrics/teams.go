package metrics

import (
	"expvar"
	"sync"
)

const (
	// maxTeams bounds the number of teams that are counted by name, and otherTeams counts the rest.
	maxTeams   = 64
	otherTeams = "other"
)

// teams counts the requests of teams by code.
type teams struct {
	vars expvar.Map
	// publish adds vars to the set at the first request of a team.
	publish sync.Once
	mu      sync.RWMutex
	names   map[string]*expvar.Map
}

// counts returns the counters of a team. The first maxTeams teams have their own.
func (t *teams) counts(name string) *expvar.Map {
	t.mu.RLock()
	m := t.names[name]
	full := len(t.names) >= maxTeams
	if m == nil && full {
		m = t.names[otherTeams]
	}
	t.mu.RUnlock()
	if m != nil {
		return m
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.names == nil {
		t.names = map[string]*expvar.Map{}
	}
	if t.names[name] == nil && len(t.names) >= maxTeams {
		name = otherTeams
	}
	if t.names[name] == nil {
		t.names[name] = new(expvar.Map)
		t.vars.Set(name, t.names[name])
	}
	return t.names[name]
}

// tokensCode is the name under which the tokens of a team are counted, and shareLeftPrefix that of its share left of a service.
const (
	tokensCode      = "tokens"
	shareLeftPrefix = "shareLeft."
)

// CountTeamTokens counts the tokens of a request of a team.
func (s *Set) CountTeamTokens(team string, n int64) { s.team(team).Add(tokensCode, n) }

// SetTeamShareLeft sets the part of its share of a service that a team has not used, from 0 to 1, at the last request. It is not kept
// for teams that are counted together.
func (s *Set) SetTeamShareLeft(team, service string, left float64) {
	m := s.team(team)
	s.teams.mu.Lock()
	defer s.teams.mu.Unlock()
	if m != s.teams.names[team] {
		return
	}
	key := shareLeftPrefix + service
	value, ok := m.Get(key).(*expvar.Float)
	if !ok {
		value = new(expvar.Float)
		m.Set(key, value)
	}
	value.Set(left)
}

// team returns the counters of a team, and publishes them at the first one.
func (s *Set) team(name string) *expvar.Map {
	s.teams.publish.Do(func() { s.vars.Set("teams", &s.teams.vars) })
	return s.teams.counts(name)
}

// CountTeam counts a request of a team by its code. The first 64 teams are counted by name, the rest together as other.
func (s *Set) CountTeam(team, code string) {
	s.team(team).Add(code, 1)
}
