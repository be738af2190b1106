package entry

import (
	"expvar"
	"math/rand/v2"

	"arbutusreel/dispatch"
)

// dispatchVar is the name of the dispatcher's counts in the metrics.
const dispatchVar = "dispatch"

// publishMetrics lists the dispatcher's counts in the metrics of the process, unless one is listed by now.
func publishMetrics(d *dispatch.Dispatcher) {
	if expvar.Get(dispatchVar) == nil {
		expvar.Publish(dispatchVar, expvar.Func(func() any { return d.Metrics() }))
	}
}

// newSource returns a random source with a seed of its own.
func newSource() rand.Source {
	return rand.NewPCG(rand.Uint64(), rand.Uint64())
}
