package capacity

import "time"

// Window counts events in a sliding span of time; its zero value is not ready for use.
type Window struct {
	span  time.Duration
	times []time.Time
}

// NewWindow returns an empty window of a span.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Count returns the number of events in the span before now.
func (w *Window) Count(now time.Time) int {
	i := 0
	for i < len(w.times) && now.Sub(w.times[i]) >= w.span {
		i++
	}
	w.times = w.times[i:]
	return len(w.times)
}

// Add counts an event.
func (w *Window) Add(now time.Time) { w.times = append(w.times, now) }

// Share returns the part of a whole number that falls to one of n holders, which is the rank-th in an order that all
// holders agree on; the parts add up to the whole.
func Share(whole, n, rank int) int {
	if n <= 0 {
		return whole
	}
	share := whole / n
	if rank < whole%n {
		share++
	}
	return share
}
