package routing

import (
	"time"

	"arbutusreel/admission"
)

// Ticket is a request that was sent to a candidate.
type Ticket struct {
	candidate *Candidate
	began     time.Duration
	tokens    int
	reading   bool
	// reservation is nil if the policy does not look at the pool and there was no room.
	reservation *admission.Reservation
}

// Start counts a request as sent to the decision's candidate, whose cache is expected to hold the prompt from then on.
func (c *Chooser[P]) Start(now time.Time, d Decision, q *Query) *Ticket {
	at := now.Sub(c.origin)
	tokens := max(q.PromptTokens-int(d.Terms.Cached), 0)
	candidate := d.Candidate
	if t := c.tables[tableKey{service: q.Service, model: q.Model}]; t != nil {
		t.meanReserve += holdShare * (float64(q.ReserveTokens) - t.meanReserve)
	}
	candidate.own++
	candidate.load.add(at, 1, tokens)
	candidate.slow.Begin(tokens)
	for _, hash := range q.Prefixes {
		c.index.put(hash, candidate.holder(at, false))
	}
	reservation, _ := candidate.pool.Reserve(q.ReserveTokens)
	return &Ticket{candidate: candidate, began: at, tokens: tokens, reading: true, reservation: reservation}
}

// Use trues the reservation up: the request holds that many tokens of the endpoint's cache now.
func (t *Ticket) Use(tokens int) {
	if t.reservation != nil {
		t.reservation.Use(tokens)
	}
}

// Reserved returns the tokens that the request has reserved.
func (t *Ticket) Reserved() int {
	if t.reservation == nil {
		return 0
	}
	return t.reservation.Tokens()
}

// FirstToken says that the request's prompt has been read.
func (c *Chooser[P]) FirstToken(now time.Time, t *Ticket) { t.read(now.Sub(c.origin), true) }

// Done ends the request; ok tells whether it was answered.
func (c *Chooser[P]) Done(now time.Time, t *Ticket, ok bool) {
	if t.candidate == nil {
		return
	}
	at := now.Sub(c.origin)
	t.read(at, ok)
	t.candidate.own--
	t.candidate.load.add(at, -1, 0)
	if t.reservation != nil {
		t.reservation.Release()
	}
	if ok {
		t.candidate.ended((at - t.began).Seconds())
	}
	t.candidate = nil
}

// read takes the prompt off the endpoint's backlog.
func (t *Ticket) read(at time.Duration, done bool) {
	if t.candidate == nil || !t.reading {
		return
	}
	t.reading = false
	t.candidate.load.add(at, 0, -t.tokens)
	t.candidate.slow.End(t.tokens, done)
}
