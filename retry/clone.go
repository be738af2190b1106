package retry

import (
	"maps"
	"math/rand/v2"
)

// Clone returns a copy that draws from another source.
func (s *Breakers[K]) Clone(source rand.Source) *Breakers[K] {
	c := &Breakers[K]{rng: rand.New(source), breakers: maps.Clone(s.breakers), probeCount: s.probeCount}
	for k, b := range c.breakers {
		copied := *b
		c.breakers[k] = &copied
	}
	return c
}
