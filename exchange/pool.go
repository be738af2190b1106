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
}

// Pool holds idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	idleLimits IdleLimits
	// connectTimeout limits one attempt to connect.
	connectTimeout time.Duration
	now            func() time.Time

	mu        sync.Mutex
	idleConns map[string][]*connection
	closed    bool
	opened    atomic.Int64
}

// NewPool returns an empty pool. An attempt to connect fails after connectTimeout.
func NewPool(idle IdleLimits, connectTimeout time.Duration, now func() time.Time) *Pool {
	return &Pool{idleLimits: idle, connectTimeout: connectTimeout, now: now, idleConns: map[string][]*connection{}}
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
		p.mu.Unlock()
		if idle <= min(limit, c.idleLimit) && c.reusable() {
			return c
		}
		_ = c.Close()
	}
}

// getConn returns an idle connection to the address, or opens one.
func (p *Pool) getConn(ctx context.Context, address string, repeatable bool) (*connection, error) {
	if c := p.getIdle(address, repeatable); c != nil {
		return c, nil
	}
	p.opened.Add(1)
	return dial(ctx, address, p.connectTimeout)
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
