package gateway

import (
	"expvar"
	"time"

	"arbutusreel/exchange"
	"arbutusreel/metrics"
	"arbutusreel/routes"
)

// latencies are the latency histograms of a gateway, by kind of route.
type latencies struct {
	// first is the time from the arrival of a request until its answer began, and whole until a stream ended or another
	// answer was ready to be written to the caller.
	first map[routes.Kind]*metrics.Histogram
	whole map[routes.Kind]*metrics.Histogram
}

// newLatencies adds the histograms, and the number of connections opened to endpoints, to a metrics set.
func newLatencies(set *metrics.Set, pool *exchange.Pool) *latencies {
	t := &latencies{first: map[routes.Kind]*metrics.Histogram{}, whole: map[routes.Kind]*metrics.Histogram{}}
	for _, kind := range []routes.Kind{routes.Unsafe, routes.Safe, routes.Stream} {
		t.first[kind], t.whole[kind] = metrics.NewHistogram(), metrics.NewHistogram()
		set.Publish(kind.String()+"FirstMicros", t.first[kind])
		set.Publish(kind.String()+"WholeMicros", t.whole[kind])
	}
	set.Publish("connectionsOpened", expvar.Func(func() any { return pool.Opened() }))
	return t
}

// record adds an answer that began at first and ends now, to a request that arrived at received.
func (t *latencies) record(kind routes.Kind, received, first time.Time) {
	t.first[kind].Observe(first.Sub(received))
	t.whole[kind].Observe(time.Since(received))
}
