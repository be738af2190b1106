package entry

import (
	"math/rand/v2"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/routing"
)

// newRandSource returns a random source with the seed, or with a random seed if it is zero.
func newRandSource(seed uint64) rand.Source {
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

// newChooser returns the chooser of the policy. Any name but those of the baseline policies selects the policy of
// expected times.
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
