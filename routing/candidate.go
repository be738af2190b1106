package routing

import (
	"slices"
	"time"

	"arbutusreel/admission"
	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/origin"
)

// Candidate is the known state of one endpoint.
type Candidate struct {
	endpoint membership.Endpoint
	id       uint32
	// lostEvents is the number of cache events lost in sequence gaps.
	lostEvents uint32
	// nextEvent is the sequence number of the next cache event expected.
	nextEvent int64
	// tripped is true while the endpoint's circuit breaker is open.
	tripped bool
	// lastObservation is the number of the last call of Observe that listed the endpoint.
	lastObservation uint64
	load            load
	slowStart       SlowStart
	// pool is the endpoint's cache, with the reservations of this chooser's requests.
	pool admission.Pool
	// serviceTime is the moving average of the time from the start of a request to the end of its answer, in seconds;
	// zero if none has been answered.
	serviceTime float64
	// ownRequests is the number of this chooser's requests outstanding at the endpoint.
	ownRequests int
}

// Endpoint returns the endpoint's last announcement.
func (c *Candidate) Endpoint() membership.Endpoint { return c.endpoint }

// Name returns the endpoint's name.
func (c *Candidate) Name() string { return c.endpoint.Name }

// origin returns the origin of the answers that the endpoint begins.
func (c *Candidate) origin() origin.Origin {
	return origin.Origin{Service: c.endpoint.Service, Software: c.endpoint.SoftwareVersion}
}

// OwnRequests returns the number of the chooser's own requests outstanding at the endpoint.
func (c *Candidate) OwnRequests() int { return c.ownRequests }

// available reports whether the endpoint may receive new requests.
func (c *Candidate) available() bool { return !c.endpoint.Leaving && !c.tripped }

// servesModel reports whether the endpoint serves the model or adapter; an adapter also needs its base model.
func (c *Candidate) servesModel(name string) bool {
	if !slices.Contains(c.endpoint.Models, name) {
		return false
	}
	n := inventory.ParseName(name)
	return n.Adapter == "" || slices.Contains(c.endpoint.Models, n.Model)
}

func (c *Candidate) slots() float64 { return float64(max(c.endpoint.Slots, 1)) }

// hasCapacity reports whether a request with the given uncached prompt tokens and reservation may be sent to the
// endpoint now: it could start at once, or it may wait in the endpoint's queue by the rule of belowFairShare. Requests
// of other instances are assumed to reserve as much on average as those of this one.
func (c *Candidate) hasCapacity(now time.Duration, t *table, tokens, reserve int) bool {
	outstanding := c.load.outstanding(now, c.ownRequests, t.meanOthers)
	if outstanding > c.slots()-minFreeSlots && !c.belowFairShare(outstanding, t.instances) {
		return false
	}
	if !c.slowStart.Allows(tokens) {
		return false
	}
	others := (outstanding - float64(c.ownRequests)) * t.meanReservation
	return c.pool.Fits(reserve + int(others))
}

// belowFairShare reports whether the instance has less than its share of a full endpoint that has fewer than
// maxRequestsPerSlot requests per slot. The instance may then queue a request at the endpoint, because the instances
// that hold the slots take each slot again as soon as it is free.
func (c *Candidate) belowFairShare(outstanding float64, instances int) bool {
	return instances > 1 && float64(c.ownRequests) < c.slots()/float64(instances) &&
		outstanding < c.slots()*maxRequestsPerSlot
}

// observe applies a newer announcement of the endpoint, whose load was measured at the time reported.
func (c *Candidate) observe(now, reported time.Duration, e membership.Endpoint, x *index) {
	c.endpoint = e
	c.load.setReport(reported, float64(e.Load.Running+e.Load.Queued), float64(e.Load.QueuedTokens))
	c.pool.SetCapacity(e.CacheTokens)
	c.applyCacheEvents(now, e, x)
}

// applyCacheEvents enters the cache events into the index. Lost events lower the probability that prefixes recorded
// before are still cached.
func (c *Candidate) applyCacheEvents(now time.Duration, e membership.Endpoint, x *index) {
	if len(e.CacheEvents) == 0 && e.CacheSequence <= c.nextEvent {
		return
	}
	if e.CacheSequence > c.nextEvent {
		c.lostEvents += uint32(min(e.CacheSequence-c.nextEvent, maxLostEvents))
	}
	for i, event := range e.CacheEvents {
		if e.CacheSequence+int64(i) < c.nextEvent {
			continue
		}
		if event.Dropped {
			x.remove(event.PrefixHash, c.id)
			continue
		}
		x.put(event.PrefixHash, c.asHolder(now, true))
	}
	c.nextEvent = max(c.nextEvent, e.CacheSequence+int64(len(e.CacheEvents)))
}

// asHolder returns the endpoint as a holder of a prefix used now.
func (c *Candidate) asHolder(now time.Duration, confirmed bool) holder {
	return holder{id: c.id, lastUsedMillis: uint32(now.Milliseconds()), lostEvents: c.lostEvents, confirmed: confirmed}
}

// observeServiceTime adds the service time of an answered request to the moving average.
func (c *Candidate) observeServiceTime(seconds float64) {
	if c.serviceTime == 0 {
		c.serviceTime = seconds
		return
	}
	c.serviceTime += smoothingFactor * (seconds - c.serviceTime)
}
