package fairness

import (
	"maps"
	"time"
)

// Clone returns a copy of the state.
func (s *State) Clone() *State {
	c := *s
	c.own, c.sums, c.priorities, c.changed, c.shares = maps.Clone(s.own), maps.Clone(s.sums), maps.Clone(s.priorities), maps.Clone(s.changed), maps.Clone(s.shares)
	c.kinds = maps.Clone(s.kinds)
	c.peers = make(map[string]*peer, len(s.peers))
	for name, p := range s.peers {
		c.peers[name] = &peer{at: p.at, teams: maps.Clone(p.teams)}
	}
	return &c
}

// Clone returns a copy of the states of all services.
func (s *Services) Clone() *Services {
	c := NewServices()
	for service, state := range s.states {
		c.states[service] = state.Clone()
	}
	return c
}

// Standing is what a team has used of its share, in recent tokens.
type Standing struct {
	Share, Admitted float64
	// Deprived reports that a team below its share was refused recently, so that shares are enforced.
	Deprived bool
}

// Standing returns what a team has used of its share.
func (s *State) Standing(now time.Time, team string) Standing {
	s.renew(now)
	return Standing{Share: s.shares[team], Admitted: s.sums[team].Now(now).Admitted, Deprived: s.deprived}
}
