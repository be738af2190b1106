package retry

import "time"

// allowanceSteps is the number of steps in which an allowance's window slides.
const allowanceSteps = 20

// Allowance bounds repeats to a share of first tries, plus a reserve, in every window of time.
//
// The rule holds for the sum over all holders of an allowance if their reserves add up to the common one: each counts
// its own first tries.
type Allowance struct {
	window  time.Duration
	ratio   float64
	reserve float64
	steps   []allowanceStep
}

type allowanceStep struct {
	at             time.Time
	first, repeats int
}

// NewAllowance returns an allowance in which repeats are at most ratio times the first tries plus the reserve.
func NewAllowance(window time.Duration, ratio float64) *Allowance {
	return &Allowance{window: window, ratio: ratio}
}

// SetReserve sets the reserve of this holder.
func (a *Allowance) SetReserve(reserve float64) { a.reserve = reserve }

func (a *Allowance) step(now time.Time) *allowanceStep {
	i := 0
	for i < len(a.steps) && now.Sub(a.steps[i].at) > a.window {
		i++
	}
	a.steps = a.steps[i:]
	if n := len(a.steps); n > 0 && now.Sub(a.steps[n-1].at) < a.window/allowanceSteps {
		return &a.steps[n-1]
	}
	a.steps = append(a.steps, allowanceStep{at: now})
	return &a.steps[len(a.steps)-1]
}

// First counts a first try.
func (a *Allowance) First(now time.Time) { a.step(now).first++ }

// Take counts a repeat if it is allowed, and reports whether it is.
func (a *Allowance) Take(now time.Time) bool {
	current := a.step(now)
	first, repeats := 0, 0
	for _, s := range a.steps {
		first += s.first
		repeats += s.repeats
	}
	if float64(repeats+1) > a.ratio*float64(first)+a.reserve {
		return false
	}
	current.repeats++
	return true
}
