package capacity

import (
	"math"
	"time"
)

const (
	// outcomeTime is the time constant with which outcomes are forgotten, after which an endpoint that failed is tried again.
	outcomeTime = 5 * time.Second
	// outcomePrior is the number of good outcomes that every endpoint is credited with, so that a single failure tells little.
	outcomePrior = 4
	// usualFailures is the greatest share of failures that is taken for the nature of the requests, if all endpoints have it.
	usualFailures = 0.25
	// failingTolerance is the share of failures beyond that of the best endpoint that chance may bring.
	failingTolerance = 0.2
	// FailingShare is the share of failures beyond which an endpoint counts as out of order.
	FailingShare = 0.6
)

// Outcomes counts how requests ended at an endpoint lately, each less the longer ago it was. It is an immutable value.
type Outcomes struct {
	// Ended and Failed are the counts at a time.
	Ended, Failed float64
	At            time.Time
}

// Now returns the outcomes at a time.
func (o Outcomes) Now(now time.Time) Outcomes {
	kept := math.Exp(-float64(now.Sub(o.At)) / float64(outcomeTime))
	return Outcomes{Ended: o.Ended * kept, Failed: o.Failed * kept, At: now}
}

// With returns the outcomes after a request ended at a time.
func (o Outcomes) With(now time.Time, failed bool) Outcomes {
	o = o.Now(now)
	o.Ended++
	if failed {
		o.Failed++
	}
	return o
}

// Plus returns the sum of the outcomes at a time.
func (o Outcomes) Plus(now time.Time, other Outcomes) Outcomes {
	o, other = o.Now(now), other.Now(now)
	return Outcomes{Ended: o.Ended + other.Ended, Failed: o.Failed + other.Failed, At: now}
}

// Failing returns the share of requests that fail.
func (o Outcomes) Failing(now time.Time) float64 {
	o = o.Now(now)
	return o.Failed / (o.Ended + outcomePrior)
}

// usualFailing returns the share of failures that the best of the candidates has, up to what is usual.
func usualFailing(candidates []Candidate) float64 {
	usual := usualFailures
	for i := range candidates {
		usual = min(usual, candidates[i].Failing)
	}
	return usual
}

// excess returns the share of failures that speaks against the candidate.
func (c Candidate) excess(usual float64) float64 {
	return max(c.Failing-usual-failingTolerance, 0)
}
