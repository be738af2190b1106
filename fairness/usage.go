package fairness

import (
	"math"
	"time"
)

// timeConstant is the time constant with which usage decays: the recent seconds in which teams are compared.
const timeConstant = 4 * time.Second

// Usage is the recent work of a team in tokens, with weights that decay with age. It is an immutable value.
type Usage struct {
	// Asked counts all requests, and Admitted those that were sent to endpoints.
	Asked, Admitted float64
	At              time.Time
}

// Now returns the usage decayed to a time.
func (u Usage) Now(now time.Time) Usage {
	if u.At.IsZero() {
		return Usage{At: now}
	}
	decay := math.Exp(-float64(now.Sub(u.At)) / float64(timeConstant))
	return Usage{Asked: u.Asked * decay, Admitted: u.Admitted * decay, At: now}
}

// With returns the usage including a request.
func (u Usage) With(now time.Time, tokens float64, admitted bool) Usage {
	u = u.Now(now)
	u.Asked += tokens
	if admitted {
		u.Admitted += tokens
	}
	return u
}

// Plus returns the sum of two usages.
func (u Usage) Plus(now time.Time, other Usage) Usage {
	u, other = u.Now(now), other.Now(now)
	return Usage{Asked: u.Asked + other.Asked, Admitted: u.Admitted + other.Admitted, At: now}
}

// Minus returns the usage without another, which is a part of it.
func (u Usage) Minus(now time.Time, other Usage) Usage {
	u, other = u.Now(now), other.Now(now)
	return Usage{Asked: max(u.Asked-other.Asked, 0), Admitted: max(u.Admitted-other.Admitted, 0), At: now}
}
