package admission

// Pool accounts for the tokens of one endpoint's cache that running requests may fill; a capacity of zero is
// unbounded.
type Pool struct {
	capacity int
	reserved int
	overrun  int
}

// SetCapacity sets the number of tokens that the endpoint's cache holds.
func (p *Pool) SetCapacity(capacity int) { p.capacity = capacity }

// Reserved returns the number of tokens that are reserved now.
func (p *Pool) Reserved() int { return p.reserved }

// Overrun returns the number of tokens that running requests use beyond what could be reserved.
func (p *Pool) Overrun() int { return p.overrun }

// Fits reports whether the tokens can be reserved.
func (p *Pool) Fits(tokens int) bool {
	return p.capacity == 0 || p.reserved+p.overrun+tokens <= p.capacity
}

// Reserve reserves tokens; ok is false if the pool's capacity does not suffice.
func (p *Pool) Reserve(tokens int) (r *Reservation, ok bool) {
	if !p.Fits(tokens) {
		return nil, false
	}
	p.reserved += tokens
	return &Reservation{pool: p, tokens: tokens}, true
}

// Reservation is a running request's share of a pool.
type Reservation struct {
	pool    *Pool
	tokens  int
	used    int
	overrun int
}

// Tokens returns the number of tokens that the request has reserved.
func (r *Reservation) Tokens() int { return r.tokens }

// Use records the number of tokens that the request has used in total. A reservation that is used up is extended; what
// the pool has no capacity for is counted as the request's overrun.
func (r *Reservation) Use(used int) {
	if r.pool == nil || used <= r.used {
		return
	}
	r.used = used
	if used <= r.tokens+r.overrun {
		return
	}
	step := max(int(float64(r.tokens)*growthFraction), used-r.tokens-r.overrun, 1)
	if r.pool.Fits(step) {
		r.pool.reserved += step
		r.tokens += step
		return
	}
	over := used - r.tokens - r.overrun
	r.overrun += over
	r.pool.overrun += over
}

// Release returns the reservation to the pool, and reports false if that was done before.
func (r *Reservation) Release() bool {
	if r.pool == nil {
		return false
	}
	r.pool.reserved -= r.tokens
	r.pool.overrun -= r.overrun
	r.pool = nil
	return true
}
