package retry

import "time"

// Charge is what one request has taken from an allowance: one retry for each endpoint that it reaches beyond the first.
// The zero value has reached none.
type Charge struct {
	reached int
	// attemptReached reports whether the present attempt has reached an endpoint.
	attemptReached bool
	// takenAt is when a retry was taken from the allowance that no attempt has used yet, or zero.
	takenAt time.Time
}

// Begin begins an attempt and reports whether it is allowed. It calls take, which takes a retry from the allowance, if
// the request has reached an endpoint and no retry is left from an attempt that reached none.
func (c *Charge) Begin(now time.Time, take func() bool) bool {
	if c.reached > 0 && c.takenAt.IsZero() {
		if !take() {
			return false
		}
		c.takenAt = now
	}
	c.attemptReached = false
	return true
}

// Reach records that the attempt has reached a number of endpoints, of which all but the first were charged elsewhere.
// Only the first call with a positive number counts for an attempt.
func (c *Charge) Reach(n int) {
	if n <= 0 || c.attemptReached {
		return
	}
	c.reached += n
	c.attemptReached, c.takenAt = true, time.Time{}
}

// Reached returns the number of endpoints that the request has reached.
func (c *Charge) Reached() int { return c.reached }

// Unspent returns when the retry was taken that has reached no endpoint; ok is false if there is none.
func (c *Charge) Unspent() (takenAt time.Time, ok bool) { return c.takenAt, !c.takenAt.IsZero() }
