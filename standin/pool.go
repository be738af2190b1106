package standin

import "time"

// growTokens is the number of tokens beyond its use that a request which was put back reserves when it starts again.
const growTokens = 16

// pool is the KV tokens that the running requests of an engine share; a zero capacity is unbounded.
type pool struct {
	capacity int
	// held is the sum of what the running requests hold: each its reservation or its use, whichever is more.
	held int
	// used is the sum of the prompts and of the tokens generated of the running requests.
	used int
}

// fits reports whether a request that holds that many tokens may start.
func (p *pool) fits(tokens int) bool { return p.capacity == 0 || p.held+tokens <= p.capacity }

// over reports whether the running requests hold more than there is.
func (p *pool) over() bool { return p.capacity > 0 && p.held > p.capacity }

// bounded returns what a request that asks for that many tokens holds, so that any request fits alone.
func (p *pool) bounded(tokens int) int {
	if p.capacity == 0 {
		return tokens
	}
	return min(tokens, p.capacity)
}

// share returns a part of the capacity, or zero if it is unbounded.
func (p *pool) share(tokens int) float64 {
	if p.capacity == 0 {
		return 0
	}
	return float64(tokens) / float64(p.capacity)
}

// Use is how much of an engine its requests have taken since its start.
type Use struct {
	// Up is the time since the start, and Busy that in which any request ran, in seconds.
	Up   float64 `json:"upSeconds"`
	Busy float64 `json:"busySeconds"`
	// Held is the time weighed by the share of the engine that requests held: that of its slots or of its KV tokens,
	// whichever is more, in seconds.
	Held float64 `json:"heldSeconds"`
	// Preempted is the number of times that a request was put back since the KV tokens did not suffice.
	Preempted int64 `json:"preempted"`
	// MostTokens is the most KV tokens that were used at once.
	MostTokens int64 `json:"mostTokens"`
	// PricePerHour is the price of the engine.
	PricePerHour float64 `json:"pricePerHour"`
}

// meter adds up the use of a batch.
type meter struct {
	use Use
	at  time.Time
}

// pass adds the time since the last change, in which a share of the slots and of the tokens was held.
func (m *meter) pass(now time.Time, slots, tokens float64) {
	seconds := max(now.Sub(m.at).Seconds(), 0)
	m.at = now
	m.use.Up += seconds
	m.use.Held += seconds * max(slots, tokens)
	if slots > 0 {
		m.use.Busy += seconds
	}
}
