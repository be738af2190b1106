package entry

import (
	"expvar"

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
