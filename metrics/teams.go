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

// CountTeam counts a request of a team by its code. The first 64 teams are counted by name, the rest together as other.
func (s *Set) CountTeam(team, code string) {
	s.teams.publish.Do(func() { s.vars.Set("teams", &s.teams.vars) })
	s.teams.counts(team).Add(code, 1)
}
