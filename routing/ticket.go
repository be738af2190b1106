package routing

import (
	"time"

	"arbutusreel/admission"
)

// Ticket tracks a request that was sent to a candidate.
type Ticket struct {
	candidate      *Candidate
	startedAt      time.Duration
	uncachedTokens int
	prefilling     bool
	// reservation is nil if the pool had no capacity for it, which happens only with policies that do not check the pool.
	reservation *admission.Reservation
}

// Start records that a request was sent to the decision's candidate. The endpoint is expected to have the prompt cached
// from then on.
func (c *Chooser[P]) Start(now time.Time, d Decision, q *Query) *Ticket {
	at := now.Sub(c.origin)
	tokens := max(q.PromptTokens-int(d.Terms.Cached), 0)
	candidate := d.Candidate
	if t := c.tables[tableKey{service: q.Service, model: q.Model}]; t != nil {
		t.meanReservation += smoothingFactor * (float64(q.ReserveTokens) - t.meanReservation)
	}
	candidate.ownRequests++
	candidate.load.add(at, 1, tokens)
	candidate.slowStart.Begin(tokens)
	for _, hash := range q.Prefixes {
		c.index.put(hash, candidate.asHolder(at, false))
	}
	reservation, _ := candidate.pool.Reserve(q.ReserveTokens)
	return &Ticket{candidate: candidate, startedAt: at, uncachedTokens: tokens, prefilling: true, reservation: reservation}
}

// Use adjusts the reservation to the number of tokens that the request now holds in the endpoint's cache.
func (t *Ticket) Use(tokens int) {
	if t.reservation != nil {
		t.reservation.Use(tokens)
	}
}

// Reserved returns the number of tokens that the request has reserved.
func (t *Ticket) Reserved() int {
	if t.reservation == nil {
		return 0
	}
	return t.reservation.Tokens()
}

// FirstToken records that the prefill of the request's prompt has completed.
func (c *Chooser[P]) FirstToken(now time.Time, t *Ticket) { t.endPrefill(now.Sub(c.origin), true) }

// Done ends the request; ok reports whether it was answered. Calls after the first have no effect.
func (c *Chooser[P]) Done(now time.Time, t *Ticket, ok bool) {
	if t.candidate == nil {
		return
	}
	at := now.Sub(c.origin)
	t.endPrefill(at, ok)
	t.candidate.ownRequests--
	t.candidate.load.add(at, -1, 0)
	if t.reservation != nil {
		t.reservation.Release()
	}
	if ok {
		t.candidate.observeServiceTime((at - t.startedAt).Seconds())
	}
	t.candidate = nil
}

// endPrefill removes the prompt from the endpoint's backlog.
func (t *Ticket) endPrefill(at time.Duration, done bool) {
	if t.candidate == nil || !t.prefilling {
		return
	}
	t.prefilling = false
	t.candidate.load.add(at, 0, -t.uncachedTokens)
	t.candidate.slowStart.End(t.uncachedTokens, done)
}
