package routing

import (
	"slices"
	"time"

	"arbutusreel/admission"
	"arbutusreel/inventory"
	"arbutusreel/membership"
)

// Candidate is what a chooser knows of one endpoint.
type Candidate struct {
	endpoint membership.Endpoint
	id       uint32
	// lost is the number of cache events that were lost in gaps.
	lost      uint32
	nextEvent int64
	tripped   bool
	seen      uint64
	load      load
	slow      SlowStart
	// pool is the endpoint's cache as far as own requests reserve it.
	pool admission.Pool
	// hold is the mean time of a request at the endpoint, in seconds; zero if none has ended.
	hold float64
	// own is the number of own requests outstanding.
	own int
}

// Endpoint returns the endpoint as it last announced itself.
func (c *Candidate) Endpoint() membership.Endpoint { return c.endpoint }

// Name returns the endpoint's name.
func (c *Candidate) Name() string { return c.endpoint.Name }

// Own returns the number of the chooser's own requests outstanding at the endpoint.
func (c *Candidate) Own() int { return c.own }

// open reports whether the endpoint may get work.
func (c *Candidate) open() bool { return !c.endpoint.Leaving && !c.tripped }

// holds reports whether the endpoint serves the name; an adapter needs its model beside it.
func (c *Candidate) holds(name string) bool {
	if !slices.Contains(c.endpoint.Models, name) {
		return false
	}
	n := inventory.ParseName(name)
	return n.Adapter == "" || slices.Contains(c.endpoint.Models, n.Model)
}

func (c *Candidate) slots() float64 { return float64(max(c.endpoint.Slots, 1)) }

// room reports whether a request with that many uncached prompt tokens and that reservation could start at once; the
// requests of other instances are taken to reserve as much as own ones.
func (c *Candidate) room(now time.Duration, t *table, tokens, reserve int) bool {
	outstanding := c.load.outstanding(now, c.own, t.mean)
	if outstanding > c.slots()-slotShare && !c.underShare(outstanding, t.instances) {
		return false
	}
	if !c.slow.Room(tokens) {
		return false
	}
	others := (outstanding - float64(c.own)) * t.meanReserve
	return c.pool.Room(reserve + int(others))
}

// underShare reports whether the instance has less than its share of a full endpoint. It may then wait in the endpoint's
// own queue, as the instances that hold the slots take each slot again as it is free.
func (c *Candidate) underShare(outstanding float64, instances int) bool {
	return instances > 1 && float64(c.own) < c.slots()/float64(instances) && outstanding < c.slots()*maxFull
}

// observe takes a newer announcement of the endpoint.
func (c *Candidate) observe(now, reported time.Duration, e membership.Endpoint, x *index) {
	c.endpoint = e
	c.load.report(reported, float64(e.Load.Running+e.Load.Queued), float64(e.Load.QueuedTokens))
	c.pool.SetCapacity(e.CacheTokens)
	c.learn(now, e, x)
}

// learn enters the cache events into the index; events that were lost make what is known of the endpoint uncertain.
func (c *Candidate) learn(now time.Duration, e membership.Endpoint, x *index) {
	if len(e.CacheEvents) == 0 && e.CacheSequence <= c.nextEvent {
		return
	}
	if e.CacheSequence > c.nextEvent {
		c.lost += uint32(min(e.CacheSequence-c.nextEvent, maxLost))
	}
	for i, event := range e.CacheEvents {
		if e.CacheSequence+int64(i) < c.nextEvent {
			continue
		}
		if event.Dropped {
			x.drop(event.PrefixHash, c.id)
			continue
		}
		x.put(event.PrefixHash, c.holder(now, true))
	}
	c.nextEvent = max(c.nextEvent, e.CacheSequence+int64(len(e.CacheEvents)))
}

func (c *Candidate) holder(now time.Duration, sure bool) holder {
	return holder{id: c.id, at: uint32(now.Milliseconds()), lost: c.lost, sure: sure}
}

// ended takes the time that a request was at the endpoint into the mean.
func (c *Candidate) ended(seconds float64) {
	if c.hold == 0 {
		c.hold = seconds
		return
	}
	c.hold += holdShare * (seconds - c.hold)
}
