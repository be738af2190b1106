package capacity

import (
	"slices"
	"time"
)

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

// Share divides whole among n holders and returns the part of the holder at the given position, which counts from 0 in
// an order that all holders agree on. The parts add up to whole; if n is not positive, Share returns whole.
func Share(whole, n, position int) int {
	if n <= 0 {
		return whole
	}
	share := whole / n
	if position < whole%n {
		share++
	}
	return share
}

// Clone returns a copy of the window.
func (w *Window) Clone() *Window { return &Window{span: w.span, times: slices.Clone(w.times)} }
