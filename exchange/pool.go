package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Idle bounds how long a kept connection may have been idle before it is used again.
type Idle struct {
	// Repeatable bounds it for requests that may run again if the endpoint closed the connection meanwhile.
	Repeatable time.Duration
	// Once bounds it for requests that may not.
	Once time.Duration
}

// Pool holds the kept connections to endpoints; it is safe for concurrent use.
type Pool struct {
	idle Idle
	// connectTime bounds one attempt to connect.
	connectTime time.Duration
	now         func() time.Time

	mu     sync.Mutex
	kept   map[string][]*connection
	closed bool
	opened atomic.Int64
}

// NewPool returns an empty pool whose attempts to connect end after connectTime.
func NewPool(idle Idle, connectTime time.Duration, now func() time.Time) *Pool {
	return &Pool{idle: idle, connectTime: connectTime, now: now, kept: map[string][]*connection{}}
}

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// take returns a kept connection that is surely open, or nil. The one used last is the least likely to be closed.
func (p *Pool) take(address string, repeatable bool) *connection {
	limit := p.idle.Once
	if repeatable {
		limit = p.idle.Repeatable
	}
	for {
		p.mu.Lock()
		kept := p.kept[address]
		if len(kept) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := kept[len(kept)-1]
		idle := p.now().Sub(c.idleSince)
		if idle > limit && idle <= p.idle.Repeatable {
			p.mu.Unlock()
			return nil
		}
		p.kept[address] = kept[:len(kept)-1]
		p.mu.Unlock()
		if idle <= min(limit, c.idleLimit) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

// connect returns a connection to an address, kept or new.
func (p *Pool) connect(ctx context.Context, address string, repeatable bool) (*connection, error) {
	if c := p.take(address, repeatable); c != nil {
		return c, nil
	}
	p.opened.Add(1)
	return dial(ctx, address, p.connectTime)
}

// give keeps a connection for a later request.
func (p *Pool) give(c *connection) {
	c.served++
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
	p.kept[c.address] = append(p.kept[c.address], c)
}

// Trim closes connections that have been idle for too long.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for address, kept := range p.kept {
		var left []*connection
		for _, c := range kept {
			if now.Sub(c.idleSince) > min(p.idle.Repeatable, c.idleLimit) {
				_ = c.Close()
				continue
			}
			left = append(left, c)
		}
		p.kept[address] = left
		if len(left) == 0 {
			delete(p.kept, address)
		}
	}
}

// Drop closes the kept connections to an address, whose endpoint is gone.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.kept[address] {
		_ = c.Close()
	}
	delete(p.kept, address)
}

// Close closes all kept connections and keeps none from then on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, kept := range p.kept {
		for _, c := range kept {
			_ = c.Close()
		}
	}
	p.kept = map[string][]*connection{}
}
