package capacity

import "time"

// Window counts events in a sliding time window; use NewWindow to create one.
type Window struct {
	span  time.Duration
	times []time.Time
}

// NewWindow returns an empty window of the given length.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Count returns the number of events in the window that ends now.
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

// Share returns the share of a whole number that falls to the holder with the given rank, from 0 in an order that all n
// holders agree on. The shares add up to the whole; if n is not positive, Share returns the whole.
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
