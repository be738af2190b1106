package standin

import "time"

// readmitHeadroomTokens is the number of tokens beyond its use that a preempted request reserves when it is readmitted.
const readmitHeadroomTokens = 16

// kvPool accounts for the KV cache tokens that the running requests of an engine share; zero capacity is unbounded.
type kvPool struct {
	capacity int
	// held is the sum over the running requests of the larger of reservation and use.
	held int
	// used is the sum of prompt tokens and generated tokens over the running requests.
	used int
}

// fits reports whether a request that holds the given number of tokens can start.
func (p *kvPool) fits(tokens int) bool { return p.capacity == 0 || p.held+tokens <= p.capacity }

// exceeded reports whether the running requests hold more than the capacity.
func (p *kvPool) exceeded() bool { return p.capacity > 0 && p.held > p.capacity }

// clamp limits a reservation to the capacity, so that every request fits when it runs alone.
func (p *kvPool) clamp(tokens int) int {
	if p.capacity == 0 {
		return tokens
	}
	return min(tokens, p.capacity)
}

// fraction returns tokens as a fraction of the capacity, or zero if the pool is unbounded.
func (p *kvPool) fraction(tokens int) float64 {
	if p.capacity == 0 {
		return 0
	}
	return float64(tokens) / float64(p.capacity)
}

// Use is the utilization of an engine since its start.
type Use struct {
	// Up is the time since the start, and Busy the time during which at least one request ran, in seconds.
	Up   float64 `json:"upSeconds"`
	Busy float64 `json:"busySeconds"`
	// Held is the integral over time of the larger of the held fractions of slots and of KV tokens, in seconds.
	Held float64 `json:"heldSeconds"`
	// Preempted is the number of preemptions for lack of KV tokens.
	Preempted int64 `json:"preempted"`
	// MostTokens is the peak number of KV tokens in use.
	MostTokens int64 `json:"mostTokens"`
	// PricePerHour is the price of one hour of the engine.
	PricePerHour float64 `json:"pricePerHour"`
}

// meter accumulates the utilization of a batch.
type meter struct {
	use        Use
	lastUpdate time.Time
}

// accumulate adds the time since the last update, during which the given fractions of slots and of KV tokens were held.
func (m *meter) accumulate(now time.Time, slots, tokens float64) {
	seconds := max(now.Sub(m.lastUpdate).Seconds(), 0)
	m.lastUpdate = now
	m.use.Up += seconds
	m.use.Held += seconds * max(slots, tokens)
	if slots > 0 {
		m.use.Busy += seconds
	}
}
