package entry

import (
	"math/rand/v2"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/routing"
)

// newSource returns a random source of the seed; if the seed is zero, one that differs each time.
func newSource(seed uint64) rand.Source {
	if seed == 0 {
		return rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	return rand.NewPCG(seed, seed)
}

// Names of the routing policies.
const (
	leastOutstandingPolicy = "leastOutstanding"
	randomPolicy           = "random"
)

// newChooser returns the chooser of the policy; any other name than that of a baseline is that of the expected times.
func newChooser(policy string, now time.Time, source rand.Source) dispatch.Chooser {
	switch policy {
	case leastOutstandingPolicy:
		return routing.New(routing.LeastOutstanding{}, now, source)
	case randomPolicy:
		return routing.New(routing.Random{}, now, source)
	default:
		return routing.New(routing.Expected{}, now, source)
	}
}
