package gateway

import (
	"expvar"
	"time"

	"arbutusreel/exchange"
	"arbutusreel/metrics"
	"arbutusreel/routes"
)

// times are the latency histograms of a gateway, by kind of route.
type times struct {
	// first is the time until an answer began, and whole until it ended.
	first map[routes.Kind]*metrics.Times
	whole map[routes.Kind]*metrics.Times
}

// newTimes lists the histograms, and the connections opened to endpoints, in a set.
func newTimes(set *metrics.Set, pool *exchange.Pool) *times {
	t := &times{first: map[routes.Kind]*metrics.Times{}, whole: map[routes.Kind]*metrics.Times{}}
	for _, kind := range []routes.Kind{routes.Unsafe, routes.Safe, routes.Stream} {
		t.first[kind], t.whole[kind] = metrics.NewTimes(), metrics.NewTimes()
		set.Add(kind.String()+"FirstMicros", t.first[kind])
		set.Add(kind.String()+"WholeMicros", t.whole[kind])
	}
	set.Add("connectionsOpened", expvar.Func(func() any { return pool.Opened() }))
	return t
}

// note counts an answer that was given whole.
func (t *times) note(kind routes.Kind, received, first time.Time) {
	t.first[kind].Note(first.Sub(received))
	t.whole[kind].Note(time.Since(received))
}
