package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// IdleLimits limits how long a connection may have been idle before it is reused.
type IdleLimits struct {
	// Repeatable applies to requests that may run again if the endpoint has closed the connection meanwhile.
	Repeatable time.Duration
	// NonRepeatable applies to requests that may not run again.
	NonRepeatable time.Duration
	// Unannounced applies to connections whose endpoint announces no limit of its own; zero selects defaultIdleLimit.
	Unannounced time.Duration
	// Unused applies to connections that have carried no request, which servers close sooner; zero selects Unannounced.
	Unused time.Duration
}

// Pool holds idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	idleLimits IdleLimits
	// connectTimeout limits one attempt to connect.
	connectTimeout time.Duration
	now            func() time.Time

	mu        sync.Mutex
	idleConns map[string][]*connection
	// warmConns is the number of idle connections to keep to an address, and opening the number of those being opened.
	warmConns map[string]int
	opening   map[string]int
	closed    bool
	opened    atomic.Int64
}

// NewPool returns an empty pool. An attempt to connect fails after connectTimeout.
func NewPool(idle IdleLimits, connectTimeout time.Duration, now func() time.Time) *Pool {
	if idle.Unannounced == 0 {
		idle.Unannounced = defaultIdleLimit
	}
	if idle.Unused == 0 {
		idle.Unused = idle.Unannounced
	}
	return &Pool{
		idleLimits: idle, connectTimeout: connectTimeout, now: now, idleConns: map[string][]*connection{}, opening: map[string]int{},
	}
}

// Opened returns the number of connections opened so far, including failed attempts.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// getIdle returns an idle connection that is still open, or nil. It takes the most recently used one, which the
// endpoint is least likely to have closed.
func (p *Pool) getIdle(address string, repeatable bool) *connection {
	limit := p.idleLimits.NonRepeatable
	if repeatable {
		limit = p.idleLimits.Repeatable
	}
	for {
		p.mu.Lock()
		conns := p.idleConns[address]
		if len(conns) == 0 {
			p.replenish(address)
			p.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		idle := p.now().Sub(c.idleSince)
		if idle > limit && idle <= p.idleLimits.Repeatable {
			p.mu.Unlock()
			return nil
		}
		p.idleConns[address] = conns[:len(conns)-1]
		p.replenish(address)
		p.mu.Unlock()
		if idle <= min(limit, c.idleLimit) && c.reusable() {
			return c
		}
		_ = c.Close()
	}
}

// getConn returns an idle connection to the address, or opens one.
func (p *Pool) getConn(ctx context.Context, address string, r *Request) (*connection, error) {
	if r.ID != "" {
		if c := p.getIdle(address, r.Repeatable); c != nil {
			return c, nil
		}
	}
	p.opened.Add(1)
	return dial(ctx, address, p.connectTimeout)
}

// KeepWarm sets the number of idle connections to keep to each address, so that requests need not wait for a
// connection. It replaces the numbers set before. A connection that is taken is replaced at once; failed attempts are
// repeated at the next call.
func (p *Pool) KeepWarm(conns map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmConns = conns
	for address := range conns {
		p.replenish(address)
	}
}

// replenish opens the connections that are missing to an address. The caller holds the lock.
func (p *Pool) replenish(address string) {
	for range p.warmConns[address] - len(p.idleConns[address]) - p.opening[address] {
		if p.closed {
			return
		}
		p.opening[address]++
		p.opened.Add(1)
		go p.open(address)
	}
}

// open opens a connection that replenish has counted as being opened.
func (p *Pool) open(address string) {
	c, err := dial(context.Background(), address, p.connectTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opening[address]--; p.opening[address] == 0 {
		delete(p.opening, address)
	}
	if err != nil {
		return
	}
	if p.closed {
		_ = c.Close()
		return
	}
	c.idleSince, c.idleLimit = p.now(), p.idleLimits.Unused
	// Connections that have carried a request are used first, as they are known to work.
	p.idleConns[address] = append([]*connection{c}, p.idleConns[address]...)
}

// putIdle adds a connection to the idle ones, for a later request.
func (p *Pool) putIdle(c *connection) {
	c.requestCount++
	c.idleSince = p.now()
	if c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idleConns[c.address] = append(p.idleConns[c.address], c)
}

// CloseExpired closes the connections that have been idle for longer than their limit.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for address, conns := range p.idleConns {
		var left []*connection
		for _, c := range conns {
			if now.Sub(c.idleSince) > min(p.idleLimits.Repeatable, c.idleLimit) {
				_ = c.Close()
				continue
			}
			left = append(left, c)
		}
		p.idleConns[address] = left
		if len(left) == 0 {
			delete(p.idleConns, address)
		}
		p.replenish(address)
	}
}

// CloseIdle closes the idle connections to the address of an endpoint that is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idleConns[address] {
		_ = c.Close()
	}
	delete(p.idleConns, address)
}

// Close closes all idle connections; connections in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idleConns {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	p.idleConns = map[string][]*connection{}
}
