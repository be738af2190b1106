package admission

// Pool is the tokens of one endpoint's cache that running requests may fill; a zero capacity is unbounded.
type Pool struct {
	capacity int
	reserved int
	overrun  int
}

// SetCapacity sets the tokens that the endpoint holds.
func (p *Pool) SetCapacity(capacity int) { p.capacity = capacity }

// Reserved returns the tokens that are reserved now.
func (p *Pool) Reserved() int { return p.reserved }

// Overrun returns the tokens that running requests use beyond what could be reserved.
func (p *Pool) Overrun() int { return p.overrun }

// Room reports whether the tokens can be reserved.
func (p *Pool) Room(tokens int) bool {
	return p.capacity == 0 || p.reserved+p.overrun+tokens <= p.capacity
}

// Reserve takes the tokens; ok is false if there is no room for them.
func (p *Pool) Reserve(tokens int) (r *Reservation, ok bool) {
	if !p.Room(tokens) {
		return nil, false
	}
	p.reserved += tokens
	return &Reservation{pool: p, tokens: tokens}, true
}

// Reservation is a running request's part of a pool.
type Reservation struct {
	pool    *Pool
	tokens  int
	used    int
	overrun int
}

// Tokens returns what the request holds.
func (r *Reservation) Tokens() int { return r.tokens }

// Use notes that the request has used that many tokens in all. A request that has used its whole reservation grows
// it; what the pool has no room for is counted as its overrun.
func (r *Reservation) Use(used int) {
	if r.pool == nil || used <= r.used {
		return
	}
	r.used = used
	if used <= r.tokens+r.overrun {
		return
	}
	step := max(int(float64(r.tokens)*growthShare), used-r.tokens-r.overrun, 1)
	if r.pool.Room(step) {
		r.pool.reserved += step
		r.tokens += step
		return
	}
	over := used - r.tokens - r.overrun
	r.overrun += over
	r.pool.overrun += over
}

// Release gives everything back, and reports false if that was done before.
func (r *Reservation) Release() bool {
	if r.pool == nil {
		return false
	}
	r.pool.reserved -= r.tokens
	r.pool.overrun -= r.overrun
	r.pool = nil
	return true
}
